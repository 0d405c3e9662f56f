package exchange

import "time"

// silence is the time without progress of an exchange. Only the first event and further
// ones are progress of an event stream; any other response makes none before its end.
type silence struct {
	// since is when the last progress was made: initially the time of the send.
	since time.Time
	// begun is set once the first event has arrived.
	begun bool
	// reported is set while the receiver knows of the silence.
	reported bool
	// rechecked is set once the last timeout was followed by another read.
	rechecked bool
}

// minTimeout replaces timeouts that are over already, so that bytes which have arrived
// are still read.
const minTimeout = time.Millisecond

// recordProgress begins a new silence.
func (x *exchange) recordProgress() {
	resumed := x.silence.reported
	x.silence = silence{since: time.Now(), begun: true}
	x.setReadDeadline()
	if resumed {
		x.receiver.Resumed()
	}
}

// timeouts returns the times without progress after which the receiver is told and after
// which the exchange ends; 0 for none.
func (x *exchange) timeouts() (report, end time.Duration) {
	if x.silence.begun {
		return x.options.ProgressSilence, x.options.ProgressTimeout
	}
	return x.options.FirstByteSilence, x.options.FirstByteTimeout
}

// endsAt returns when the exchange ends if it makes no progress; zero if it does not.
func (x *exchange) endsAt() time.Time {
	_, end := x.timeouts()
	at := x.after(end)
	if x.outcome.FirstByte == 0 {
		return earlier(at, x.options.BeginBy)
	}
	return at
}

// after returns when the silence will have lasted for d, or zero if d is 0.
func (x *exchange) after(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return x.silence.since.Add(d)
}

// earlier returns the earlier of two times, where zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// setReadDeadline sets when the next read times out if nothing arrives.
func (x *exchange) setReadDeadline() {
	at := x.endsAt()
	if report, _ := x.timeouts(); !x.silence.reported {
		at = earlier(at, x.after(report))
	}
	if soonest := time.Now().Add(minTimeout); !at.IsZero() && at.Before(soonest) {
		at = soonest
	}
	x.readDeadline(at)
}

// readDeadline sets the time after which reads fail; zero removes it. Reads fail at once
// if the context has ended.
func (x *exchange) readDeadline(at time.Time) {
	_ = x.conn.net.SetReadDeadline(at)
	if x.ctx.Err() != nil {
		_ = x.conn.net.SetDeadline(time.Unix(1, 0))
	}
}

// outlast reports whether the exchange goes on after a read timed out, and tells the
// receiver of the silence. It has read once more before: if this process was paused, the
// timeout is over although bytes have arrived meanwhile.
func (x *exchange) outlast() bool {
	if x.ctx.Err() != nil {
		return false
	}
	x.silence.rechecked = !x.silence.rechecked
	if x.silence.rechecked && !x.tooLate() {
		x.readDeadline(time.Now().Add(minTimeout))
		return true
	}
	x.silence.rechecked = false
	now := time.Now()
	if end := x.endsAt(); !end.IsZero() && !now.Before(end) {
		return false
	}
	if report, _ := x.timeouts(); report > 0 && !x.silence.reported && !now.Before(x.after(report)) {
		x.silence.reported = true
		x.receiver.Silent(x.silence.since, x.outcome.LastEventID)
	}
	x.setReadDeadline()
	return true
}
