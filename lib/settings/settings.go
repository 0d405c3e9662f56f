// Package settings parses the INI settings of a process and reports all
// findings together, with file, line and key.
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

const (
	// EntryBodyMemoryBytes is the default memory for the bodies of requests at an entry,
	// a quarter of the 256 MiB that a node may use.
	EntryBodyMemoryBytes = 64 << 20
	// bodiesInMemory is how many bodies of the largest size an entry must have memory
	// for: one takes three while it is decoded, an eighth is kept for free buffers, and an
	// eighth of the rest for small bodies.
	bodiesInMemory = 5
	// MaxCallBytes limits the body of a call from an entry to an agent, in bytes.
	MaxCallBytes = 16 << 20
	// AgentBodyMemoryBytes is the default and the least memory for the bodies of calls at
	// an agent. One body of the largest size takes two while its model name is replaced,
	// an eighth is kept for free buffers, and an eighth of the rest for small bodies. More
	// would not do: the heap of an agent grows to twice of what it holds.
	AgentBodyMemoryBytes = 44 << 20
)

// Node holds the settings that entry and agent have in common.
type Node struct {
	Self         fleet.Instance
	ConfigURL    string
	ConfigKey    string
	InstancesURL string
	PeerKeys     []string
	OperatorKey  string
	// ListInterval is the time between two reads of the instance list.
	ListInterval time.Duration
	// WatchWait is the longest time that one watch of the configuration service
	// waits.
	WatchWait time.Duration
	// StartWait is the longest time that a starting process waits for its peers.
	StartWait time.Duration
	LogLevel  string
}

// Entry holds the settings of an entry.
type Entry struct {
	Node
	// MaxCalls is the limit of calls in flight at an entry.
	MaxCalls int
	// CallTimeout is the longest time from a call's arrival to its last byte.
	CallTimeout time.Duration
	// MaxBodyBytes is the size limit of a caller's request body.
	MaxBodyBytes int64
	// BodyMemoryBytes is the memory for the bodies of all requests that the entry holds.
	BodyMemoryBytes int64
	// MaxStreamBytes is the size limit of one response body.
	MaxStreamBytes int64
	// MaxConnections is the limit of the callers' open connections.
	MaxConnections int
	// MaxQueuedCalls and MaxQueuedCustomerCalls are the limits of waiting calls of
	// one service, in total and for each customer.
	MaxQueuedCalls         int
	MaxQueuedCustomerCalls int
	// QueueWait is the longest time that a call waits for a free slot.
	QueueWait time.Duration
	// FirstByteTimeout is the longest time to the header of an agent's response,
	// and ProgressTimeout the longest time between two reads of its body.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// ConnectionAge is the age up to which connections to an agent are reused.
	ConnectionAge time.Duration
	// LeaveDelay is how long a stopping entry keeps its port open for callers that
	// have not been notified yet; at most half of DrainTimeout.
	LeaveDelay time.Duration
	// DrainTimeout is the longest duration of a graceful stop.
	DrainTimeout time.Duration
}

// Agent holds the settings of an agent.
type Agent struct {
	Node
	UpstreamURL string
	// WeightsListen is the loopback address where the engine reads weights.
	WeightsListen string
	// ReportInterval is the time between two reads of the engine's load report.
	ReportInterval time.Duration
	// MaxCalls is the limit of calls in flight at an agent.
	MaxCalls int
	// BodyMemoryBytes is the memory for the bodies of all calls that the agent holds.
	BodyMemoryBytes int64
	// UploadRate and DownloadRate limit the transfer of weights on the machine's
	// link; 0 means no limit.
	UploadRate   pacing.BytesPerSecond
	DownloadRate pacing.BytesPerSecond
	// RegionLinkRate is the rate limit for weights between two regions. The agents
	// of the receiving region share it; 0 means no limit.
	RegionLinkRate pacing.BytesPerSecond
	// ChunkPeers is the number of peers whose chunks are tracked; if it is 0,
	// weights are fetched from store and origin only.
	ChunkPeers int
	// ChunkRetention is how long all chunks are kept after the engine loaded them.
	ChunkRetention time.Duration
	// OrderTimeout is the longest time that one order to the engine may take.
	OrderTimeout time.Duration
	// MaxClockStep is the largest step that the machine's clock may go back, also
	// over a restart.
	MaxClockStep time.Duration
	// KeyLifetime is the age up to which a caller's idempotency key is accepted.
	KeyLifetime time.Duration
	// OrderSettleTime is the longest time that an order of an earlier agent may
	// still take at an engine that ignores fencing tokens.
	OrderSettleTime time.Duration
	// ProgressTimeout is the longest time that the upstream may send nothing of a
	// response.
	ProgressTimeout time.Duration
	// HealthPath is the path of the health check of a plain service. If it is
	// empty, a successful connection is sufficient.
	HealthPath string
	// LeaveDelay is how long a stopping agent keeps its port open and rejects calls
	// of entries that have not been notified yet.
	LeaveDelay time.Duration
	// DrainTimeout is the longest duration of a graceful stop.
	DrainTimeout time.Duration
}

// LoadEntry reads the settings of an entry from a file. If the file is valid
// INI but the settings are invalid, the error is a *finding.Error.
func LoadEntry(file string) (*Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseEntry(file, data)
}

// ParseEntry parses the settings of an entry. The file name appears in findings.
func ParseEntry(name string, data []byte) (*Entry, error) {
	r, err := parse(name, data)
	if err != nil {
		return nil, err
	}
	s := r.entry()
	r.reportUnknown("node", "entry")
	return s, r.findings.Err()
}

func (r *reader) entry() *Entry {
	s := &Entry{Node: r.node(fleet.RoleEntry)}
	s.MaxCalls = r.integer("entry", "calls", 512, 1)
	s.CallTimeout = r.duration("entry", "call_timeout", 60*time.Second)
	s.MaxBodyBytes = int64(r.integer("entry", "body_bytes", 1<<20, 1))
	least := int(s.MaxBodyBytes) * bodiesInMemory
	s.BodyMemoryBytes = int64(r.integer("entry", "body_memory_bytes", max(EntryBodyMemoryBytes, least), least))
	s.MaxStreamBytes = int64(r.integer("entry", "stream_bytes", 64<<20, 1))
	s.MaxConnections = r.integer("entry", "connections", 4096, 1)
	s.MaxQueuedCalls = r.integer("entry", "queue_calls", 2048, 1)
	s.MaxQueuedCustomerCalls = r.integer("entry", "customer_calls", 512, 1)
	s.QueueWait = r.duration("entry", "queue_wait", 10*time.Second)
	s.FirstByteTimeout = r.duration("entry", "first_byte_timeout", 20*time.Second)
	s.ProgressTimeout = r.duration("entry", "progress_timeout", 10*time.Second)
	s.ConnectionAge = r.duration("entry", "connection_age", time.Minute)
	s.LeaveDelay = r.duration("entry", "leave_linger", 2*time.Second)
	s.DrainTimeout = r.duration("entry", "drain_timeout", time.Minute)
	return s
}

// LoadAgent reads the settings of an agent from a file. If the file is valid
// INI but the settings are invalid, the error is a *finding.Error.
func LoadAgent(file string) (*Agent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseAgent(file, data)
}

// ParseAgent parses the settings of an agent. The file name appears in findings.
func ParseAgent(name string, data []byte) (*Agent, error) {
	r, err := parse(name, data)
	if err != nil {
		return nil, err
	}
	s := r.agent()
	r.reportUnknown("node", "agent")
	return s, r.findings.Err()
}

func (r *reader) agent() *Agent {
	s := &Agent{Node: r.node(fleet.RoleAgent)}
	s.Self.Service = fleet.Service(r.text("agent", "service", ""))
	s.UpstreamURL = r.url("agent", "upstream_url")
	s.WeightsListen = r.address("agent", "weights_listen", "127.0.0.1:0")
	s.ReportInterval = r.duration("agent", "report_every", 250*time.Millisecond)
	s.MaxCalls = r.integer("agent", "calls", 256, 1)
	s.BodyMemoryBytes = int64(r.integer("agent", "body_memory_bytes", AgentBodyMemoryBytes, AgentBodyMemoryBytes))
	s.UploadRate = pacing.BytesPerSecond(r.integer("agent", "link_up_bytes_per_second", 0, 0))
	s.DownloadRate = pacing.BytesPerSecond(r.integer("agent", "link_down_bytes_per_second", 0, 0))
	s.RegionLinkRate = pacing.BytesPerSecond(r.integer("agent", "region_link_bytes_per_second", 0, 0))
	s.ChunkPeers = r.integer("agent", "chunk_peers", 16, 0)
	s.ChunkRetention = r.duration("agent", "linger", 2*time.Minute)
	s.OrderTimeout = r.duration("agent", "order_timeout", 5*time.Minute)
	s.MaxClockStep = r.duration("agent", "clock_step", 2*time.Second)
	s.KeyLifetime = r.duration("agent", "key_lifetime", 10*time.Minute)
	s.OrderSettleTime = r.duration("agent", "order_settle", time.Minute)
	s.ProgressTimeout = r.duration("agent", "progress_timeout", 30*time.Second)
	s.HealthPath = r.text("agent", "health_path", "")
	s.LeaveDelay = r.duration("agent", "leave_linger", 2*time.Second)
	s.DrainTimeout = r.duration("agent", "drain_timeout", 75*time.Second)
	return s
}

// reader reads keys, records which keys were requested and collects findings.
type reader struct {
	name      string
	lines     []string
	file      *ini.File
	requested map[string]bool
	keys      []Key
	findings  finding.List
}

func parse(name string, data []byte) (*reader, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", name)
	}
	return &reader{
		name:      name,
		lines:     strings.Split(string(data), "\n"),
		file:      file,
		requested: map[string]bool{},
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
	n.ListInterval = r.duration("node", "list_every", time.Second)
	n.WatchWait = r.duration("node", "watch_wait", 4*time.Second)
	n.StartWait = r.duration("node", "start_wait", 2*time.Second)
	n.LogLevel = r.text("node", "log_level", "info")
	if err := n.Self.Check(); err != nil && len(r.findings.Findings) == 0 {
		r.addFinding("node", "id", "no other process would accept this instance: %v", err)
	}
	return n
}

// key returns a key, if it is set, and marks it as requested.
func (r *reader) key(section, name string) (*ini.Key, bool) {
	r.requested[section+"."+name] = true
	s := r.file.Section(section)
	if !s.HasKey(name) {
		return nil, false
	}
	return s.Key(name), true
}

// addFinding adds a finding for a key, with its line.
func (r *reader) addFinding(section, name, format string, args ...any) {
	r.findings.AddAt(r.name, r.line(section, name), section+"."+name, format, args...)
}

// text reads a text value. A key without a default is required, unless it is one
// of the optional keys.
func (r *reader) text(section, name, defaultValue string) string {
	r.recordKey(section, name, "text", defaultValue)
	k, ok := r.key(section, name)
	if ok && k.String() != "" {
		return k.String()
	}
	if defaultValue == "" && name != "operator_key" && name != "health_path" {
		r.addFinding(section, name, "is missing or empty")
	}
	return defaultValue
}

// list reads a required list of values that are separated by commas.
func (r *reader) list(section, name string) []string {
	r.recordKey(section, name, "list", "")
	k, ok := r.key(section, name)
	if !ok || len(k.Strings(",")) == 0 {
		r.addFinding(section, name, "is missing or empty")
		return nil
	}
	return k.Strings(",")
}

// address reads an IP address with a port.
func (r *reader) address(section, name, defaultValue string) string {
	v := r.text(section, name, defaultValue)
	if v == "" {
		return v
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.addFinding(section, name, "%q is not an IP address with a port", v)
	}
	return v
}

// url reads a required URL. Its host must be an IP address, because processes
// reach each other and the platform without a name service.
func (r *reader) url(section, name string) string {
	v := r.text(section, name, "")
	if v == "" {
		return v
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		r.addFinding(section, name, "%q is not an http or https URL", v)
		return v
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		r.addFinding(section, name, "host %q is not an IP address", u.Hostname())
	}
	return v
}

// integer reads a whole number of at least minimum.
func (r *reader) integer(section, name string, defaultValue, minimum int) int {
	r.recordKey(section, name, "whole number", strconv.Itoa(defaultValue))
	k, ok := r.key(section, name)
	if !ok {
		return defaultValue
	}
	v, err := strconv.Atoi(k.String())
	if err != nil || v < minimum {
		r.addFinding(section, name, "%q is not a whole number of at least %d", k.String(), minimum)
		return defaultValue
	}
	return v
}

// duration reads a positive duration with a unit.
func (r *reader) duration(section, name string, defaultValue time.Duration) time.Duration {
	r.recordKey(section, name, "duration", defaultValue.String())
	k, ok := r.key(section, name)
	if !ok {
		return defaultValue
	}
	v, err := time.ParseDuration(k.String())
	if err != nil || v <= 0 {
		r.addFinding(section, name, "%q is not a positive duration with a unit, such as 250ms", k.String())
		return defaultValue
	}
	return v
}

// reportUnknown adds a finding for each key that was never requested. Most often
// it is a typing error.
func (r *reader) reportUnknown(sections ...string) {
	for _, s := range r.file.Sections() {
		for _, k := range s.Keys() {
			if !r.requested[s.Name()+"."+k.Name()] {
				r.addFinding(s.Name(), k.Name(), "unknown key; known sections are %s", strings.Join(sections, ", "))
			}
		}
	}
}

// line returns the line of a key, of its section if the key is missing, or 0.
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
