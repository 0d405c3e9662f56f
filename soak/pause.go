package soak

import (
	"context"
	"io"
	"net/http"
	"time"

	"rattanspur.example/lib/duty"
)

// pausePoint is where in its work a replica falls silent.
type pausePoint uint8

const (
	// anywhere begins a pause at once, wherever the requests of the replica are.
	anywhere pausePoint = iota
	// beforeHead is after a request was received, before it is admitted.
	beforeHead
	// inStream and inBody are in the middle of an event and of a plain answer, inRefusal
	// after the head of a refusal.
	inStream
	inBody
	inRefusal
	pausePoints
)

func (p pausePoint) String() string {
	return [...]string{"anywhere", "before a head", "in a stream", "in a body", "in a refusal"}[p]
}

// armedPause is a pause that begins when the replica reaches a point; the zero value is
// none.
type armedPause struct {
	point    pausePoint
	duration time.Duration
}

// pause makes the replica fall silent when a request reaches the point. All of its work
// stands still meanwhile, as that of a stalled process, and goes on afterwards. It has no
// effect while the replica is silent.
func (r *replica) pause(point pausePoint, duration time.Duration) {
	apply(r.state, func(s *replicaState) {
		if s.armed = (armedPause{point, duration}); point == anywhere {
			r.beginPause(s)
		}
	})
}

// triggerPause begins the armed pause if no request has reached its point.
func (r *replica) triggerPause() { apply(r.state, r.beginPause) }

// beginPause begins the armed pause, if there is one.
func (r *replica) beginPause(s *replicaState) {
	duration := s.armed.duration
	s.armed = armedPause{}
	if duration == 0 || s.resumed != nil {
		return
	}
	resumed := make(chan struct{})
	s.resumed = resumed
	r.env.group.Go(r.name+" pause", func(ctx context.Context) error {
		_ = duty.Sleep(ctx, duration)
		apply(r.state, func(s *replicaState) { s.resumed = nil })
		close(resumed)
		return nil
	})
}

// reach waits while the replica is silent. It begins a pause that is armed for the point.
func (r *replica) reach(point pausePoint) {
	resumed := call(r.state, func(s *replicaState) chan struct{} {
		if s.armed.point == point {
			r.beginPause(s)
		}
		return s.resumed
	})
	if resumed != nil {
		<-resumed
	}
}

// send writes a part of an answer. A replica that is silent by then has written half of
// it before.
func (r *replica) send(w http.ResponseWriter, text string, point pausePoint) {
	silent := call(r.state, func(s *replicaState) bool {
		return s.resumed != nil || s.armed.duration > 0 && s.armed.point == point
	})
	half := 0
	if silent {
		half = len(text) / 2
		_, _ = io.WriteString(w, text[:half])
		_ = http.NewResponseController(w).Flush()
	}
	r.reach(point)
	_, _ = io.WriteString(w, text[half:])
	_ = http.NewResponseController(w).Flush()
}
