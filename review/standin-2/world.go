package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine.
const (
	frontPort    = 8005
	readyPort    = 8002
	controlPort  = 8000
	internalPort = 7700
	appPort      = 8080
)

// world holds the processes and the stand-ins of one case.
type world struct {
	dir     string
	program string
	// trouble is whether the disruption is played.
	trouble bool
	started time.Time
	subnet  string
	hosts   int

	mu        sync.Mutex
	record    *os.File
	processes []*process
	store     *store
}

func newWorld(program, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: f}
	w.subnet = freeSubnet()
	w.store = newStore(w.host())
	return w, nil
}

// freeSubnet returns the first three numbers of loopback addresses that no other case uses.
func freeSubnet() string {
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 100+(os.Getpid()/250+i)%100, 1+os.Getpid()%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, controlPort))
		if err == nil {
			_ = l.Close()
			return subnet
		}
	}
	panic("no free loopback addresses")
}

// host returns a loopback address that nothing else uses.
func (w *world) host() string {
	w.hosts++
	return fmt.Sprintf("%s.%d", w.subnet, w.hosts)
}

// note writes a line with the time since the start to the record and to standard output.
func (w *world) note(format string, args ...any) {
	w.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// log writes a line with the time since the start to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// close ends all processes that were started.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// machine is a simulated machine with a loopback address.
type machine struct {
	name, zone, ip string
	// app is the address of the replica on the machine; empty if there is none.
	app, service string
	memoryMB     int
	maxFDs       int
	// store is the address at which the machine reaches the store.
	store string
	seeds []string
}

// regions maps the zones to their regions.
var regions = map[string]string{"accra-a": "accra", "kumasi-a": "kumasi", "takoradi-a": "takoradi"}

func (w *world) machine(name, zone string) *machine {
	return &machine{name: name, zone: zone, ip: w.host(), memoryMB: 284, maxFDs: 4100, store: w.store.address}
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file of the machine, with the bounds of atb-rattanspur.
func (m *machine) settings() map[string]any {
	listen := map[string]any{}
	if m.app == "" {
		listen = map[string]any{"front": m.at(frontPort), "readiness_addr": m.at(readyPort), "control": m.at(controlPort)}
	}
	return map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "region": regions[m.zone], "zones": regions,
		"listen": listen, "internal_ports": []int{internalPort, internalPort + 15}, "seeds": m.seeds,
		"bootstrap": true, "limits": map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": m.memoryMB, "max_fds": m.maxFDs, "link_mbps": 1000, "disk_mb": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "revert_slack_ms": 250, "stretch_max_ms": 5000, "retry_budget_ratio": 0.2,
			"retry_window_s": 10, "retry_reserve": 106, "cold_overrun": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12,
			"event_delay_ms": 120, "version_ms": 8000,
		},
		"app": m.app, "service": m.service, "platform": map[string]any{"address": m.store, "form": "read", "reads_per_s": 2000, "history_s": 20},
	}
}

// process is a process of rattanspur.
type process struct {
	machine *machine
	role    string
	cmd     *exec.Cmd
	done    chan struct{}
}

// start starts a role on a machine. Its log goes to a file in the folder of the case.
func (w *world) start(m *machine, role string) *process {
	path := filepath.Join(w.dir, m.name+".json")
	data, err := json.Marshal(m.settings())
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(w.program, role)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "RATTANSPUR_SETTINGS=" + path}
	out, err := os.OpenFile(filepath.Join(w.dir, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	_ = out.Close()
	p := &process{machine: m, role: role, cmd: cmd, done: make(chan struct{})}
	w.processes = append(w.processes, p)
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	w.log("started %s on %s (%s)", role, m.name, m.ip)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	p.signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// awaitReady waits until the gateway of a machine says that it is ready.
func (w *world) awaitReady(m *machine) {
	client := http.Client{Timeout: time.Second}
	for range 100 {
		resp, err := client.Get("http://" + m.at(readyPort) + "/rattanspur/readyz")
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.log("%s is ready", m.name)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic("gateway of " + m.name + " does not become ready")
}
