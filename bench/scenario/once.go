package scenario

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"rattanspur.example/bench/figure"
	"rattanspur.example/bench/lab"
	"rattanspur.example/lib/config"
	"rattanspur.example/lib/wire"
	"rattanspur.example/standin"
	"rattanspur.example/standin/program"
)

const (
	// onceCallers is the number of concurrent callers.
	onceCallers = 12
	// maxSubmissions is the maximum number of submissions of one booking.
	maxSubmissions = 4
	// bookTimeout is how long a caller waits for a response.
	bookTimeout = 1500 * time.Millisecond
	// dropOneIn sets how many bookings the ledger runs without a response: one
	// in dropOneIn, chosen at random.
	dropOneIn = 25
	// faultDuration is how long a fault lasts, and for how long the bookings
	// continue after it.
	faultDuration = 800 * time.Millisecond
	// onceSeed is the seed of the callers' random choices.
	onceSeed = 41
)

// submission is the result of one submission as its caller saw it.
type submission struct {
	id string
	// protection is "key" or "token".
	protection string
	// outcome is that of the booking. ownOutcome is that of this submission
	// alone, if the response reported it.
	outcome    wire.Outcome
	ownOutcome wire.Outcome
	detail     string
}

// history holds the submissions of all callers by booking.
type history struct {
	mu       sync.Mutex
	bookings map[string][]submission
}

func (h *history) add(booking string, s submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bookings[booking] = append(h.bookings[booking], s)
}

// verdict holds the counts of a comparison of a history with the ledger.
type verdict struct {
	bookings, submissions, ran, ranTwice, wrongOutcomes int
}

// check compares the history with the runs that the ledger counted. ranTwice
// counts the bookings that ran more than once. wrongOutcomes counts the
// submissions that ran although they were reported as "not run", and those
// reported as "ran" although their booking did not run.
func (h *history) check(l *standin.Ledger) verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := verdict{bookings: len(h.bookings)}
	for name, list := range h.bookings {
		runs := l.Runs(name)
		if runs > 1 {
			v.ranTwice++
		}
		if runs > 0 {
			v.ran++
		}
		for _, s := range list {
			v.submissions++
			reportedNotRun := s.outcome == wire.NotRun || s.ownOutcome == wire.NotRun
			falseRan := s.outcome == wire.Ran && runs == 0
			if falseRan || reportedNotRun && l.SubmissionRuns(s.id) > 0 {
				v.wrongOutcomes++
			}
		}
	}
	return v
}

// countNotReportedRan returns the number of submissions with the given
// protection, and the numbers of those that were not reported as run, by outcome
// and detail.
func (h *history) countNotReportedRan(protection string) (total int, reasons map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reasons = map[string]int{}
	for _, list := range h.bookings {
		for _, s := range list {
			if s.protection != protection {
				continue
			}
			total++
			if s.outcome != wire.Ran {
				reasons[string(s.outcome)+": "+withoutAddress(s.detail)]++
			}
		}
	}
	return total, reasons
}

// withoutAddress shortens an error of net/http to its cause, so that errors with
// different addresses are counted together.
func withoutAddress(detail string) string {
	if i := strings.LastIndex(detail, ": "); strings.Contains(detail, "127.0.0.1") && i >= 0 {
		return "connection: " + detail[i+2:]
	}
	return detail
}

func (v *verdict) add(o verdict) {
	v.bookings += o.bookings
	v.submissions += o.submissions
	v.ran += o.ran
	v.ranTwice += o.ranTwice
	v.wrongOutcomes += o.wrongOutcomes
}

// onceRun is a lab whose callers submit bookings through both entries.
type onceRun struct {
	lab     *lab.Lab
	history *history
	random  *rand.Rand
}

func onceOptions(binary string, partitioned func(*lab.Process) bool) lab.Options {
	return lab.Options{
		Binary: binary, Agents: 4, Entries: 2,
		Regions:     []string{"north", "middle"},
		Limits:      config.Limits{Cold: 32, Warm: 64, RampStep: 4},
		Ledger:      standin.NewLedger(5 * time.Millisecond),
		ExtraAgent:  "clock_step = 200ms\n",
		Partitioned: partitioned,
	}
}

// startOnce starts a lab in which all agents own keys for a day. With partitioned
// processes, no agent owns keys until the scenario publishes owners.
func startOnce(ctx context.Context, binary string, partitioned func(*lab.Process) bool) (*onceRun, error) {
	l, err := lab.Start(onceOptions(binary, partitioned))
	if err != nil {
		return nil, err
	}
	r := &onceRun{lab: l, random: rand.New(rand.NewPCG(onceSeed, 1))}
	r.reset()
	if partitioned == nil {
		err = l.PublishAllocation(l.Owners())
	} else if err = l.PublishAllocation(config.Owners{}); err == nil {
		err = l.PublishToPartition()
	}
	if err == nil {
		err = r.awaitBookings(ctx)
	}
	if err != nil {
		l.Close()
	}
	return r, err
}

func (r *onceRun) reset() { r.history = &history{bookings: map[string][]submission{}} }

// awaitBookings waits until every entry issues a token and runs a booking with it.
func (r *onceRun) awaitBookings(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for entry := range r.lab.Entries {
		if err := lab.Await(limited, func() error {
			t, err := r.lab.Token(limited, entry)
			if err != nil {
				return err
			}
			a, err := r.lab.Book(limited, lab.Booking{Entry: entry, Name: newUUID(), Token: t.Token})
			if err == nil && a.Outcome != wire.Ran {
				err = fmt.Errorf("status %d: %s", a.Status, a.Body)
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

func newUUID() string { return uuid.Must(uuid.NewV7()).String() }

// bookDuring submits bookings from all callers while f runs. It returns when f
// and the last bookings have ended.
func (r *onceRun) bookDuring(ctx context.Context, f func(ctx context.Context) error) error {
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range onceCallers {
		random := rand.New(rand.NewPCG(onceSeed, r.random.Uint64()))
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-ctx.Done():
					return
				default:
					r.book(ctx, random, i%2 == 0)
				}
			}
		})
	}
	err := f(ctx)
	close(stop)
	wait.Wait()
	return err
}

// book submits one booking up to maxSubmissions times through random entries,
// some submissions concurrently and some after the response to an earlier one.
func (r *onceRun) book(ctx context.Context, random *rand.Rand, byKey bool) {
	b := lab.Booking{Name: newUUID(), Drop: random.IntN(dropOneIn) == 0}
	protection := "key"
	if byKey {
		b.Key = newUUID()
	} else {
		protection = "token"
		limited, cancel := context.WithTimeout(ctx, bookTimeout)
		t, err := r.lab.Token(limited, random.IntN(len(r.lab.Entries)))
		cancel()
		if err != nil {
			r.history.add(b.Name, submission{id: "none", protection: protection, outcome: wire.NotRun, detail: "no token was issued"})
			return
		}
		b.Token = t.Token
	}
	var wait sync.WaitGroup
	for i := range 1 + random.IntN(maxSubmissions) {
		b := b
		b.Entry = random.IntN(len(r.lab.Entries))
		b.Submission = fmt.Sprintf("%s/%d", b.Name, i)
		if random.IntN(2) == 0 {
			wait.Go(func() { r.submit(ctx, b, protection) })
		} else {
			r.submit(ctx, b, protection)
		}
	}
	wait.Wait()
}

func (r *onceRun) submit(ctx context.Context, b lab.Booking, protection string) {
	limited, cancel := context.WithTimeout(ctx, bookTimeout)
	defer cancel()
	s := submission{id: b.Submission, protection: protection, outcome: wire.Unknown, detail: "no answer"}
	if a, err := r.lab.Book(limited, b); err == nil {
		s.outcome, s.ownOutcome, s.detail = a.Outcome, a.Problem.Submission, a.Problem.Detail
	}
	r.history.add(b.Name, s)
}

// Once submits requests that must not run twice while faults are injected alone
// and in pairs, and reports those that ran twice and the wrong outcomes.
func Once(ctx context.Context, env Env) error {
	var total verdict
	tried, err := onceFaults(ctx, env, &total)
	if err != nil {
		return err
	}
	if err := oncePartition(ctx, env, &total); err != nil {
		return err
	}
	r := env.Report
	r.Add("once.run_twice", float64(total.ranTwice), "requests", figure.AtMost(0))
	r.Add("once.false_not_run", float64(total.wrongOutcomes), "answers", figure.AtMost(0))
	r.Add("once.requests", float64(total.bookings), "requests", figure.NoBound)
	r.Add("once.submissions", float64(total.submissions), "submissions", figure.NoBound)
	r.Add("once.ran", float64(total.ran), "requests", figure.NoBound)
	r.Add("once.faults", float64(tried+1), "faults and pairs", figure.NoBound)
	return onceWithoutStartRule(ctx, env)
}

// onceFaults injects every fault alone and every pair of faults. It adds the
// results to total and returns the number of faults and pairs.
func onceFaults(ctx context.Context, env Env, total *verdict) (int, error) {
	r, err := startOnce(ctx, env.Binary, nil)
	if err != nil {
		return 0, err
	}
	defer r.lab.Close()
	faults := onceFaultList()
	tried := 0
	for i := range faults {
		for j := i; j < len(faults); j++ {
			r.reset()
			set := faults[i : i+1]
			if j > i {
				set = []fault{faults[i], faults[j]}
			}
			if err := r.bookDuring(ctx, func(ctx context.Context) error { return r.inject(ctx, set) }); err != nil {
				return tried, err
			}
			tried++
			total.add(r.history.check(r.lab.Options.Ledger))
			if j == i && faults[i].reported {
				r.report(env.Report, faults[i].name)
			}
			if err := r.awaitBookings(ctx); err != nil {
				return tried, err
			}
		}
	}
	return tried, nil
}

// report prints how many submissions were not reported as run and why,
// separately for keys and tokens.
func (r *onceRun) report(out *figure.Report, during string) {
	for _, protection := range []string{"key", "token"} {
		total, reasons := r.history.countNotReportedRan(protection)
		out.Note("once: %s: by %s, %d submissions", during, protection, total)
		for _, detail := range slices.Sorted(maps.Keys(reasons)) {
			out.Note("once: %s: by %s, not run or unknown %d times: %s", during, protection, reasons[detail], detail)
		}
	}
}

// onceWithoutStartRule verifies that the check detects a second run. It uses a
// binary without the rule that requests created before the start of the owner's
// memory are not run, so that a key that ran before its owner was killed runs
// again.
func onceWithoutStartRule(ctx context.Context, env Env) error {
	dir, err := os.MkdirTemp("", "rattanspur-unsafe-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary, err := program.Build(dir, program.Product, "-tags", "onceunsafe")
	if err != nil {
		return err
	}
	r, err := startOnce(ctx, binary, nil)
	if err != nil {
		return err
	}
	defer r.lab.Close()
	var bookings []lab.Booking
	for i := range 40 {
		name := newUUID()
		bookings = append(bookings, lab.Booking{Name: name, Submission: fmt.Sprint(name, i), Key: newUUID()})
	}
	r.submitAll(ctx, bookings)
	if err := r.inject(ctx, []fault{{begin: killAgent, end: relaunchAgent}}); err != nil {
		return err
	}
	if err := r.awaitBookings(ctx); err != nil {
		return err
	}
	r.submitAll(ctx, bookings)
	v := r.history.check(r.lab.Options.Ledger)
	env.Report.Note("once: with the rule on the beginning of the memory off, %d of %d keys ran twice (must be above 0)",
		v.ranTwice, len(bookings))
	if v.ranTwice == 0 {
		return fmt.Errorf("no key ran twice although the rule on the start of the memory was off")
	}
	return nil
}

func (r *onceRun) submitAll(ctx context.Context, bookings []lab.Booking) {
	for _, b := range bookings {
		r.submit(ctx, b, "key")
	}
}
