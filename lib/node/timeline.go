package node

import (
	"context"
	"net/http"
	"time"

	"rattanspur.example/lib/ring"
	"rattanspur.example/lib/timeline"
	"rattanspur.example/lib/wire"
)

// clockWait bounds the wait for a stamp. A message without one is still sent:
// the order of events is for people and no decision depends on it.
const clockWait = 100 * time.Millisecond

// timelineMessage is an event to record, a stamp to observe or a question.
type timelineMessage struct {
	event   *timeline.Event
	observe timeline.Stamp
	answer  *ring.Ring[[]timeline.Event]
	clock   *ring.Ring[timeline.Stamp]
}

// Record adds an event to the process's time line. It never blocks; when the
// ring is full the oldest message is discarded and counted.
func (n *Node) Record(e timeline.Event) {
	e.Instance = n.settings.Self.ID
	e.FailureDomain = n.settings.Self.FailureDomain
	_ = n.events.Put(context.Background(), timelineMessage{event: &e})
}

// Observe takes in the clock of another process.
func (n *Node) Observe(s timeline.Stamp) {
	_ = n.events.Put(context.Background(), timelineMessage{observe: s})
}

// Clock returns a stamp for a message to another process; zero if the time
// line duty does not answer before ctx ends.
func (n *Node) Clock(ctx context.Context) timeline.Stamp {
	answer := ring.New[timeline.Stamp](1, ring.Refuse)
	_ = n.events.Put(ctx, timelineMessage{clock: answer})
	limited, cancel := context.WithTimeout(ctx, clockWait)
	defer cancel()
	s, _ := answer.Take(limited)
	return s
}

// runTimeline owns the clock and the log of events.
func (n *Node) runTimeline(ctx context.Context) error {
	var clock timeline.Clock
	events := timeline.NewLog(eventLog)
	for {
		m, err := n.events.Take(ctx)
		if err != nil {
			return nil
		}
		switch {
		case m.answer != nil:
			_ = m.answer.Put(ctx, events.Events())
		case m.clock != nil:
			_ = m.clock.Put(ctx, clock.Now(time.Now()))
		case m.event != nil:
			m.event.Stamp = clock.Now(time.Now())
			events.Append(*m.event)
		default:
			clock.Observe(m.observe, time.Now())
		}
	}
}

// Events returns the events that the process keeps, oldest first.
func (n *Node) Events(ctx context.Context) ([]timeline.Event, error) {
	answer := ring.New[[]timeline.Event](1, ring.Refuse)
	if err := n.events.Put(ctx, timelineMessage{answer: answer}); err != nil {
		return nil, err
	}
	return answer.Take(ctx)
}

// TimelineHandler serves the events that the process keeps.
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
