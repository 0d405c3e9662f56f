package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"rattanspur.example/lib/engine"
)

// HeaderSubmission is the header that distinguishes the submissions of a booking.
const HeaderSubmission = "X-Submission"

// Booking is the body of a request to the ledger.
type Booking struct {
	Name string `json:"name"`
	// Drop makes the ledger close the connection without a response after it ran
	// the booking.
	Drop bool `json:"drop,omitempty"`
}

// Ledger is a stand-in allocation service that any number of upstreams share. It
// does not detect duplicates, and counts how often each booking ran.
type Ledger struct {
	// Delay is the time that a booking takes after it is counted.
	Delay time.Duration

	mu          sync.Mutex
	bookings    map[string]int
	submissions map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger(delay time.Duration) *Ledger {
	return &Ledger{Delay: delay, bookings: map[string]int{}, submissions: map[string]int{}}
}

// Runs returns the number of times that a booking ran.
func (l *Ledger) Runs(booking string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bookings[booking]
}

// SubmissionRuns returns the number of times that a submission ran.
func (l *Ledger) SubmissionRuns(submission string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.submissions[submission]
}

// Record counts one run of a booking by a submission and returns the number of
// runs of the booking so far.
func (l *Ledger) Record(booking, submission string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bookings[booking]++
	l.submissions[submission]++
	return l.bookings[booking]
}

// receipt is the response to a booking.
type receipt struct {
	Booking  string `json:"booking"`
	Upstream string `json:"upstream"`
	Run      int    `json:"run"`
}

// Handler serves the ledger as one upstream, whose name its receipts contain.
func (l *Ledger) Handler(upstream string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", func(w http.ResponseWriter, r *http.Request) { l.serveBooking(w, r, upstream) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, engine.Report{BootID: upstream, Warm: true})
	})
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

func (l *Ledger) serveBooking(w http.ResponseWriter, r *http.Request, upstream string) {
	var b Booking
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n := l.Record(b.Name, r.Header.Get(HeaderSubmission))
	time.Sleep(l.Delay)
	if b.Drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, receipt{Booking: b.Name, Upstream: upstream, Run: n})
}
