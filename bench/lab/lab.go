// Package lab starts real processes of the system on loopback beside stand-ins
// that run in the calling process, where tests and benchmarks control them.
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
	// OperatorKey opens the operator page of the entries.
	OperatorKey = "lab-operator-key"
	// ConfigKey is the key that holds the configuration.
	ConfigKey = "rattanspur/config"
	// Service is the name of the model service.
	Service fleet.Service = "advisory"
)

// Options say what a lab starts.
type Options struct {
	// Binary is the path of the rattanspur binary.
	Binary  string
	Agents  int
	Entries int
	// Regions holds the names of the regions; each has one failure domain of
	// the same name, and instances are dealt out in turn.
	Regions []string
	// ModelBytes and ChunkBytes size the generated weights.
	ModelBytes int
	ChunkBytes int64
	// Link is the rate of a machine's link in each direction.
	Link pacing.BytesPerSecond
	// OriginLink is the rate of the origin's link.
	OriginLink pacing.BytesPerSecond
	Engine     standin.EngineOptions
	// Plains is the number of agents beside plain services.
	Plains int
	Plain  standin.PlainOptions
	Limits config.Limits
	// Logs receives what the processes print; nil discards it.
	Logs io.Writer
	// Ledger makes the agents serve the plain service of that stand-in instead
	// of model engines.
	Ledger *standin.Ledger
	// CutOff names the processes that have a configuration service and an
	// instance list of their own, as behind a partition.
	CutOff func(p *Process) bool
	// ExtraAgent and ExtraEntry are appended to the settings files.
	ExtraAgent string
	ExtraEntry string
}

// Lab is a running set of processes and stand-ins.
type Lab struct {
	Options   Options
	Config    *standin.ConfigService
	Instances *standin.InstanceList
	Agents    []*Process
	Entries   []*Process
	Plains    []*Process

	dir     string
	service *httptest.Server
	list    *httptest.Server
	cancel  context.CancelFunc
	ctx     context.Context
	doc     config.Document
	cut     *platformSide
	closers []func()
}

// Process is one started process of the system.
type Process struct {
	fleet.Instance
	Engine    *standin.Engine
	Plain     *standin.Plain
	EngineURL string
	file      string
	cmd       *exec.Cmd
	done      chan struct{}
}

// PID returns the identifier of the running process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Start builds the settings and starts everything that the options ask for.
// The caller must Close the lab.
func Start(o Options) (*Lab, error) {
	dir, err := os.MkdirTemp("", "rattanspur-lab-")
	if err != nil {
		return nil, eris.Wrap(err, "lab folder")
	}
	l := &Lab{Options: o, dir: dir, Config: standin.NewConfigService(), Instances: &standin.InstanceList{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.service = httptest.NewServer(l.Config.Handler())
	l.list = httptest.NewServer(l.Instances.Handler())
	l.closers = append(l.closers, l.service.Close, l.list.Close)
	if o.CutOff != nil {
		l.cut = l.newSide()
	}
	l.doc = l.document()
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
	for i := range l.Options.Plains {
		p, err := l.newPlain(i)
		if err != nil {
			return err
		}
		l.Plains = append(l.Plains, p)
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
	return slices.Concat(l.Agents, l.Plains, l.Entries)
}

// ConfigURL returns the base URL of the configuration service.
func (l *Lab) ConfigURL() string { return l.service.URL }

// InstancesURL returns the base URL of the instance list.
func (l *Lab) InstancesURL() string { return l.list.URL }

// PublishInstances sets the instance list after a lag.
func (l *Lab) PublishInstances(lag time.Duration) {
	var list, cut confservice.InstanceList
	for _, p := range l.processes() {
		if l.isCutOff(p) {
			cut.Instances = append(cut.Instances, p.Instance)
		} else {
			list.Instances = append(list.Instances, p.Instance)
		}
	}
	list.Revision = uint64(time.Now().UnixNano())
	cut.Revision = list.Revision
	l.Instances.Set(list, lag)
	if l.cut != nil {
		l.cut.instances.Set(cut, lag)
	}
}

func (l *Lab) newAgent(i int) (*Process, error) {
	p, err := l.newProcess(fleet.RoleAgent, i)
	if err != nil {
		return nil, err
	}
	if l.Options.Ledger != nil {
		return l.withLedger(p), nil
	}
	p.Service = Service
	p.Engine = standin.NewEngine(l.Options.Engine)
	go func() { _ = p.Engine.Run(l.ctx) }()
	server := httptest.NewUnstartedServer(p.Engine.Handler())
	server.Config.ConnContext = p.Engine.ConnContext
	server.Start()
	l.closers = append(l.closers, server.CloseClientConnections, server.Close)
	p.EngineURL = server.URL
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
	// firstPort and lastPort bound the ports of processes. They lie below the
	// ports that the kernel gives to outgoing connections; otherwise a
	// connection may take the port of a process that has not started yet.
	firstPort = 12000
	lastPort  = 32000
	// portTries bounds the search for a free port.
	portTries = 1000
)

// nextPort makes the labs of one program try each port once; another program
// most likely begins elsewhere.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(lastPort - firstPort)) }

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	for range portTries {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, eris.Wrap(l.Close(), "free address")
		}
	}
	return "", eris.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// Launch starts a process, also after it was stopped or killed.
func (l *Lab) Launch(p *Process) error {
	p.file = filepath.Join(l.dir, string(p.ID)+".ini")
	if err := os.WriteFile(p.file, []byte(l.settings(p)), 0o600); err != nil {
		return eris.Wrap(err, "settings")
	}
	p.cmd = exec.Command(l.Options.Binary, string(p.Role), "--settings", p.file)
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

`, p.ID, p.Address, p.FailureDomain, p.Region, l.configURL(p), ConfigKey, l.listURL(p), PeerKey, OperatorKey)
	if p.Role == fleet.RoleEntry {
		return text + "[entry]\ncalls = 256\n" + l.Options.ExtraEntry
	}
	return text + fmt.Sprintf(`[agent]
service = %s
upstream_url = %s
order_settle = 50ms
link_up_bytes_per_second = %d
link_down_bytes_per_second = %d
%s`, p.Service, p.EngineURL, l.Options.Link, l.Options.Link, l.Options.ExtraAgent)
}

// Signal sends a signal to a process that the lab started.
func (l *Lab) Signal(p *Process, s os.Signal) error {
	return eris.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.ID)
}

// Wait blocks until a process has ended or ctx ends.
func (l *Lab) Wait(ctx context.Context, p *Process) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close kills every process of the lab and stops the stand-ins.
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

// AddStore serves a weight tree from the origin's link and returns its store.
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

// HTTP is the client for callers' requests.
var HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
