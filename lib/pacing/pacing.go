// Package pacing limits and counts the bytes transferred over a link.
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

// Unlimited is the rate of a link without a limit.
const Unlimited BytesPerSecond = 0

// burstDuration limits the idle time that a link may make up for with a burst.
const burstDuration = 20 * time.Millisecond

// minBurstBytes lets slow links pass a whole read in one step.
const minBurstBytes = 16 << 10

// Link limits the rate of one direction of a link and counts its bytes.
type Link struct {
	limiter    *rate.Limiter
	burstBytes int
	bytes      atomic.Int64
}

// NewLink returns a link with the given rate. With Unlimited it only counts.
func NewLink(r BytesPerSecond) *Link {
	if r <= Unlimited {
		return &Link{}
	}
	burstBytes := max(int(float64(r)*burstDuration.Seconds()), minBurstBytes)
	return &Link{limiter: rate.NewLimiter(rate.Limit(r), burstBytes), burstBytes: burstBytes}
}

// SetRate changes the rate of a link created with a limit; the burst size
// stays. On an unlimited link, or with a rate that is not positive, it does
// nothing.
func (l *Link) SetRate(r BytesPerSecond) {
	if l.limiter != nil && r > Unlimited {
		l.limiter.SetLimit(rate.Limit(r))
	}
}

// Wait blocks until n bytes may pass. It returns an error if ctx ends or if its
// deadline does not leave enough time.
func (l *Link) Wait(ctx context.Context, n int) error {
	l.bytes.Add(int64(n))
	if l.limiter == nil {
		return nil
	}
	for n > 0 {
		step := min(n, l.burstBytes)
		if err := l.limiter.WaitN(ctx, step); err != nil {
			return err
		}
		n -= step
	}
	return nil
}

// Bytes returns the number of bytes counted so far.
func (l *Link) Bytes() int64 { return l.bytes.Load() }

// Reader returns a reader that limits and counts the reads from r on each link.
func Reader(ctx context.Context, r io.Reader, links ...*Link) io.Reader {
	return &reader{ctx: ctx, source: r, links: links}
}

type reader struct {
	ctx    context.Context
	source io.Reader
	links  []*Link
}

func (p *reader) Read(b []byte) (int, error) {
	if len(b) > minBurstBytes {
		b = b[:minBurstBytes]
	}
	n, err := p.source.Read(b)
	for _, l := range p.links {
		if waitErr := l.Wait(p.ctx, n); waitErr != nil {
			return n, waitErr
		}
	}
	return n, err
}
