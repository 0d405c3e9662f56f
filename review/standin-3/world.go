package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// recorder writes what happened to record.txt, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, begin: time.Now()}, err
}

func (r *recorder) at(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// hosts gives out loopback addresses that are unlikely to be used by others.
type hosts struct{ n int }

func (h *hosts) next() net.IP {
	h.n++
	return net.IPv4(127, byte(90+os.Getpid()%100), byte(1+os.Getpid()/100%200), byte(10+h.n))
}

// replica is a stand-in of a plain replica.
type replica struct {
	id, address, service, zone string
	work                       time.Duration
	rec                        *recorder
	server                     *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	request string
	tenant  string
}

func newReplica(rec *recorder, ip net.IP, id, service, zone string, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, address: l.Addr().String(), service: service, zone: zone, work: work, rec: rec}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Rattanspur-Attempt-Id")
	w.Header().Set("Rattanspur-Attempt-Id", id)
	w.Header().Set("Rattanspur-Replica-Id", r.id)
	if q.URL.Path == "/healthz" {
		return
	}
	if e := q.Header.Get("Rattanspur-Expect-Replica"); e != "" && e != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{at: time.Now(), request: id, tenant: q.Header.Get("Rattanspur-Tenant")}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	r.rec.log("run %s at %s", id, r.id)
	time.Sleep(r.work)
	w.Header().Set("Rattanspur-Replica-Signature", r.id+".sig")
	_, _ = w.Write([]byte("body of " + id))
}

// entry returns the replica's entry in the store.
func (r *replica) entry(sequence int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_left_ms": 0, "sequence": sequence,
	}
}

// process is one process of the system under test.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a role with the command of the deploy file. Its output goes to a file.
func start(root, role, settings, output string) (*process, error) {
	out, err := os.Create(output)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(root, "target", "rattanspur"), role)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "RATTANSPUR_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// bounds are the bounds of the deployment atb-rattanspur.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
	"loss_slack_ms": 200, "config_apply_ms": 2000, "revert_slack_ms": 250, "stretch_max_ms": 5000, "revoke_partitioned": false,
	"revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_reserve": 106, "cold_overrun": 1.5, "cold_slack": 5,
	"evacuate_ms": 5000, "recovery_s": 12, "event_delay_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
}

// Ports of all machines of a run. choosePorts sets them to free ones.
var (
	frontPort, readyPort, controlPort string
	internalPort                      int
)

// internalPorts is the number of ports for internal traffic.
const internalPorts = 16

// choosePorts finds a row of ports that nothing uses on all addresses or on the first loopback address.
func choosePorts() error {
	for range 50 {
		first := 20000 + rand.IntN(10000)
		if portsFree(first, internalPorts+3) {
			internalPort = first
			frontPort = strconv.Itoa(first + internalPorts)
			readyPort = strconv.Itoa(first + internalPorts + 1)
			controlPort = strconv.Itoa(first + internalPorts + 2)
			return nil
		}
	}
	return errors.New("no free ports")
}

func portsFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return true
}

// gatewaySettings writes the settings file of a gateway.
func gatewaySettings(path, name, zone string, ip net.IP, store string, seeds []string) error {
	addr := func(port string) string { return net.JoinHostPort(ip.String(), port) }
	data, err := json.Marshal(map[string]any{
		"node_name": name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": ip.String(), "zone": zone, "region": regions[zone], "zones": regions,
		"listen":         map[string]any{"front": addr(frontPort), "readiness_addr": addr(readyPort), "control": addr(controlPort)},
		"internal_ports": []int{internalPort, internalPort + internalPorts - 1}, "seeds": seeds, "bootstrap": true, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "anycast", "heartbeat_ms": 1200, "bounds": bounds,
		"platform": map[string]any{
			"address": store, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	return writeFile(path, data)
}

func writeFile(path string, data []byte) error { return os.WriteFile(path, data, 0o600) }

var regions = map[string]string{"accra-a": "accra", "kumasi-a": "kumasi", "takoradi-a": "takoradi"}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	// own is set if the answer has no signature of a replica.
	own bool
	err error
}

// client sends one request and reads the answer.
func get(c *http.Client, front, host, path, id string, deadline time.Duration) answer {
	a := answer{id: id, sentAt: time.Now()}
	req, err := http.NewRequest(http.MethodGet, "http://"+front+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Rattanspur-Attempt-Id", id)
	req.Header.Set("Rattanspur-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	var buf [4096]byte
	for err == nil {
		_, err = resp.Body.Read(buf[:])
	}
	a.status, a.own = resp.StatusCode, resp.Header.Get("Rattanspur-Replica-Signature") == ""
	return a
}

// waitReady waits until a gateway says that it is ready.
func waitReady(ip net.IP) bool {
	for range 100 {
		resp, err := http.Get("http://" + net.JoinHostPort(ip.String(), readyPort) + "/rattanspur/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
