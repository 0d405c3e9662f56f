package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as in the site file atb-rattanspur.
const (
	drainTime    = 2 * time.Second
	graceTime    = 8 * time.Second
	recoveryTime = 12 * time.Second
	contactTime  = 3 * time.Second
)

// regions maps the zones to their regions.
var regions = map[string]string{"accra-a": "accra", "kumasi-a": "kumasi", "takoradi-a": "takoradi"}

// world holds all that one case starts.
type world struct {
	trouble bool
	program string
	dir     string
	store   *store
	// storeAddress is where processes reach the store.
	storeAddress string
	seeds        []string
	processes    []*process
	record       *record
	hosts        int
	basePort     int
	// engineStep and engineReads are what the configuration says of engines: ms for a token,
	// and prompt tokens read in a second.
	engineStep, engineReads float64
	engineSlots             int
}

// errCannotRun ends a case that could not be carried out: exit status 2.
type errCannotRun struct{ text string }

func cannotRun(format string, values ...any) { panic(errCannotRun{fmt.Sprintf(format, values...)}) }

// newWorld prepares a case. The record is written to the folder of the case.
func newWorld(folder, program string) *world {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", program: program, dir: dir, store: newStore(),
		record: newRecord(filepath.Join(folder, "record.txt")), engineStep: 7.4, engineReads: 31900, engineSlots: engineSlots,
	}
	w.choosePorts()
	w.storeAddress = w.serve(w.newHost(), w.store)
	return w
}

// choosePorts chooses a range of ports that are free on a host of the case. All machines use
// the same ports, each on a host of its own.
func (w *world) choosePorts() {
	const first, step, ranges, size = 18000, 50, 200, 26
	host := w.newHost()
	for i := range ranges {
		base := first + (os.Getpid()+i)%ranges*step
		free := true
		for port := base; port < base+size && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			w.basePort = base
			return
		}
	}
	cannotRun("no range of ports is free")
}

// newHost returns a loopback address that nothing else of the case uses.
func (w *world) newHost() string {
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%60, 1+os.Getpid()/60%200, 10+w.hosts)
}

// listen opens a free port of a host.
func listen(host string) net.Listener {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

// serve starts an HTTP server on a free port of a host and returns its address.
func (w *world) serve(host string, h http.Handler) string {
	l := listen(host)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// machine is a host of processes under test.
type machine struct {
	world *world
	name  string
	ip    string
	zone  string
	// app is the address of the replica on the machine; empty on an edge machine.
	app, service string
	// store is where the machine reaches the store; empty for the store's own address.
	store string
}

func (w *world) newMachine(name, zone string) *machine {
	return &machine{world: w, name: name, ip: w.newHost(), zone: zone}
}

func (m *machine) front() string     { return fmt.Sprintf("%s:%d", m.ip, m.world.basePort+5) }
func (m *machine) readiness() string { return fmt.Sprintf("%s:%d", m.ip, m.world.basePort+2) }
func (m *machine) control() string   { return fmt.Sprintf("%s:%d", m.ip, m.world.basePort) }

// settings writes the settings file of a role on the machine and returns its path.
func (m *machine) settings(role string) string {
	w := m.world
	listen := map[string]any{"front": m.front(), "readiness_addr": m.readiness(), "control": m.control()}
	class, serves := "edge", []string{"edge", "control_plane"}
	switch role {
	case "seeder":
		serves = []string{}
	case "loader":
		listen, class, serves = map[string]any{}, "side", []string{"side"}
	}
	data, err := json.Marshal(map[string]any{
		"node_name": m.name, "role": role, "machine_class": class, "serves": serves, "ip": m.ip, "zone": m.zone,
		"region": regions[m.zone], "zones": regions, "listen": listen,
		"internal_ports": []int{w.basePort + 10, w.basePort + 25}, "seeds": w.seeds, "bootstrap": true, "in_tolerance": false,
		"limits":    map[string]any{"cpu_share": 0.608, "cores": 1, "memory_mb": 544, "max_fds": 8200, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "anycast", "heartbeat_ms": 1200,
		"fault_tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contactTime.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4,
			"drain_ms": drainTime.Milliseconds(), "grace_s": graceTime.Seconds(), "loss_slack_ms": 200, "config_apply_ms": 2000,
			"revert_slack_ms": 250, "stretch_max_ms": 5000, "revoke_partitioned": false, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_reserve": 106, "cold_overrun": 1.5, "cold_slack": 5,
			"evacuate_ms": 5000, "recovery_s": recoveryTime.Seconds(), "event_delay_ms": 120, "version_ms": 8000,
		},
		"app": m.app, "service": m.service,
		"platform": map[string]any{
			"address": cmp.Or(m.store, w.storeAddress), "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20,
		},
	})
	if err != nil {
		panic(err)
	}
	path := filepath.Join(w.dir, m.name+"-"+role+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	return path
}

// process is a process under test.
type process struct {
	machine *machine
	role    string
	cmd     *exec.Cmd
	done    chan struct{}
	mu      sync.Mutex
	// asked says that the case ended it.
	asked bool
}

// launch starts a role on the machine.
func (m *machine) launch(role string) *process {
	p := &process{machine: m, role: role}
	m.world.processes = append(m.world.processes, p)
	p.start()
	return p
}

func (p *process) start() {
	w := p.machine.world
	log, err := os.OpenFile(filepath.Join(w.dir, p.machine.name+"-"+p.role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd := exec.Command(w.program, p.role)
	cmd.Env = append(os.Environ(), "RATTANSPUR_SETTINGS="+p.machine.settings(p.role))
	cmd.Stdout, cmd.Stderr = log, log
	// A process does not outlive the case, also if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", p.role, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.asked = cmd, done, false
	p.mu.Unlock()
	w.record.write("start %s on %s", p.role, p.machine.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		asked := p.asked
		p.mu.Unlock()
		w.record.write("end %s on %s asked=%t %v", p.role, p.machine.name, asked, err)
		close(done)
	}()
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = p.asked || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

// endOnSignal ends the case, with the processes that it started, on a signal to stop or when
// it takes too long.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxLength):
		}
		w.record.say("could not run: the case was ended")
		w.close()
		os.Exit(2)
	}()
}

// close ends all processes and removes the temporary folder, unless it is to be kept.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
	}
	w.record.close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// waitReady waits until gateways report that they are ready.
func (w *world) waitReady(machines ...*machine) {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(20 * time.Second)
	for _, m := range machines {
		for {
			resp, err := client.Get("http://" + m.readiness() + "/rattanspur/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				cannotRun("gateway %s is not ready: %v", m.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
