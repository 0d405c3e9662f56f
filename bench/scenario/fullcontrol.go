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
	// fullProcesses is the number of real processes in a table of fleetSize.
	fullProcesses = 4
	// recordsPerMessage is the number of records in a message that fills the
	// tables of the real processes.
	recordsPerMessage = 100
)

// members answers and sends heartbeats for all members that are not real
// processes. One goroutine owns the core; handlers reach it through a ring.
type members struct {
	core   *gossip.Core
	inbox  *ring.Ring[question]
	client *wire.Client
	list   []fleet.Instance
}

type question struct {
	heartbeat *gossip.Heartbeat
	answer    *ring.Ring[gossip.Heartbeat]
}

// fullControl measures what a process spends in a table of the expected size.
// All records are news to the processes, so that every message is full: the
// figures are for the bound of the traffic and not for an idle fleet.
func fullControl(ctx context.Context, env Env) error {
	l, err := lab.Start(idle(env, fullProcesses))
	if err != nil {
		return err
	}
	defer l.Close()
	if err := startIdle(ctx, l); err != nil {
		return err
	}
	m := &members{
		inbox:  ring.New[question](fullProcesses, ring.Wait),
		client: &wire.Client{HTTP: lab.HTTP, Keys: wire.Keys{lab.PeerKey}},
	}
	server := httptest.NewServer(http.HandlerFunc(m.serve))
	defer server.Close()
	m.fill(l, strings.TrimPrefix(server.URL, "http://"))
	if err := m.teach(ctx, l); err != nil {
		return err
	}
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.run(limited, l)
	c, err := observe(ctx, l, func(ctx context.Context, _ *lab.Lab) error { return duty.Sleep(ctx, controlWindow) })
	if err != nil {
		return err
	}
	name := func(what string) string { return fmt.Sprintf("control.full_%s.members%d", what, fleetSize) }
	env.Report.Add(name("core_percent"), c.core, "%", figure.AtMost(coreBound))
	env.Report.Add(name("rss_mb"), c.rss, "MB", figure.AtMost(rssBound))
	env.Report.Add(name("bytes_s"), c.bytes, "B/s", figure.AtMost(bytesBound))
	return nil
}

// fill builds the table: the real processes and members at one address.
func (m *members) fill(l *lab.Lab, address string) {
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
		Self: m.list[fullProcesses], Incarnation: 1, Now: now, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	m.core.SetInstanceList(now, m.list, 1)
	m.core.ServiceRead(now)
}

// teach sends all records to the real processes.
func (m *members) teach(ctx context.Context, l *lab.Lab) error {
	for first := fullProcesses; first < len(m.list); first += recordsPerMessage {
		h := m.core.TableMessage(time.Now())
		h.Members, h.Suspects = nil, nil
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

// run sends each real process one heartbeat a second, as random members would.
func (m *members) run(ctx context.Context, l *lab.Lab) {
	beat := time.NewTicker(gossip.HeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case q := <-m.inbox.Out():
			answer, _ := m.core.HandleHeartbeat(time.Now(), q.heartbeat)
			_ = q.answer.Put(ctx, answer)
		case now := <-beat.C:
			m.core.ServiceRead(now)
			for _, p := range processes(l) {
				m.beat(ctx, now, p)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (m *members) beat(ctx context.Context, now time.Time, p *lab.Process) {
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

func (m *members) exchange(ctx context.Context, p *lab.Process, h *gossip.Heartbeat) (*gossip.Heartbeat, error) {
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

func (m *members) serve(w http.ResponseWriter, r *http.Request) {
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
	q := question{heartbeat: h, answer: ring.New[gossip.Heartbeat](1, ring.Refuse)}
	if err := m.inbox.Put(r.Context(), q); err != nil {
		return
	}
	answer, err := q.answer.Take(r.Context())
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
