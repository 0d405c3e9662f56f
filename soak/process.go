package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// The times that the settings of a soak promise.
const (
	graceTime    = 5 * time.Second
	configTime   = 2 * time.Second
	versionTime  = 6 * time.Second
	evacuateTime = 3 * time.Second
	drainTime    = 2 * time.Second
	// contactTime is how long a process must have been undisturbed before the
	// times bind it.
	contactTime = 3 * time.Second
)

const (
	frontPort    = 8200
	readyPort    = 8201
	controlPort  = 8202
	internalPort = 8210
	linkMbps     = 80
	memoryMB     = 256
)

// machine is where processes run: a loopback address of its own.
type machine struct {
	name  string
	zone  string
	ip    string
	app   string
	dir   string
	store *link
	// front is the link between callers and the gateway.
	front *link
}

func (w *world) newMachine(name, zone string) (*machine, error) {
	m := &machine{name: name, zone: zone, ip: w.host(), dir: w.dir}
	var err error
	if m.store, err = w.listen("store of "+name, w.store.handler()); err != nil {
		return nil, err
	}
	m.front, err = newLink(w.group, w.host()+":8300", m.address(frontPort))
	return m, err
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) control() string { return m.address(controlPort) }

func (m *machine) settings() string { return filepath.Join(m.dir, m.name+".json") }

func (m *machine) writeSettings(seeds []string) error {
	listen := map[string]any{
		"front": m.address(frontPort), "readiness_addr": m.address(readyPort), "control": m.control(),
	}
	if m.app != "" {
		listen = map[string]any{}
	}
	data, err := json.Marshal(map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "region": regionOf[m.zone], "zones": regionOf,
		"listen": listen, "internal_ports": []int{internalPort, internalPort + 9}, "seeds": seeds,
		"limits": map[string]any{"memory_mb": memoryMB, "max_fds": 4096, "link_mbps": linkMbps},
		"bounds": map[string]any{
			"grace_s": graceTime.Seconds(), "config_apply_ms": configTime.Milliseconds(),
			"version_ms": versionTime.Milliseconds(), "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_reserve": 60,
			"cold_overrun": 1.5, "cold_slack": 5,
		},
		"app": m.app, "service": serviceOf(m.app), "platform": map[string]any{"address": m.store.address},
	})
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(m.settings(), data, 0o600), "settings")
}

func serviceOf(app string) string {
	if app == "" {
		return ""
	}
	return engineService
}

// process is a program under test. Its methods are called by one duty.
type process struct {
	machine *machine
	role    string
	program string
	cmd     *exec.Cmd
	done    chan struct{}
	// ending says that the soak told it to end.
	ending *atomic.Bool
}

func (p *process) name() string { return p.role + " of " + p.machine.name }

// launch starts the program. If it ends before it is told to, a promise is
// broken.
func (p *process) launch(w *world) error {
	out, err := os.OpenFile(filepath.Join(w.options.Logs, p.role+"-"+p.machine.name+".log"),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "log file")
	}
	p.cmd = exec.Command(p.program, p.role)
	p.cmd.Env = append(os.Environ(), "RATTANSPUR_SETTINGS="+p.machine.settings())
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.done, p.ending = make(chan struct{}), &atomic.Bool{}
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name())
	}
	cmd, done, ending := p.cmd, p.done, p.ending
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		if !ending.Load() {
			w.ledger.breaks(fmt.Sprintf("EXIT: %s ended by itself: %v", p.name(), err))
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process that was started.
func (p *process) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.ending.Store(true)
	}
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits for it.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ready asks a gateway whether it takes connections.
func (m *machine) ready(client *http.Client) bool {
	resp, err := client.Get("http://" + m.address(readyPort) + "/rattanspur/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
