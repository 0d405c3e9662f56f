// Package pacing limits and counts the bytes that cross a link.
package pacing

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// BytesPerSecond is the rate of a link.
type BytesPerSecond int64

// Unlimited is the rate of a link that is not paced.
const Unlimited BytesPerSecond = 0

// burstTime bounds how much idle time a link may make up for.
const burstTime = 20 * time.Millisecond

// minBurst lets slow links still pass a whole read in one step.
const minBurst = 16 << 10

// Link paces one direction of a link and counts what crosses it.
type Link struct {
	limiter *rate.Limiter
	burst   int
	bytes   atomic.Int64
}

// NewLink returns a link with the given rate; Unlimited only counts.
func NewLink(r BytesPerSecond) *Link {
	if r <= Unlimited {
		return &Link{}
	}
	burst := max(int(float64(r)*burstTime.Seconds()), minBurst)
	return &Link{limiter: rate.NewLimiter(rate.Limit(r), burst), burst: burst}
}

// SetRate changes the rate of a link that was created with a rate; the burst
// stays. A link that is not paced stays so.
func (l *Link) SetRate(r BytesPerSecond) {
	if l.limiter != nil && r > Unlimited {
		l.limiter.SetLimit(rate.Limit(r))
	}
}

// Wait blocks until n bytes may cross. It returns the context's error.
func (l *Link) Wait(ctx context.Context, n int) error {
	l.bytes.Add(int64(n))
	if l.limiter == nil {
		return nil
	}
	for n > 0 {
		step := min(n, l.burst)
		if err := l.limiter.WaitN(ctx, step); err != nil {
			return err
		}
		n -= step
	}
	return nil
}

// Bytes returns how many bytes crossed so far.
func (l *Link) Bytes() int64 { return l.bytes.Load() }

// Reader paces what is read from r over every link in turn.
func Reader(ctx context.Context, r io.Reader, links ...*Link) io.Reader {
	return &reader{ctx: ctx, r: r, links: links}
}

type reader struct {
	ctx   context.Context
	r     io.Reader
	links []*Link
}

func (p *reader) Read(b []byte) (int, error) {
	if len(b) > minBurst {
		b = b[:minBurst]
	}
	n, err := p.r.Read(b)
	for _, l := range p.links {
		if werr := l.Wait(p.ctx, n); werr != nil {
			return n, werr
		}
	}
	return n, err
}
