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

// Time limits that processes guarantee with the settings of a soak.
const (
	graceTime    = 5 * time.Second
	configTime   = 2 * time.Second
	versionTime  = 6 * time.Second
	evacuateTime = 3 * time.Second
	drainTime    = 2 * time.Second
	// undisturbedTime is how long a process must have been undisturbed before the
	// limits apply to it.
	undisturbedTime = 3 * time.Second
)

// Ports of a machine and the limits in its settings.
const (
	frontPort    = 8200
	readyPort    = 8201
	controlPort  = 8202
	internalPort = 8210
	linkMbps     = 80
	memoryMB     = 256
)

// machine is a simulated host for processes, with its own loopback address.
type machine struct {
	name string
	zone string
	ip   string
	// engineAddress is the address of the engine on this machine; empty if there is
	// none.
	engineAddress string
	// dir is the folder of the settings file.
	dir string
	// store is the link to the platform's store.
	store *link
	// front is the link between callers and the gateway.
	front *link
}

// newMachine returns a machine with its own links to the store and from callers.
func (env *environment) newMachine(name, zone string) (*machine, error) {
	m := &machine{name: name, zone: zone, ip: env.newHost(), dir: env.dir}
	var err error
	if m.store, err = env.listenBehindLink("store of "+name, env.store.handler()); err != nil {
		return nil, err
	}
	m.front, err = newLink(env.group, env.newHost()+":8300", m.address(frontPort))
	return m, err
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// control returns the address of the machine's control port.
func (m *machine) control() string { return m.address(controlPort) }

// settingsPath returns the path of the machine's settings file.
func (m *machine) settingsPath() string { return filepath.Join(m.dir, m.name+".json") }

// writeSettings writes the settings file that all processes of the machine read.
// seeds are the control addresses of the gateways' machines.
func (m *machine) writeSettings(seeds []string) error {
	listen := map[string]any{
		"front": m.address(frontPort), "readiness_addr": m.address(readyPort), "control": m.control(),
	}
	if m.engineAddress != "" {
		listen = map[string]any{}
	}
	data, err := json.Marshal(map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "region": regionOf[m.zone], "zones": regionOf,
		"listen": listen, "internal_ports": []int{internalPort, internalPort + 9}, "seeds": seeds,
		"limits": map[string]any{"memory_mb": memoryMB, "max_fds": 4096, "link_mbps": linkMbps},
		"bounds": map[string]any{
			"grace_s": graceTime.Seconds(), "contact_ms": undisturbedTime.Milliseconds(), "config_apply_ms": configTime.Milliseconds(),
			"version_ms": versionTime.Milliseconds(), "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_reserve": 60,
			"cold_overrun": 1.5, "cold_slack": 5,
		},
		"app": m.engineAddress, "service": serviceOf(m.engineAddress), "platform": map[string]any{"address": m.store.address},
	})
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(m.settingsPath(), data, 0o600), "settings")
}

// serviceOf returns the service of the engine on a machine, or "" without engine.
func serviceOf(engineAddress string) string {
	if engineAddress == "" {
		return ""
	}
	return engineService
}

// process is a process of a program under test. Only one goroutine at a time calls
// its methods.
type process struct {
	machine *machine
	role    string
	program string
	cmd     *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	// stopping says that it got SIGTERM and has not been launched again.
	stopping atomic.Bool
	// stopRequested says that the soak sent SIGTERM or SIGKILL.
	stopRequested *atomic.Bool
}

// isGateway reports whether callers' requests pass the process.
func (p *process) isGateway() bool { return p.role == "gateway" }

func (p *process) name() string { return p.role + " of " + p.machine.name }

// launch starts the program. It is a violation if the process ends before the soak
// requests it.
func (p *process) launch(env *environment) error {
	logFile, err := os.OpenFile(filepath.Join(env.options.Logs, p.role+"-"+p.machine.name+".log"),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "log file")
	}
	p.cmd = exec.Command(p.program, p.role)
	p.cmd.Env = append(os.Environ(), "RATTANSPUR_SETTINGS="+p.machine.settingsPath())
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.done, p.stopRequested = make(chan struct{}), &atomic.Bool{}
	p.stopping.Store(false)
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.name())
	}
	cmd, done, stopRequested := p.cmd, p.done, p.stopRequested
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		if !stopRequested.Load() {
			env.ledger.addViolation(fmt.Sprintf("EXIT: %s ended by itself: %v", p.name(), err))
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process that was launched last.
func (p *process) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopRequested.Store(true)
	}
	_ = p.cmd.Process.Signal(s)
}

// kill kills the process, if it was started, and waits until it has ended.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ready polls the readiness endpoint of the machine's gateway and reports whether
// it answered 200.
func (m *machine) ready(client *http.Client) bool {
	resp, err := client.Get("http://" + m.address(readyPort) + "/rattanspur/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
