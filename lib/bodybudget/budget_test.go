package bodybudget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// stalledBody is a body of which some bytes arrive before it stalls. stalled is closed
// when it does.
type stalledBody struct {
	data                 io.Reader
	stalled, interrupted chan struct{}
}

func stall(size int) *stalledBody {
	return &stalledBody{data: strings.NewReader(strings.Repeat("a", size)), stalled: make(chan struct{}), interrupted: make(chan struct{})}
}

// evictWorstNow evicts the body that costs most, whatever its age.
func (b *Budget) evictWorstNow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.execute()
	b.core.evictWorst(1, 0, b.now())
}

var errInterrupted = errors.New("interrupted")

// Read implements io.Reader.
func (s *stalledBody) Read(p []byte) (int, error) {
	n, err := s.data.Read(p)
	if err == nil {
		return n, nil
	}
	close(s.stalled)
	<-s.interrupted
	return 0, errInterrupted
}

// upload returns the upload of a body whose end never comes.
func (s *stalledBody) upload(limit int64) Upload {
	return Upload{Source: s, Length: -1, Limit: limit, Interrupt: func() { close(s.interrupted) }}
}

func uploadOf(r io.Reader, length, limit int64) Upload {
	return Upload{Source: r, Length: length, Limit: limit, Interrupt: func() {}}
}

// Guards against the bytes of one client in the body of another whose buffer was used
// before, and against free buffers that take more than their part of the budget.
func TestBuffersOfIncompleteBodiesAreUsedAgain(t *testing.T) {
	b := New(320 * kb)
	ctx := context.Background()
	first, second := stall(20*kb), stall(1)
	results := make(chan error, 2)
	for _, s := range []*stalledBody{first, second} {
		go func() {
			_, err := b.Read(ctx, s.upload(1<<20))
			results <- err
		}()
		<-s.stalled
	}
	require.Zero(t, b.MakeRoom(1, true), "the body has just begun")
	b.evictWorstNow()
	require.ErrorIs(t, <-results, ErrEvicted)
	require.Positive(t, b.Stats().Free)
	body, err := b.Read(ctx, uploadOf(strings.NewReader(strings.Repeat("b", 17*kb)), -1, 1<<20))
	require.NoError(t, err)
	require.Equal(t, strings.Repeat("b", 17*kb), string(body.Bytes()))
	require.Equal(t, len(body.Bytes()), cap(body.Bytes()))
	body.Release()
	require.LessOrEqual(t, b.Stats().Free, int64(40*kb))
	b.evictWorstNow()
	require.ErrorIs(t, <-results, ErrEvicted)
	require.Zero(t, b.Stats().Free)
	require.Zero(t, b.Stats().Held)
}

// Guards against bodies that are cut, extended or refused although they are within the
// limit, however they arrive and whether their length is announced.
func TestBodiesUpToTheLimitAreReadWhole(t *testing.T) {
	ctx := context.Background()
	const limit = 40_000
	for _, size := range []int{0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, 2 * firstBufferBytes, limit - 1, limit} {
		for _, announced := range []bool{true, false} {
			for name, wrap := range map[string]func(io.Reader) io.Reader{
				"whole": func(r io.Reader) io.Reader { return r }, "by byte": iotest.OneByteReader, "end with data": iotest.DataErrReader,
			} {
				data := bytes.Repeat([]byte("abc"), size/3+1)[:size]
				length := int64(-1)
				if announced {
					length = int64(size)
				}
				b := New(1 << 20)
				body, err := b.Read(ctx, uploadOf(wrap(bytes.NewReader(data)), length, limit))
				require.NoError(t, err, "%d bytes, %s", size, name)
				require.Equal(t, string(data), string(body.Bytes()), "%d bytes, %s", size, name)
				require.Equal(t, requestBytes+int64(cap(body.data)), b.Stats().Held, "%d bytes, %s", size, name)
				body.Release()
				body.Release()
				require.Zero(t, b.Stats().Held)
			}
		}
	}
}

// Guards against reading on in a body that is larger than the limit.
func TestTooLargeBodiesAreNotReadOn(t *testing.T) {
	b := New(1 << 20)
	ctx := context.Background()
	_, err := b.Read(ctx, uploadOf(iotest.ErrReader(io.ErrUnexpectedEOF), 1001, 1000))
	require.ErrorIs(t, err, ErrTooLarge)
	endless := &countingReader{}
	_, err = b.Read(ctx, uploadOf(endless, -1, 1000))
	require.ErrorIs(t, err, ErrTooLarge)
	require.Equal(t, 1001, endless.bytes)
	require.Zero(t, b.Stats().Held)
}

// countingReader is a body without end.
type countingReader struct{ bytes int }

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	r.bytes += len(p)
	return len(p), nil
}

// Guards against a length that is believed: a client that announces much and sends
// nothing must not hold it.
func TestAnAnnouncedLengthIsNotReservedBeforeItArrives(t *testing.T) {
	b := New(1 << 20)
	s := stall(1)
	u := s.upload(1 << 30)
	u.Length, u.HeaderBytes = 1<<30, 100
	done := make(chan error, 1)
	go func() {
		_, err := b.Read(context.Background(), u)
		done <- err
	}()
	<-s.stalled
	require.Equal(t, int64(requestBytes+firstBufferBytes+100), b.Stats().Held)
	require.Equal(t, 1, b.Stats().Incomplete)
	require.Zero(t, b.MakeRoom(1, true), "the body has just begun")
	b.evictWorstNow()
	require.ErrorIs(t, <-done, ErrEvicted)
	require.Zero(t, b.Stats().Held)
}

// Guards against memory that stays counted after a body that broke off, and against an
// error of the source that counts as a lack of memory.
func TestABodyThatBreaksOffIsReleased(t *testing.T) {
	b := New(1 << 20)
	r := io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := b.Read(context.Background(), uploadOf(r, -1, 1000))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, Stats{Limit: 7 << 17}, b.Stats())
}

// Guards against ordinary requests that are shut out by clients that stall.
func TestAnOrdinaryBodyDisplacesStalledOnes(t *testing.T) {
	b := New(320 * kb)
	ctx := context.Background()
	results := make(chan error, 2)
	for range 2 {
		s := stall(60 * kb)
		go func() {
			_, err := b.Read(ctx, s.upload(1<<20))
			results <- err
		}()
		<-s.stalled
	}
	for range 10 {
		body, err := b.Read(ctx, uploadOf(strings.NewReader("ordinary"), 8, 1000))
		require.NoError(t, err)
		defer body.Release()
	}
	require.ErrorIs(t, <-results, ErrEvicted)
	require.Positive(t, b.Stats().Evicted)
	b.evictWorstNow()
	require.ErrorIs(t, <-results, ErrEvicted)
}

// Guards against a body that is refused but reported as one that the client sent badly,
// and against complete bodies that are not counted.
func TestCompleteBodiesFillTheBudget(t *testing.T) {
	b := New(115 * kb)
	ctx := context.Background()
	var whole []*Body
	for range 4 {
		body, err := b.Read(ctx, uploadOf(strings.NewReader("ordinary"), 8, 1000))
		require.NoError(t, err)
		whole = append(whole, body)
	}
	require.NoError(t, whole[0].Reserve(ctx, 30*kb))
	_, err := b.Read(ctx, uploadOf(strings.NewReader("ordinary"), 8, 1000))
	require.ErrorIs(t, err, ErrExhausted)
	require.ErrorIs(t, whole[1].Reserve(ctx, 30*kb), ErrExhausted)
	whole[0].GiveBack(30 * kb)
	_, err = b.Read(ctx, uploadOf(strings.NewReader("ordinary"), 8, 1000))
	require.NoError(t, err)
	require.Equal(t, uint64(2), b.Stats().Refused)
}

// Guards against a wait for memory that outlives its request, and that holds up others.
func TestAWaitForMemoryEndsWithItsContext(t *testing.T) {
	b := New(115 * kb)
	stuck := b.open(func() {})
	require.Equal(t, granted, b.request(stuck, 100*kb))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := b.Read(ctx, uploadOf(strings.NewReader("ordinary"), 8, 1000))
	require.ErrorIs(t, err, context.Canceled)
	b.close(stuck)
	require.Zero(t, b.Stats().Held)
}

// Guards against memory that stays counted, and against a body that waits for ever, when
// many handlers displace each other at the same time.
func TestManyBodiesAtTheSameTime(t *testing.T) {
	b := New(1 << 20)
	ctx := context.Background()
	stalls := make(chan struct{})
	var stalled, ordinary sync.WaitGroup
	for range 50 {
		stalled.Go(func() {
			s := stall(100 * kb)
			u := s.upload(1 << 20)
			if _, err := b.Read(ctx, u); !errors.Is(err, ErrEvicted) && !errors.Is(err, ErrExhausted) {
				t.Errorf("stalled body: %v", err)
			}
		})
	}
	for range 8 {
		ordinary.Go(func() {
			for range 50 {
				body, err := b.Read(ctx, uploadOf(strings.NewReader(strings.Repeat("a", 10*kb)), 10*kb, 1<<20))
				if err != nil && !errors.Is(err, ErrExhausted) && !errors.Is(err, ErrEvicted) {
					t.Errorf("ordinary body: %v", err)
				}
				body.Release()
			}
		})
	}
	ordinary.Wait()
	go func() {
		stalled.Wait()
		close(stalls)
	}()
	require.Eventually(t, func() bool {
		b.evictWorstNow()
		select {
		case <-stalls:
			return true
		default:
			return false
		}
	}, 30*time.Second, time.Millisecond)
	require.Zero(t, b.Stats().Held)
	require.Zero(t, b.Stats().Incomplete)
	require.Zero(t, b.Stats().Free)
}

// Guards against a budget with which a machine cannot serve one body of the largest
// published size, in any deployment.
func TestASingleLargestBodyFitsOnTheSmallestMachine(t *testing.T) {
	const smallestMachine, largestBody = 152 << 20, 4 << 20
	b := New(ForMemory(smallestMachine))
	data := strings.Repeat("a", largestBody)
	for _, length := range []int64{-1, largestBody} {
		body, err := b.Read(context.Background(), uploadOf(strings.NewReader(data), length, largestBody))
		require.NoError(t, err)
		require.Len(t, body.Bytes(), largestBody)
	}
}

// Guards against headers that are not counted.
func TestHeaderBytes(t *testing.T) {
	require.Equal(t, int64(fieldBytes+len("A")+len("1")+len("22")), headerBytes(http.Header{"A": {"1", "22"}}))
}

// The cost of the budget for an ordinary request.
func BenchmarkRead(b *testing.B) {
	budget := New(32 << 20)
	data := strings.Repeat("a", 7000)
	for b.Loop() {
		body, err := budget.Read(context.Background(), uploadOf(strings.NewReader(data), int64(len(data)), 4<<20))
		if err != nil {
			b.Fatal(err)
		}
		body.Release()
	}
}
