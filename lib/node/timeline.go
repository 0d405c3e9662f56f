package node

import (
	"context"
	"net/http"
	"time"

	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// clockTimeout limits the wait for a clock stamp. A message without one is sent
// nevertheless: the order of events is for operators, and no decision depends
// on it.
const clockTimeout = 100 * time.Millisecond

// timelineMessage is an event to record, a clock stamp to observe or a query.
type timelineMessage struct {
	event       *timeline.Event
	observed    timeline.Stamp
	eventsReply *ring.Ring[[]timeline.Event]
	clockReply  *ring.Ring[timeline.Stamp]
}

// Record adds an event to the process's time line. It never blocks; if the ring
// is full, the oldest message is dropped and counted.
func (n *Node) Record(e timeline.Event) {
	e.Instance = n.settings.Self.ID
	e.FailureDomain = n.settings.Self.FailureDomain
	_ = n.events.Put(context.Background(), timelineMessage{event: &e})
}

// ObserveClock merges the clock of another process.
func (n *Node) ObserveClock(s timeline.Stamp) {
	_ = n.events.Put(context.Background(), timelineMessage{observed: s})
}

// Clock returns a stamp for a message to another process; zero if the time line
// duty does not answer within clockTimeout or before ctx ends.
func (n *Node) Clock(ctx context.Context) timeline.Stamp {
	answer := ring.New[timeline.Stamp](1, ring.Refuse)
	_ = n.events.Put(ctx, timelineMessage{clockReply: answer})
	timeoutCtx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	s, _ := answer.Take(timeoutCtx)
	return s
}

// runTimeline owns the clock and the event log.
func (n *Node) runTimeline(ctx context.Context) error {
	var clock timeline.Clock
	events := timeline.NewLog(eventLogSize)
	for {
		m, err := n.events.Take(ctx)
		if err != nil {
			return nil
		}
		switch {
		case m.eventsReply != nil:
			_ = m.eventsReply.Put(ctx, events.Events())
		case m.clockReply != nil:
			_ = m.clockReply.Put(ctx, clock.Now(time.Now()))
		case m.event != nil:
			m.event.Stamp = clock.Now(time.Now())
			events.Append(*m.event)
		default:
			clock.Observe(m.observed, time.Now())
		}
	}
}

// Events returns the events that the process keeps, oldest first.
func (n *Node) Events(ctx context.Context) ([]timeline.Event, error) {
	answer := ring.New[[]timeline.Event](1, ring.Refuse)
	if err := n.events.Put(ctx, timelineMessage{eventsReply: answer}); err != nil {
		return nil, err
	}
	return answer.Take(ctx)
}

// TimelineHandler serves the events that the process keeps, as JSON.
func (n *Node) TimelineHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		events, err := n.Events(ctx)
		if err != nil {
			http.Error(w, "timeline does not answer", http.StatusServiceUnavailable)
			return
		}
		wire.WriteJSON(w, events)
	})
}
