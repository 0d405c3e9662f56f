// Package bodybudget limits the memory for the bodies of requests that a process holds,
// whether they are complete or not.
//
// Bytes are reserved before the memory for them is allocated. If the budget is used up,
// incomplete bodies give way to others, first those that have held the most bytes for
// the longest time, so that clients that stall shut nobody out. Complete bodies stay
// until they are released.
package bodybudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"rattanspur.example/lib/ring"
)

// Errors of reading a body. After each of them the rest of the body must not be read.
var (
	// ErrExhausted means that the budget is used up and the body may displace no other.
	ErrExhausted = errors.New("memory for request bodies is used up")
	// ErrEvicted means that the body was displaced before it was complete.
	ErrEvicted = errors.New("request body was displaced because it was not complete and memory was needed")
	// ErrTooLarge means that the body is larger than its limit.
	ErrTooLarge = errors.New("request body is larger than the limit")
)

// IsShortage reports whether a body was rejected because there was no memory for it, so that
// its request may be sent again later.
func IsShortage(err error) bool { return errors.Is(err, ErrExhausted) || errors.Is(err, ErrEvicted) }

// memoryDivisor is the divisor that makes a budget from the memory of a process. The
// rest is for connections, for the state of the process, and for memory that is free
// but not collected yet: the heap may reach half of the memory.
const memoryDivisor = 4

const (
	// stallAge is the age from which an incomplete body gives way to connections, and
	// urgentStallAge if no further connection may be open. Ordinary bodies are complete
	// earlier, also on a busy machine.
	stallAge       = time.Second
	urgentStallAge = 250 * time.Millisecond
)

// freeDivisor is the divisor for the part of a budget that free buffers may take.
const freeDivisor = 8

// ForMemory returns the budget in bytes of a process that may use a number of bytes.
func ForMemory(bytes int64) int64 { return bytes / memoryDivisor }

// Budget is the budget of one process. All its handlers use it concurrently.
type Budget struct {
	mu      sync.Mutex
	core    core
	buffers buffers
	now     func() time.Time
}

// waiter receives the result of a reservation that was queued: nil or ErrEvicted.
type waiter = *ring.Ring[error]

// New returns a budget of a number of bytes, of which free buffers take an eighth.
func New(bytes int64) *Budget {
	free := bytes / freeDivisor
	return &Budget{core: core{limit: bytes - free}, buffers: buffers{limit: free}, now: time.Now}
}

// Stats is the state of a budget.
type Stats struct {
	// Limit is the maximum of Held, the bytes that bodies hold. Free are those of the
	// buffers that are kept for other bodies.
	Limit, Held, Free int64
	// Incomplete is the number of bodies that are being read.
	Incomplete int
	// Refused and Evicted count the bodies for which no memory was available and those
	// that were displaced.
	Refused, Evicted uint64
}

// Stats returns the current state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Limit: b.core.limit, Held: b.core.held, Free: b.buffers.held, Incomplete: len(b.core.reading),
		Refused: b.core.refusals, Evicted: b.core.evictions,
	}
}

// MakeRoom evicts up to n incomplete bodies, first those that have held the most bytes
// for the longest time, to make room for connections. Bodies that began less than a
// second ago are not evicted, and if it is urgent, those that began less than a quarter of
// a second ago. It returns how many were evicted.
func (b *Budget) MakeRoom(n int, urgent bool) int {
	age := stallAge
	if urgent {
		age = urgentStallAge
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.execute()
	return b.core.evictWorst(n, age, b.now())
}

// execute executes the actions of the core. The lock is held, so that no body is
// interrupted after its release.
func (b *Budget) execute() {
	for _, a := range b.core.actions {
		switch a.kind {
		case grant:
			_ = a.account.waiter.Put(context.Background(), nil)
		case interruptWaiter:
			_ = a.account.waiter.Put(context.Background(), ErrEvicted)
			a.account.interrupt()
		case interrupt:
			a.account.interrupt()
		}
	}
	clear(b.core.actions)
	b.core.actions = b.core.actions[:0]
}

func (b *Budget) open(interrupt func()) *account {
	a := &account{interrupt: interrupt}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.open(a, b.now())
	return a
}

// reserve reserves further bytes for a body. It waits until bodies that it displaces
// have released their memory, which they do at once, or until ctx ends. It returns
// context.Canceled for a body that was closed before.
func (b *Budget) reserve(ctx context.Context, a *account, n int64) error {
	switch b.request(a, n) {
	case granted:
		return nil
	case refused:
		return ErrExhausted
	case displaced:
		return ErrEvicted
	case closedBefore:
		return context.Canceled
	}
	result, err := a.waiter.Take(ctx)
	if err != nil {
		b.withdraw(a)
		return err
	}
	return result
}

// request asks the core for a reservation. If it is queued, the result comes to the
// account's waiter.
func (b *Budget) request(a *account, n int64) verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.execute()
	v := b.core.reserve(a, n, b.now())
	if v == queued {
		a.waiter = ring.New[error](1, ring.Refuse)
	}
	return v
}

// withdraw ends the wait of a body. If its reservation was granted meanwhile, the bytes are freed
// when the body is closed.
func (b *Budget) withdraw(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.execute()
	b.core.withdraw(a)
}

func (b *Budget) giveBack(a *account, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.execute()
	b.core.giveBack(a, n)
}

// buffer returns an empty buffer of a size, for which bytes were reserved.
func (b *Budget) buffer(size int64) []byte {
	b.mu.Lock()
	kept := b.buffers.take(size)
	b.mu.Unlock()
	if kept != nil {
		return kept
	}
	return make([]byte, 0, size)
}

// recycle takes a buffer of an incomplete body back and gives its bytes back.
func (b *Budget) recycle(a *account, buffer []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.execute()
	b.buffers.put(buffer)
	b.core.giveBack(a, int64(cap(buffer)))
}

func (b *Budget) finish(a *account) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.clearBuffers()
	return b.core.finish(a)
}

// clearBuffers gives up the free buffers if no body is being read.
func (b *Budget) clearBuffers() {
	if len(b.core.reading) == 0 && b.buffers.held > 0 {
		b.buffers.clear()
	}
}

func (b *Budget) close(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.execute()
	b.core.close(a)
	b.clearBuffers()
}
