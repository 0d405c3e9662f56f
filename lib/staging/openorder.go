package staging

import "time"

const (
	// requestLifetime is the longest time after its connection ended for which an engine may
	// still carry out a request that it did not answer. It is longer than engines hang.
	requestLifetime = 10 * time.Second
	// maxRepeats is the number of times that an unanswered order is sent again although
	// another version is to be loaded. Each one that is accepted interrupts the engine.
	maxRepeats = 3
	// verifyInterval is the time between two verifications of the pieces that an unanswered
	// order may load, once it is not sent again.
	verifyInterval = time.Second
)

// openOrder is an order to load a version that got no answer. The engine process with
// startTime may accept it until it has accepted more than sequence orders, because the order
// states that number, or until requestLifetime after sentAt. It loads the pieces that are
// stored at that moment. The version is 0 if there is none.
type openOrder struct {
	version, startTime, sequence int64
	sentAt                       time.Time
	// repeats counts how often the order was sent again in vain while another version was to
	// be loaded.
	repeats int
}

// mayBeAccepted reports whether an engine with a report may still accept the order.
func (o *openOrder) mayBeAccepted(now time.Time, r *Report) bool {
	return o.version != 0 && r.StartTime == o.startTime && r.Sequence <= o.sequence && now.Sub(o.sentAt) < requestLifetime
}

// openPiece is a piece of a version whose storing got no answer. The engine process with
// startTime may store it until requestLifetime after sentAt.
type openPiece struct {
	version, startTime int64
	sentAt             time.Time
}

// MarkUnanswered records an order to load a version that got no answer. It was sent to the
// engine process with a start time after that had accepted a number of orders.
func (c *Core) MarkUnanswered(now time.Time, version, startTime, sequence int64) {
	repeats := 0
	if o := &c.open; o.version == version && o.startTime == startTime && o.sequence == sequence {
		repeats = o.repeats
	}
	c.open = openOrder{version: version, startTime: startTime, sequence: sequence, sentAt: now, repeats: repeats}
	c.countRepeat(version)
}

// MarkRefused records an order to load a version that the engine refused, or that was not sent
// because its verification failed.
func (c *Core) MarkRefused(version int64) { c.countRepeat(version) }

func (c *Core) countRepeat(version int64) {
	if version == c.open.version && version != c.target.Version {
		c.open.repeats++
	}
}

// MarkPieceUnanswered records that storing a piece of a version at the engine process with a
// start time got no answer.
func (c *Core) MarkPieceUnanswered(now time.Time, version, startTime int64) {
	c.openPiece = openPiece{version: version, startTime: startTime, sentAt: now}
}

// MarkVerified records that the pieces at the engine passed verification.
func (c *Core) MarkVerified(now time.Time) { c.verifiedAt = now }

// TakeAccepted returns the version of an order that got no answer and that the engine has
// accepted according to its latest report, once. Nothing but its loader sends it orders.
func (c *Core) TakeAccepted(now time.Time) (version int64, ok bool) {
	o := c.open
	if o.version == 0 || c.report.StartTime != o.startTime || c.report.Sequence <= o.sequence {
		return 0, false
	}
	c.MarkOrdered(now, o.version)
	return o.version, true
}

// OpenOrder returns the version of the order that got no answer and that the engine may still
// accept, or 0 if there is none. Until then the pieces at the engine stay as they are. An order
// for what the engine serves has no effect.
func (c *Core) OpenOrder(now time.Time) int64 {
	if !c.open.mayBeAccepted(now, &c.report) || c.open.version == c.Loaded() {
		return 0
	}
	return c.open.version
}

// settleOrder returns the action that ends the uncertainty about the open order to load a
// version. The same order is sent again: the engine accepts only one of them, and then none of
// those before. After maxRepeats the pieces are only kept whole until the order is void.
func (c *Core) settleOrder(now time.Time, version int64) Action {
	switch {
	case c.report.Busy || c.orderInProgress(now, version) || !c.complete[version]:
		return Idle
	case !c.stored(version):
		return Place
	case c.open.repeats < maxRepeats:
		return Order
	case now.Sub(c.verifiedAt) >= verifyInterval:
		return Verify
	default:
		return Idle
	}
}

// mayTurnForeign reports whether a piece of another version may yet replace one of the pieces
// of a version at the engine.
func (c *Core) mayTurnForeign(now time.Time, version int64) bool {
	p := &c.openPiece
	return p.version != 0 && p.version != version && p.startTime == c.report.StartTime && now.Sub(p.sentAt) < requestLifetime
}
