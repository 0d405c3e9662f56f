// Package settings reads the INI settings of a process and reports all
// findings together with their file, line and key.
package settings

import (
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"rattanspur.example/lib/finding"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/pacing"
)

// Node holds what entry and agent have in common.
type Node struct {
	Self         fleet.Instance
	ConfigURL    string
	ConfigKey    string
	InstancesURL string
	PeerKeys     []string
	OperatorKey  string
	// ListEvery is the time between two reads of the instance list.
	ListEvery time.Duration
	// WatchWait is how long a watch of the configuration service waits.
	WatchWait time.Duration
	// StartWait bounds how long a starting process waits for its peers.
	StartWait time.Duration
	LogLevel  string
}

// Entry holds the settings of an entry.
type Entry struct {
	Node
	// Calls is the number of calls in flight that an entry carries.
	Calls int
	// CallTimeout bounds a call from its arrival to its last byte.
	CallTimeout time.Duration
	// BodyBytes bounds a caller's request body.
	BodyBytes int64
	// StreamBytes bounds the body of one response.
	StreamBytes int64
	// Connections bounds the callers' open connections.
	Connections int
	// QueueCalls and CustomerCalls bound the waiting calls of one service, in
	// total and for each customer.
	QueueCalls    int
	CustomerCalls int
	// QueueWait bounds how long a call waits for room.
	QueueWait time.Duration
	// FirstByteTimeout bounds the time to the head of an agent's response, and
	// ProgressTimeout the time between two reads of its body.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// ConnectionAge is how long connections to an agent are reused.
	ConnectionAge time.Duration
}

// Agent holds the settings of an agent.
type Agent struct {
	Node
	UpstreamURL string
	// WeightsListen is the loopback address where the engine reads weights.
	WeightsListen string
	// ReportEvery is the time between two reads of the engine's load report.
	ReportEvery time.Duration
	Calls       int
	// LinkUp and LinkDown pace the machine's link for weights.
	LinkUp   pacing.BytesPerSecond
	LinkDown pacing.BytesPerSecond
	// RegionLink is the rate between two regions, shared by the agents of the
	// receiving region.
	RegionLink pacing.BytesPerSecond
	// ChunkPeers is the number of peers whose chunks are followed; with 0 the
	// weights come from store and origin alone.
	ChunkPeers int
	// Linger is how long all chunks are kept after the engine loaded them.
	Linger time.Duration
	// OrderTimeout bounds one order to the engine.
	OrderTimeout time.Duration
	// ClockStep bounds how far the clock of the machine may step back.
	ClockStep time.Duration
	// KeyLifetime is the age up to which a caller's key is accepted.
	KeyLifetime time.Duration
	// OrderSettle is the longest time that an order of an earlier agent may
	// still take at an engine that ignores fencing tokens.
	OrderSettle time.Duration
	// ProgressTimeout is how long the upstream may send nothing of an answer.
	ProgressTimeout time.Duration
	// HealthPath is asked to check a plain service; without it a connection
	// that can be made is enough.
	HealthPath string
	// LeaveLinger is how long a stopping agent refuses calls of entries that
	// have not heard of it yet, before it closes its port.
	LeaveLinger time.Duration
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration
}

// LoadEntry reads the settings of an entry. The error is a *finding.Error if
// the file could be read.
func LoadEntry(file string) (*Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseEntry(file, data)
}

// ParseEntry reads the settings of an entry from the bytes of a file.
func ParseEntry(name string, data []byte) (*Entry, error) {
	r, err := parse(name, data)
	if err != nil {
		return nil, err
	}
	s := r.entry()
	r.unknown("node", "entry")
	return s, r.findings.Err()
}

func (r *reader) entry() *Entry {
	s := &Entry{Node: r.node(fleet.RoleEntry)}
	s.Calls = r.integer("entry", "calls", 512, 1)
	s.CallTimeout = r.duration("entry", "call_timeout", 60*time.Second)
	s.BodyBytes = int64(r.integer("entry", "body_bytes", 1<<20, 1))
	s.StreamBytes = int64(r.integer("entry", "stream_bytes", 64<<20, 1))
	s.Connections = r.integer("entry", "connections", 4096, 1)
	s.QueueCalls = r.integer("entry", "queue_calls", 2048, 1)
	s.CustomerCalls = r.integer("entry", "customer_calls", 512, 1)
	s.QueueWait = r.duration("entry", "queue_wait", 10*time.Second)
	s.FirstByteTimeout = r.duration("entry", "first_byte_timeout", 20*time.Second)
	s.ProgressTimeout = r.duration("entry", "progress_timeout", 10*time.Second)
	s.ConnectionAge = r.duration("entry", "connection_age", time.Minute)
	return s
}

// LoadAgent reads the settings of an agent. The error is a *finding.Error if
// the file could be read.
func LoadAgent(file string) (*Agent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseAgent(file, data)
}

// ParseAgent reads the settings of an agent from the bytes of a file.
func ParseAgent(name string, data []byte) (*Agent, error) {
	r, err := parse(name, data)
	if err != nil {
		return nil, err
	}
	s := r.agent()
	r.unknown("node", "agent")
	return s, r.findings.Err()
}

func (r *reader) agent() *Agent {
	s := &Agent{Node: r.node(fleet.RoleAgent)}
	s.Self.Service = fleet.Service(r.text("agent", "service", ""))
	s.UpstreamURL = r.url("agent", "upstream_url")
	s.WeightsListen = r.address("agent", "weights_listen", "127.0.0.1:0")
	s.ReportEvery = r.duration("agent", "report_every", 250*time.Millisecond)
	s.Calls = r.integer("agent", "calls", 256, 1)
	s.LinkUp = pacing.BytesPerSecond(r.integer("agent", "link_up_bytes_per_second", 0, 0))
	s.LinkDown = pacing.BytesPerSecond(r.integer("agent", "link_down_bytes_per_second", 0, 0))
	s.RegionLink = pacing.BytesPerSecond(r.integer("agent", "region_link_bytes_per_second", 0, 0))
	s.ChunkPeers = r.integer("agent", "chunk_peers", 16, 0)
	s.Linger = r.duration("agent", "linger", 2*time.Minute)
	s.OrderTimeout = r.duration("agent", "order_timeout", 5*time.Minute)
	s.ClockStep = r.duration("agent", "clock_step", 2*time.Second)
	s.KeyLifetime = r.duration("agent", "key_lifetime", 10*time.Minute)
	s.OrderSettle = r.duration("agent", "order_settle", time.Minute)
	s.ProgressTimeout = r.duration("agent", "progress_timeout", 30*time.Second)
	s.HealthPath = r.text("agent", "health_path", "")
	s.LeaveLinger = r.duration("agent", "leave_linger", 2*time.Second)
	s.DrainTimeout = r.duration("agent", "drain_timeout", 75*time.Second)
	return s
}

// reader reads keys, notes which were asked for and collects findings.
type reader struct {
	name     string
	lines    []string
	file     *ini.File
	asked    map[string]bool
	keys     []Key
	findings finding.List
}

func parse(name string, data []byte) (*reader, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", name)
	}
	return &reader{
		name:  name,
		lines: strings.Split(string(data), "\n"),
		file:  file,
		asked: map[string]bool{},
	}, nil
}

func (r *reader) node(role fleet.Role) Node {
	n := Node{Self: fleet.Instance{Role: role, State: fleet.StateLive}}
	n.Self.ID = fleet.InstanceID(r.text("node", "id", ""))
	n.Self.Address = r.address("node", "listen", "")
	n.Self.FailureDomain = fleet.FailureDomain(r.text("node", "failure_domain", ""))
	n.Self.Region = fleet.Region(r.text("node", "region", ""))
	n.ConfigURL = r.url("node", "config_url")
	n.ConfigKey = r.text("node", "config_key", "rattanspur/config")
	n.InstancesURL = r.url("node", "instances_url")
	n.PeerKeys = r.list("node", "peer_keys")
	n.OperatorKey = r.text("node", "operator_key", "")
	n.ListEvery = r.duration("node", "list_every", time.Second)
	n.WatchWait = r.duration("node", "watch_wait", 4*time.Second)
	n.StartWait = r.duration("node", "start_wait", 2*time.Second)
	n.LogLevel = r.text("node", "log_level", "info")
	if err := n.Self.Check(); err != nil && len(r.findings.Findings) == 0 {
		r.add("node", "id", "no other process would accept this instance: %v", err)
	}
	return n
}

func (r *reader) key(section, name string) (*ini.Key, bool) {
	r.asked[section+"."+name] = true
	s := r.file.Section(section)
	if !s.HasKey(name) {
		return nil, false
	}
	return s.Key(name), true
}

func (r *reader) add(section, name, format string, args ...any) {
	r.findings.AddAt(r.name, r.line(section, name), section+"."+name, format, args...)
}

// text reads a value; without a default the key is required, except for keys
// that only some processes need.
func (r *reader) text(section, name, missing string) string {
	r.note(section, name, "text", missing)
	k, ok := r.key(section, name)
	if ok && k.String() != "" {
		return k.String()
	}
	if missing == "" && name != "operator_key" && name != "health_path" {
		r.add(section, name, "is missing or empty")
	}
	return missing
}

func (r *reader) list(section, name string) []string {
	r.note(section, name, "list", "")
	k, ok := r.key(section, name)
	if !ok || len(k.Strings(",")) == 0 {
		r.add(section, name, "is missing or empty")
		return nil
	}
	return k.Strings(",")
}

func (r *reader) address(section, name, missing string) string {
	v := r.text(section, name, missing)
	if v == "" {
		return v
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.add(section, name, "%q is not an IP address with a port", v)
	}
	return v
}

// url reads a required URL. Its host is an IP address, because processes
// reach each other and the platform without a name service.
func (r *reader) url(section, name string) string {
	v := r.text(section, name, "")
	if v == "" {
		return v
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		r.add(section, name, "%q is not an http or https URL", v)
		return v
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		r.add(section, name, "host %q is not an IP address", u.Hostname())
	}
	return v
}

func (r *reader) integer(section, name string, missing, least int) int {
	r.note(section, name, "whole number", strconv.Itoa(missing))
	k, ok := r.key(section, name)
	if !ok {
		return missing
	}
	v, err := strconv.Atoi(k.String())
	if err != nil || v < least {
		r.add(section, name, "%q is not a whole number of at least %d", k.String(), least)
		return missing
	}
	return v
}

func (r *reader) duration(section, name string, missing time.Duration) time.Duration {
	r.note(section, name, "duration", missing.String())
	k, ok := r.key(section, name)
	if !ok {
		return missing
	}
	v, err := time.ParseDuration(k.String())
	if err != nil || v <= 0 {
		r.add(section, name, "%q is not a positive duration with a unit, such as 250ms", k.String())
		return missing
	}
	return v
}

// unknown reports keys that no code asked for, which are most often typing errors.
func (r *reader) unknown(sections ...string) {
	for _, s := range r.file.Sections() {
		for _, k := range s.Keys() {
			if !r.asked[s.Name()+"."+k.Name()] {
				r.add(s.Name(), k.Name(), "unknown key; known sections are %s", strings.Join(sections, ", "))
			}
		}
	}
}

// line finds the line of a key, or of its section if the key is missing.
func (r *reader) line(section, name string) int {
	current, sectionLine := ini.DefaultSection, 0
	for i, text := range r.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") && strings.HasSuffix(text, "]") {
			current = strings.TrimSpace(text[1 : len(text)-1])
			if current == section {
				sectionLine = i + 1
			}
			continue
		}
		key, _, found := strings.Cut(text, "=")
		if found && current == section && strings.TrimSpace(key) == name {
			return i + 1
		}
	}
	return sectionLine
}
