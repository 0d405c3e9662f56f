// Package lab runs real processes of the system on loopback. The stand-ins that
// they depend on run in the calling process, so that tests and benchmarks can
// control them.
package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/confservice"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/manifest"
	"rattanspur.example/lib/pacing"
	"rattanspur.example/standin"
)

const (
	// PeerKey is the shared key of all processes in a lab.
	PeerKey = "lab-peer-key"
	// CustomerKey is the bearer key of the customer "counter".
	CustomerKey = "lab-customer-key"
	// OperatorKey is the password of the operator page of the entries.
	OperatorKey = "lab-operator-key"
	// ConfigKey is the key of the document in the configuration service.
	ConfigKey = "rattanspur/config"
	// Service is the name of the model service.
	Service fleet.Service = "advisory"
)

// Options define what a lab starts.
type Options struct {
	// Binary is the path of the rattanspur binary.
	Binary  string
	Agents  int
	Entries int
	// Regions are the names of the regions. Each region has one failure domain
	// of the same name. Instances are assigned to the regions round-robin.
	Regions []string
	// ModelBytes and ChunkBytes are the sizes of the generated weights and of
	// their chunks.
	ModelBytes int
	ChunkBytes int64
	// Link is the rate of each agent's link in each direction.
	Link pacing.BytesPerSecond
	// OriginLink is the rate of the origin's link.
	OriginLink pacing.BytesPerSecond
	Engine     standin.EngineOptions
	// PlainAgents is the number of agents of the plain service.
	PlainAgents int
	Plain       standin.PlainOptions
	Limits      config.Limits
	// Logs receives the standard error of the processes; nil discards it.
	Logs io.Writer
	// Ledger, if set, is the upstream of all agents instead of model engines.
	Ledger *standin.Ledger
	// Partitioned selects the processes that use a separate configuration
	// service and instance list, as if they were behind a network partition.
	// Nil selects none.
	Partitioned func(p *Process) bool
	// ExtraAgent and ExtraEntry are appended to the settings files of agents
	// and entries.
	ExtraAgent string
	ExtraEntry string
}

// Lab is a set of running processes and stand-ins.
type Lab struct {
	Options     Options
	Config      *standin.ConfigService
	Instances   *standin.InstanceList
	Agents      []*Process
	Entries     []*Process
	PlainAgents []*Process

	dir            string
	configServer   *httptest.Server
	instanceServer *httptest.Server
	cancel         context.CancelFunc
	ctx            context.Context
	doc            config.Document
	partition      *partitionServices
	closers        []func()
}

// Process is one process of the system and its stand-in upstream, if it has one.
type Process struct {
	fleet.Instance
	Engine *standin.Engine
	Plain  *standin.Plain
	// UpstreamURL is the base URL of the agent's engine or plain service.
	UpstreamURL  string
	settingsFile string
	cmd          *exec.Cmd
	done         chan struct{}
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Start starts the stand-ins and processes that the options define. The caller
// must close the lab.
func Start(o Options) (*Lab, error) {
	dir, err := os.MkdirTemp("", "rattanspur-lab-")
	if err != nil {
		return nil, eris.Wrap(err, "lab folder")
	}
	l := &Lab{Options: o, dir: dir, Config: standin.NewConfigService(), Instances: &standin.InstanceList{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.configServer = httptest.NewServer(l.Config.Handler())
	l.instanceServer = httptest.NewServer(l.Instances.Handler())
	l.closers = append(l.closers, l.configServer.Close, l.instanceServer.Close)
	if o.Partitioned != nil {
		l.partition = l.newPartition()
	}
	l.doc = l.initialDocument()
	if err := l.startAll(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Lab) startAll() error {
	for i := range l.Options.Agents {
		p, err := l.newAgent(i)
		if err != nil {
			return err
		}
		l.Agents = append(l.Agents, p)
	}
	for i := range l.Options.PlainAgents {
		p, err := l.newPlainAgent(i)
		if err != nil {
			return err
		}
		l.PlainAgents = append(l.PlainAgents, p)
	}
	for i := range l.Options.Entries {
		p, err := l.newProcess(fleet.RoleEntry, i)
		if err != nil {
			return err
		}
		l.Entries = append(l.Entries, p)
	}
	l.PublishInstances(0)
	for _, p := range l.processes() {
		if err := l.Launch(p); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) processes() []*Process {
	return slices.Concat(l.Agents, l.PlainAgents, l.Entries)
}

// ConfigURL returns the base URL of the configuration service.
func (l *Lab) ConfigURL() string { return l.configServer.URL }

// InstancesURL returns the base URL of the instance list.
func (l *Lab) InstancesURL() string { return l.instanceServer.URL }

// PublishInstances publishes all processes in the instance lists after a lag.
func (l *Lab) PublishInstances(lag time.Duration) {
	var connected, partitioned confservice.InstanceList
	for _, p := range l.processes() {
		if l.isPartitioned(p) {
			partitioned.Instances = append(partitioned.Instances, p.Instance)
		} else {
			connected.Instances = append(connected.Instances, p.Instance)
		}
	}
	connected.Revision = uint64(time.Now().UnixNano())
	partitioned.Revision = connected.Revision
	l.Instances.Set(connected, lag)
	if l.partition != nil {
		l.partition.instanceList.Set(partitioned, lag)
	}
}

func (l *Lab) newAgent(i int) (*Process, error) {
	p, err := l.newProcess(fleet.RoleAgent, i)
	if err != nil {
		return nil, err
	}
	if l.Options.Ledger != nil {
		return l.attachLedger(p), nil
	}
	p.Service = Service
	p.Engine = standin.NewEngine(l.Options.Engine)
	go func() { _ = p.Engine.Run(l.ctx) }()
	server := httptest.NewUnstartedServer(p.Engine.Handler())
	server.Config.ConnContext = p.Engine.ConnContext
	server.Start()
	l.closers = append(l.closers, server.CloseClientConnections, server.Close)
	p.UpstreamURL = server.URL
	return p, nil
}

func (l *Lab) newProcess(role fleet.Role, i int) (*Process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	region := l.Options.Regions[i%len(l.Options.Regions)]
	return &Process{Instance: fleet.Instance{
		ID:            fleet.InstanceID(fmt.Sprintf("%s-%d", role, i)),
		Role:          role,
		Address:       address,
		FailureDomain: fleet.FailureDomain(region),
		Region:        fleet.Region(region),
		State:         fleet.StateLive,
	}}, nil
}

const (
	// firstPort and lastPort bound the ports of processes. The range is below
	// the kernel's ephemeral ports. Otherwise an outgoing connection could
	// occupy the port of a process that has not started yet.
	firstPort = 12000
	lastPort  = 32000
	// maxPortTries bounds the search for a free port.
	maxPortTries = 1000
)

// nextPort is the offset of the last port that was tried. All labs of a program
// share it, so that each port is tried once. It starts at a random value, so
// that programs that run at the same time rarely try the same ports.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(lastPort - firstPort)) }

// freeAddress returns a loopback address with a free port. The port is not
// reserved.
func freeAddress() (string, error) {
	for range maxPortTries {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, eris.Wrap(l.Close(), "free address")
		}
	}
	return "", eris.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// Launch writes the settings file of a process and starts it. A process that
// was stopped or killed can be launched again.
func (l *Lab) Launch(p *Process) error {
	p.settingsFile = filepath.Join(l.dir, string(p.ID)+".ini")
	if err := os.WriteFile(p.settingsFile, []byte(l.settings(p)), 0o600); err != nil {
		return eris.Wrap(err, "settings")
	}
	p.cmd = exec.Command(l.Options.Binary, string(p.Role), "--settings", p.settingsFile)
	p.cmd.Stderr = l.Options.Logs
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.ID)
	}
	cmd, done := p.cmd, p.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (l *Lab) settings(p *Process) string {
	text := fmt.Sprintf(`[node]
id = %s
listen = %s
failure_domain = %s
region = %s
config_url = %s
config_key = %s
instances_url = %s
peer_keys = %s
operator_key = %s
log_level = warn
list_every = 500ms

`, p.ID, p.Address, p.FailureDomain, p.Region, l.configURLFor(p), ConfigKey, l.instancesURLFor(p), PeerKey, OperatorKey)
	if p.Role == fleet.RoleEntry {
		return text + "[entry]\ncalls = 256\n" + l.Options.ExtraEntry
	}
	return text + fmt.Sprintf(`[agent]
service = %s
upstream_url = %s
order_settle = 50ms
link_up_bytes_per_second = %d
link_down_bytes_per_second = %d
%s`, p.Service, p.UpstreamURL, l.Options.Link, l.Options.Link, l.Options.ExtraAgent)
}

// Signal sends a signal to a process.
func (l *Lab) Signal(p *Process, s os.Signal) error {
	return eris.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.ID)
}

// Wait blocks until a process has exited. It returns the error of ctx if that
// ends first.
func (l *Lab) Wait(ctx context.Context, p *Process) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close kills all processes, stops the stand-ins and removes the settings files.
func (l *Lab) Close() {
	for _, p := range l.processes() {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	l.cancel()
	for _, f := range l.closers {
		f()
	}
	_ = os.RemoveAll(l.dir)
}

// AddStore generates weights from a seed and serves them at the rate of the
// origin's link. It returns the stand-in origin and the weights for a profile.
func (l *Lab) AddStore(seed uint64) (*standin.Store, config.Weights, error) {
	files := standin.GenerateWeights(l.Options.ModelBytes, seed)
	m, err := manifest.Build(standin.Tree(files), l.Options.ChunkBytes, nil)
	if err != nil {
		return nil, config.Weights{}, err
	}
	store, err := standin.NewStore(files, m, l.Options.OriginLink)
	if err != nil {
		return nil, config.Weights{}, err
	}
	encoded, err := m.Encode()
	if err != nil {
		return nil, config.Weights{}, err
	}
	server := httptest.NewServer(store.Handler())
	l.closers = append(l.closers, server.CloseClientConnections, server.Close)
	w := config.Weights{
		Root: manifest.Root(encoded), Origin: server.URL,
		Region: fleet.Region(l.Options.Regions[0]), Bytes: m.Size(),
	}
	return store, w, nil
}

// HTTP is the client for the requests of callers and tests.
var HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
