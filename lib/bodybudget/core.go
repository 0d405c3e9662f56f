package bodybudget

import "time"

const (
	// minCostAge is added to the age of each body, so that of bodies that have just
	// begun the larger ones cost more.
	minCostAge = 100 * time.Millisecond
	// smallBytes is the size up to which a body may use the whole budget. Larger ones
	// leave one part in smallShareDivisor to small ones, so that a few large bodies
	// that are complete, which nothing displaces, do not shut out ordinary requests.
	smallBytes        = 128 << 10
	smallShareDivisor = 8
)

// state is the state of an account.
type state uint8

const (
	// reading means that the body is not complete. Only such a body is evicted.
	reading state = iota
	complete
	// evicted means that the body was displaced and its bytes are about to be released.
	evicted
	// closed means that all bytes were released. Such a body gets none any more.
	closed
)

// account is what the budget knows about one body.
type account struct {
	state    state
	bytes    int64
	openedAt time.Time
	// wanted is the reservation that the body waits for; 0 if it does not wait.
	wanted int64
	// position is the index in core.reading while the body is not complete.
	position int
	// interrupt makes the reads of the body fail. It is called at most once, and not
	// after the body was released.
	interrupt func()
	waiter    waiter
}

// demand returns what the body holds and waits for.
func (a *account) demand() int64 { return a.bytes + a.wanted }

// cost returns how much a body takes from others if it has n further bytes: its bytes
// times its age. A complete body costs nothing, so that its request displaces
// incomplete ones.
func (a *account) cost(n int64, now time.Time) float64 {
	if a.state == complete {
		return 0
	}
	return float64(a.demand()+n) * (now.Sub(a.openedAt) + minCostAge).Seconds()
}

// verdict is the answer to a reservation.
type verdict uint8

const (
	// granted means that the bytes are reserved.
	granted verdict = iota
	// queued means that a grant follows once evicted bodies have released their bytes.
	queued
	// refused means that no bytes are available.
	refused
	// displaced means that the body itself was evicted before.
	displaced
	// closedBefore means that the body was closed before.
	closedBefore
)

// actionKind is what to do for a body.
type actionKind uint8

const (
	// grant tells a waiting body that its reservation was granted.
	grant actionKind = iota
	// interrupt makes the reads of an evicted body fail.
	interrupt
	// interruptWaiter does so and tells the body that its reservation is not granted.
	interruptWaiter
)

type action struct {
	kind    actionKind
	account *account
}

// core decides which bodies may hold how many bytes. It uses no clock and starts
// nothing: its methods take the time and collect actions.
//
// Reservations are granted in order. One that does not fit displaces incomplete bodies
// that cost more than the body that asks, and waits until these have released their
// bytes. It is refused if they would not suffice; then none is displaced.
type core struct {
	limit int64
	// held is the sum of the reserved bytes. evicting is the part of it that belongs to
	// evicted bodies, and wanted the sum of the reservations in the queue.
	held, evicting, wanted int64
	// reading are the incomplete bodies that were not evicted.
	reading []*account
	queue   []*account
	actions []action
	// refusals and evictions count from the start.
	refusals, evictions uint64
}

// ceiling returns how much may be held in all if a body of a number of bytes grows.
func (c *core) ceiling(bytes int64) int64 {
	if bytes <= smallBytes {
		return c.limit
	}
	return c.limit - c.limit/smallShareDivisor
}

// open adds a body that holds no bytes yet.
func (c *core) open(a *account, now time.Time) {
	a.state, a.openedAt, a.position = reading, now, len(c.reading)
	c.reading = append(c.reading, a)
}

// reserve asks for further bytes for a body that does not wait.
func (c *core) reserve(a *account, n int64, now time.Time) verdict {
	switch a.state {
	case evicted:
		return displaced
	case closed:
		return closedBefore
	}
	ceiling := c.ceiling(a.bytes + n)
	if len(c.queue) == 0 && c.held+n <= ceiling {
		c.add(a, n)
		return granted
	}
	excess := c.held - c.evicting + c.wanted + n - ceiling
	if excess > 0 && !c.displace(a, n, excess, now) {
		c.refusals++
		return refused
	}
	a.wanted = n
	c.wanted += n
	c.queue = append(c.queue, a)
	c.grantNext()
	return queued
}

// displace evicts the bodies that cost most, until an excess is freed. Only bodies that
// cost more than a would with n further bytes are evicted; if these do not free the
// excess, it evicts none and returns false.
func (c *core) displace(a *account, n, excess int64, now time.Time) bool {
	own := a.cost(n, now)
	available := int64(0)
	for _, other := range c.reading {
		if other != a && other.cost(0, now) > own {
			available += other.demand()
		}
	}
	if available < excess {
		return false
	}
	for excess > 0 {
		worst := c.worst(a, 0, now)
		excess -= worst.demand()
		c.evict(worst)
	}
	return true
}

// worst returns the incomplete body of at least an age that costs most, except one; nil if
// there is none.
func (c *core) worst(except *account, minAge time.Duration, now time.Time) *account {
	var worst *account
	highest := 0.0
	for _, a := range c.reading {
		if a == except || now.Sub(a.openedAt) < minAge {
			continue
		}
		if cost := a.cost(0, now); worst == nil || cost > highest {
			worst, highest = a, cost
		}
	}
	return worst
}

// evictWorst evicts the incomplete bodies that cost most, up to a number, of those that
// are as old as an age. It returns how many.
func (c *core) evictWorst(n int, age time.Duration, now time.Time) int {
	for i := range n {
		worst := c.worst(nil, age, now)
		if worst == nil {
			return i
		}
		c.evict(worst)
		c.grantNext()
	}
	return n
}

func (c *core) evict(a *account) {
	kind := interrupt
	if a.wanted > 0 {
		kind = interruptWaiter
	}
	c.cancel(a)
	c.removeReading(a)
	a.state = evicted
	c.evicting += a.bytes
	c.evictions++
	c.actions = append(c.actions, action{kind, a})
}

// finish marks a body as complete, after which it is not evicted. It returns false if
// it was evicted before.
func (c *core) finish(a *account) bool {
	if a.state != reading {
		return a.state == complete
	}
	c.removeReading(a)
	a.state = complete
	return true
}

// giveBack releases bytes of a body.
func (c *core) giveBack(a *account, n int64) {
	c.add(a, -n)
	c.grantNext()
}

// close releases all bytes of a body and its place in the queue. It may be called more than
// once.
func (c *core) close(a *account) {
	c.cancel(a)
	if a.state == reading {
		c.removeReading(a)
	}
	c.add(a, -a.bytes)
	a.state = closed
	c.grantNext()
}

// withdraw ends the wait of a body.
func (c *core) withdraw(a *account) {
	c.cancel(a)
	c.grantNext()
}

// cancel removes a body from the queue.
func (c *core) cancel(a *account) {
	if a.wanted == 0 {
		return
	}
	c.wanted -= a.wanted
	a.wanted = 0
	for i, other := range c.queue {
		if other == a {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// grantNext grants the reservations at the head of the queue that fit.
func (c *core) grantNext() {
	for len(c.queue) > 0 {
		a := c.queue[0]
		n := a.wanted
		if c.held+n > c.ceiling(a.bytes+n) {
			return
		}
		c.cancel(a)
		c.add(a, n)
		c.actions = append(c.actions, action{grant, a})
	}
}

func (c *core) add(a *account, n int64) {
	a.bytes += n
	c.held += n
	if a.state == evicted {
		c.evicting += n
	}
}

func (c *core) removeReading(a *account) {
	last := len(c.reading) - 1
	moved := c.reading[last]
	moved.position = a.position
	c.reading[a.position] = moved
	c.reading[last] = nil
	c.reading = c.reading[:last]
}
