package bodybudget

import (
	"bytes"
	"context"
	"net/http"
	"sync"
)

const (
	// fieldBytes is about what net/http keeps for a field of a head beside its text: two
	// strings, a slice and an entry of a map. Short fields take much more than their text.
	fieldBytes = 128
	// textFactor is how often the text of a head is kept: in the buffers of the connection,
	// and in the fields.
	textFactor = 2
	// freeHeadBytes is the memory of a head that the connection stands for. More is reserved.
	// Heads of ordinary requests take less.
	freeHeadBytes = 8 << 10
)

// Head counts the memory for the head of a request while it is read from a connection. The
// budget displaces incomplete heads like incomplete bodies.
type Head struct {
	budget *Budget
	// interrupt closes the connection. It must not block.
	interrupt func()

	mu sync.Mutex
	// reading is set while what arrives belongs to a head, which takes an estimated number of
	// bytes so far.
	reading bool
	bytes   int64
	// account holds the reservations; nil if there are none. end ends waiting for one.
	account *account
	end     context.CancelFunc
}

// NewHead returns the head of the first request of a connection.
func (b *Budget) NewHead(interrupt func()) *Head {
	return &Head{budget: b, interrupt: interrupt, reading: true}
}

// Begin begins the head of the next request.
func (h *Head) Begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading, h.bytes = true, 0
}

// Complete ends the head: its request counts by itself now, or the connection is closed.
func (h *Head) Complete() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = false
	if h.account == nil {
		return
	}
	h.end()
	h.budget.close(h.account)
	h.account = nil
}

// Received counts bytes that have arrived, if they belong to a head. It returns ErrExhausted or
// ErrEvicted if there is no memory for it, and context.Canceled if Complete was called meanwhile;
// the connection must be closed then.
func (h *Head) Received(data []byte) error {
	ctx, account, n := h.count(data)
	if n == 0 {
		return nil
	}
	if err := h.budget.reserve(ctx, account, n); err != nil {
		h.Complete()
		return err
	}
	return nil
}

// count adds bytes to the head. It returns how much is to be reserved for them, and for what.
func (h *Head) count(data []byte) (context.Context, *account, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.reading {
		return nil, nil, 0
	}
	known := max(h.bytes, freeHeadBytes)
	h.bytes += int64(textFactor*len(data) + fieldBytes*bytes.Count(data, []byte{'\n'}))
	if h.bytes <= known {
		return nil, nil, 0
	}
	var ctx context.Context
	if h.account == nil {
		h.account = h.budget.open(h.interrupt)
	} else {
		h.end()
	}
	ctx, h.end = context.WithCancel(context.Background())
	return ctx, h.account, h.bytes - known
}

// headerBytes returns about how much memory a request's header takes.
func headerBytes(header http.Header) int64 {
	n := 0
	for name, values := range header {
		n += len(name) + fieldBytes
		for _, value := range values {
			n += len(value)
		}
	}
	return int64(n)
}
