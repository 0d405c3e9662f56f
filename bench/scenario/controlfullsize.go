package scenario

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/duty"
	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/gossip"
	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

const (
	// realProcesses is the number of real processes among the fleetSize members.
	realProcesses = 4
	// recordsPerMessage is the number of member records in each message that
	// fills the member tables of the real processes.
	recordsPerMessage = 100
)

// simulatedMembers sends and answers heartbeats for all members that are not
// real processes. One goroutine owns the core; HTTP handlers pass requests to it
// through a ring.
type simulatedMembers struct {
	core     *gossip.Core
	requests *ring.Ring[heartbeatRequest]
	client   *wire.Client
	list     []fleet.Instance
}

// heartbeatRequest is a received heartbeat and the ring for the answer to it.
type heartbeatRequest struct {
	heartbeat *gossip.Heartbeat
	answer    *ring.Ring[gossip.Heartbeat]
}

// controlAtFullSize measures the cost of a process whose member table has the
// expected size. All records are new to the processes, so that every message is
// full: the figures are for the upper bound of the traffic and not for an idle
// fleet.
func controlAtFullSize(ctx context.Context, env Env) error {
	l, err := lab.Start(idleOptions(env, realProcesses))
	if err != nil {
		return err
	}
	defer l.Close()
	if err := startIdle(ctx, l); err != nil {
		return err
	}
	m := &simulatedMembers{
		requests: ring.New[heartbeatRequest](realProcesses, ring.Wait),
		client:   &wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}},
	}
	server := httptest.NewServer(http.HandlerFunc(m.serve))
	defer server.Close()
	m.buildTable(l, strings.TrimPrefix(server.URL, "http://"))
	if err := m.sendTable(ctx, l); err != nil {
		return err
	}
	membersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.run(membersCtx, l)
	c, err := observe(ctx, l, func(ctx context.Context, _ *lab.Lab) error { return duty.Sleep(ctx, controlWindow) })
	if err != nil {
		return err
	}
	name := func(what string) string { return fmt.Sprintf("control.full_%s.members%d", what, fleetSize) }
	env.Report.Add(name("core_percent"), c.corePercent, "%", figure.AtMost(corePercentBound))
	env.Report.Add(name("rss_mb"), c.rssMB, "MB", figure.AtMost(rssMBBound))
	env.Report.Add(name("bytes_s"), c.bytesPerSecond, "B/s", figure.AtMost(bytesPerSecondBound))
	return nil
}

// buildTable fills the member list with the real processes and with simulated
// members, which all share one address.
func (m *simulatedMembers) buildTable(l *lab.Lab, address string) {
	for _, p := range processes(l) {
		m.list = append(m.list, p.Instance)
	}
	for i := len(m.list); i < fleetSize; i++ {
		region := regions[i%len(regions)]
		m.list = append(m.list, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("member-%04d", i)), Role: fleet.RoleAgent, Service: lab.Service,
			Address: address, FailureDomain: fleet.FailureDomain(region), Region: fleet.Region(region),
			State: fleet.StateLive, Serving: fleet.Digest{byte(i)},
		})
	}
	now := time.Now()
	m.core = gossip.New(gossip.Options{
		Self: m.list[realProcesses], Incarnation: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	m.core.SetInstanceList(now, m.list, 1)
	m.core.ServiceRead(now)
}

// sendTable sends the records of all simulated members to the real processes.
func (m *simulatedMembers) sendTable(ctx context.Context, l *lab.Lab) error {
	for first := realProcesses; first < len(m.list); first += recordsPerMessage {
		h := m.core.TableMessage(time.Now())
		h.Members, h.Crashes = nil, nil
		for _, i := range m.list[first:min(first+recordsPerMessage, len(m.list))] {
			h.Members = append(h.Members, gossip.Member{
				Instance: i, Listed: gossip.Listing{State: gossip.ListedLive, Revision: 1},
			})
		}
		for _, p := range processes(l) {
			if _, err := m.exchange(ctx, p, &h); err != nil {
				return err
			}
		}
	}
	return nil
}

// run sends each real process one heartbeat per second, as many as it would
// receive from random members, and answers the heartbeats of the real processes.
// It returns when ctx ends.
func (m *simulatedMembers) run(ctx context.Context, l *lab.Lab) {
	ticker := time.NewTicker(gossip.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case request := <-m.requests.Out():
			answer, _ := m.core.HandleHeartbeat(time.Now(), request.heartbeat)
			_ = request.answer.Put(ctx, answer)
		case now := <-ticker.C:
			m.core.ServiceRead(now)
			for _, p := range processes(l) {
				m.sendHeartbeat(ctx, now, p)
			}
		case <-ctx.Done():
			return
		}
	}
}

// sendHeartbeat runs one tick of the core and sends its heartbeats to a real
// process instead of the members that the core has selected.
func (m *simulatedMembers) sendHeartbeat(ctx context.Context, now time.Time, p *lab.Process) {
	for _, a := range m.core.Tick(now) {
		s, ok := a.(gossip.Send)
		if !ok {
			continue
		}
		if answer, err := m.exchange(ctx, p, &s.Message); err == nil {
			m.core.HandleAnswer(now, answer)
		}
	}
}

// exchange sends a heartbeat to a real process and returns the answer.
func (m *simulatedMembers) exchange(ctx context.Context, p *lab.Process, h *gossip.Heartbeat) (*gossip.Heartbeat, error) {
	data, err := wire.EncodeHeartbeat(h, timeline.Stamp{})
	if err != nil {
		return nil, err
	}
	body, err := m.client.Post(ctx, p.Address, wire.PathHeartbeat, data, wire.MaxHeartbeatBytes)
	if err != nil {
		return nil, err
	}
	answer, _, err := wire.DecodeHeartbeat(body)
	return answer, err
}

// serve passes a received heartbeat to run and responds with the answer.
func (m *simulatedMembers) serve(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxHeartbeatBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h, _, err := wire.DecodeHeartbeat(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request := heartbeatRequest{heartbeat: h, answer: ring.New[gossip.Heartbeat](1, ring.Refuse)}
	if err := m.requests.Put(r.Context(), request); err != nil {
		return
	}
	answer, err := request.answer.Take(r.Context())
	if err != nil {
		return
	}
	body, err := wire.EncodeHeartbeat(&answer, timeline.Stamp{})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}
