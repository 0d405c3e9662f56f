package bodybudget

import (
	"context"
	"errors"
	"io"
)

const (
	// requestBytes is what a request takes beside its header and its body: the buffers
	// of its connection, the stacks of its goroutines and its state.
	requestBytes = 16 << 10
	// firstBufferBytes is the size of the first buffer of a body, which doubles as bytes
	// arrive. The length that a client announces is not allocated before.
	firstBufferBytes = 8 << 10
)

// Upload describes the body of a request that is read.
type Upload struct {
	// Source is where the body is read from. Its reads must have a time limit.
	Source io.Reader
	// Length is the announced length in bytes, or -1 if it is not known.
	Length int64
	// Limit is the maximum length in bytes.
	Limit int64
	// HeaderBytes is the size of the request's header.
	HeaderBytes int64
	// Interrupt makes the current and all further reads of Source fail. It must not
	// block.
	Interrupt func()
}

// Body is a complete body. Its memory is counted until Release.
type Body struct {
	budget  *Budget
	account *account
	data    []byte
}

// Read reads a body to its end. It returns ErrExhausted, ErrEvicted, ErrTooLarge, the
// error of ctx if that ends while it waits for memory, or the error of the source.
// After an error nothing is counted any more.
func (b *Budget) Read(ctx context.Context, u Upload) (*Body, error) {
	if u.Length > u.Limit {
		return nil, ErrTooLarge
	}
	body := &Body{budget: b, account: b.open(u.Interrupt)}
	err := body.read(ctx, &u)
	if !b.finish(body.account) {
		err = ErrEvicted
	}
	if err != nil {
		b.recycle(body.account, body.data)
		body.Release()
		return nil, err
	}
	return body, nil
}

func (b *Body) read(ctx context.Context, u *Upload) error {
	most := u.Limit
	if u.Length >= 0 {
		most = u.Length
	}
	first := min(most, firstBufferBytes)
	if err := b.budget.reserve(ctx, b.account, requestBytes+u.HeaderBytes+first); err != nil {
		return err
	}
	b.data = b.budget.buffer(first)
	for int64(len(b.data)) < most {
		if len(b.data) == cap(b.data) {
			if err := b.grow(ctx); err != nil {
				return err
			}
		}
		n, err := u.Source.Read(b.data[len(b.data):min(int64(cap(b.data)), most)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return readEnd(u.Source)
}

// readEnd reads the end of a body of the maximum length.
func readEnd(r io.Reader) error {
	var further [1]byte
	for {
		switch n, err := r.Read(further[:]); {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer. Both buffers are counted while they exist.
func (b *Body) grow(ctx context.Context) error {
	size := 2 * int64(cap(b.data))
	if err := b.budget.reserve(ctx, b.account, size); err != nil {
		return err
	}
	old := b.data
	b.data = append(b.budget.buffer(size), old...)
	b.budget.recycle(b.account, old)
	return nil
}

// Bytes returns the body. It may be used until Release.
func (b *Body) Bytes() []byte { return b.data[:len(b.data):len(b.data)] }

// Reserve reserves further bytes for work on the body. It returns ErrExhausted if the
// budget is used up, or the error of ctx if that ends first.
func (b *Body) Reserve(ctx context.Context, n int64) error {
	return b.budget.reserve(ctx, b.account, n)
}

// GiveBack releases bytes that were reserved with Reserve.
func (b *Body) GiveBack(n int64) { b.budget.giveBack(b.account, n) }

// Replace replaces the body by another form of it, for whose memory and the work on it
// bytes were reserved with Reserve. It gives back what the new form does not need.
func (b *Body) Replace(data []byte, reserved int64) {
	unneeded := int64(cap(b.data)) + reserved - int64(cap(data))
	b.data = data
	b.budget.giveBack(b.account, max(unneeded, 0))
}

// Release releases the memory of the body. It may be called more than once, and for no
// body.
func (b *Body) Release() {
	if b == nil || b.account == nil {
		return
	}
	b.data = nil
	b.budget.close(b.account)
	b.account = nil
}
