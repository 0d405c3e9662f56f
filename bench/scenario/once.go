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
	// bookers is the number of callers that book at the same time.
	bookers = 12
	// maxSubmissions bounds how often a caller submits one booking.
	maxSubmissions = 4
	// bookTimeout is how long a caller waits for one answer.
	bookTimeout = 1500 * time.Millisecond
	// dropOneIn is how rarely the ledger books without answering.
	dropOneIn = 25
	// faultTime is how long a fault lasts, and how long the bookings go on after it.
	faultTime = 800 * time.Millisecond
	// onceSeed fixes the choices of the callers.
	onceSeed = 41
)

// submission is what a caller learnt of one submission.
type submission struct {
	id      string
	way     string
	outcome wire.Outcome
	alone   wire.Outcome
	detail  string
}

// history is what all callers learnt, booking by booking.
type history struct {
	mu       sync.Mutex
	bookings map[string][]submission
}

func (h *history) add(booking string, s submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bookings[booking] = append(h.bookings[booking], s)
}

// verdict compares a history with what the ledger counted.
type verdict struct {
	bookings, submissions, ran, twice, falseNotRun int
}

// check counts the bookings that ran more than once, the submissions that ran
// although their caller was told "not run", and those that were told "ran"
// although their booking did not run.
func (h *history) check(l *standin.Ledger) verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := verdict{bookings: len(h.bookings)}
	for name, list := range h.bookings {
		runs := l.Runs(name)
		if runs > 1 {
			v.twice++
		}
		if runs > 0 {
			v.ran++
		}
		for _, s := range list {
			v.submissions++
			told := s.outcome == wire.NotRun || s.alone == wire.NotRun
			wrong := s.outcome == wire.Ran && runs == 0
			if wrong || told && l.RanSubmission(s.id) > 0 {
				v.falseNotRun++
			}
		}
	}
	return v
}

// refusals counts the submissions of a way that did not run, by what was said.
func (h *history) refusals(way string) (total int, refused map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	refused = map[string]int{}
	for _, list := range h.bookings {
		for _, s := range list {
			if s.way != way {
				continue
			}
			total++
			if s.outcome != wire.Ran {
				refused[string(s.outcome)+": "+withoutAddress(s.detail)]++
			}
		}
	}
	return total, refused
}

// withoutAddress shortens the errors of net/http to their cause, so that equal
// ones are counted together.
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
	v.twice += o.twice
	v.falseNotRun += o.falseNotRun
}

// onceRun is a lab with callers that book through both entries.
type onceRun struct {
	lab     *lab.Lab
	history *history
	random  *rand.Rand
}

func onceOptions(binary string, cut func(*lab.Process) bool) lab.Options {
	return lab.Options{
		Binary: binary, Agents: 4, Entries: 2,
		Regions:     []string{"north", "middle"},
		Limits:      config.Limits{Cold: 32, Warm: 64, RampStep: 4},
		Ledger:      standin.NewLedger(5 * time.Millisecond),
		ExtraAgent:  "clock_step = 200ms\n",
		Partitioned: cut,
	}
}

// startOnce starts a lab in which all agents own keys for a day, or, with
// processes that are cut off, none until the scenario publishes owners.
func startOnce(ctx context.Context, binary string, cut func(*lab.Process) bool) (*onceRun, error) {
	l, err := lab.Start(onceOptions(binary, cut))
	if err != nil {
		return nil, err
	}
	r := &onceRun{lab: l, random: rand.New(rand.NewPCG(onceSeed, 1))}
	r.reset()
	if cut == nil {
		err = l.PublishAllocation(l.Owners())
	} else if err = l.PublishAllocation(config.Owners{}); err == nil {
		err = l.PublishToPartition()
	}
	if err == nil {
		err = r.await(ctx)
	}
	if err != nil {
		l.Close()
	}
	return r, err
}

func (r *onceRun) reset() { r.history = &history{bookings: map[string][]submission{}} }

// await waits until every entry issues tokens.
func (r *onceRun) await(ctx context.Context) error {
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

// during books with all callers while f runs, until they have ended.
func (r *onceRun) during(ctx context.Context, f func(ctx context.Context) error) error {
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range bookers {
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

// book submits one booking several times, through both entries, some of them
// at once, also after an answer.
func (r *onceRun) book(ctx context.Context, random *rand.Rand, byKey bool) {
	b := lab.Booking{Name: newUUID(), Drop: random.IntN(dropOneIn) == 0}
	way := "key"
	if byKey {
		b.Key = newUUID()
	} else {
		way = "token"
		limited, cancel := context.WithTimeout(ctx, bookTimeout)
		t, err := r.lab.Token(limited, random.IntN(len(r.lab.Entries)))
		cancel()
		if err != nil {
			r.history.add(b.Name, submission{id: "none", way: way, outcome: wire.NotRun, detail: "no token was issued"})
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
			wait.Go(func() { r.submit(ctx, b, way) })
		} else {
			r.submit(ctx, b, way)
		}
	}
	wait.Wait()
}

func (r *onceRun) submit(ctx context.Context, b lab.Booking, way string) {
	limited, cancel := context.WithTimeout(ctx, bookTimeout)
	defer cancel()
	s := submission{id: b.Submission, way: way, outcome: wire.Unknown, detail: "no answer"}
	if a, err := r.lab.Book(limited, b); err == nil {
		s.outcome, s.alone, s.detail = a.Outcome, a.Problem.Submission, a.Problem.Detail
	}
	r.history.add(b.Name, s)
}

// Once measures requests that may not be repeated under faults, alone and in pairs.
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
	r.Add("once.run_twice", float64(total.twice), "requests", figure.AtMost(0))
	r.Add("once.false_not_run", float64(total.falseNotRun), "answers", figure.AtMost(0))
	r.Add("once.requests", float64(total.bookings), "requests", figure.NoBound)
	r.Add("once.submissions", float64(total.submissions), "submissions", figure.NoBound)
	r.Add("once.ran", float64(total.ran), "requests", figure.NoBound)
	r.Add("once.faults", float64(tried+1), "faults and pairs", figure.NoBound)
	return onceRuleOff(ctx, env)
}

// onceFaults tries every fault alone and every pair of them.
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
			if err := r.during(ctx, func(ctx context.Context) error { return r.inject(ctx, set) }); err != nil {
				return tried, err
			}
			tried++
			total.add(r.history.check(r.lab.Options.Ledger))
			if j == i && faults[i].counted {
				r.report(env.Report, faults[i].name)
			}
			if err := r.await(ctx); err != nil {
				return tried, err
			}
		}
	}
	return tried, nil
}

// report prints what was refused by key and by token.
func (r *onceRun) report(out *figure.Report, during string) {
	for _, way := range []string{"key", "token"} {
		total, refused := r.history.refusals(way)
		out.Note("once: %s: by %s, %d submissions", during, way, total)
		for _, detail := range slices.Sorted(maps.Keys(refused)) {
			out.Note("once: %s: by %s, not run or unknown %d times: %s", during, way, refused[detail], detail)
		}
	}
}

// onceRuleOff shows that the check notices a second run: with the rule on the
// beginning of the memory dropped, a key that ran before its owner was killed
// runs again.
func onceRuleOff(ctx context.Context, env Env) error {
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
	var keys []lab.Booking
	for i := range 40 {
		name := newUUID()
		keys = append(keys, lab.Booking{Name: name, Submission: fmt.Sprint(name, i), Key: newUUID()})
	}
	r.submitAll(ctx, keys)
	if err := r.inject(ctx, []fault{{begin: killAgent, end: relaunchAgent}}); err != nil {
		return err
	}
	if err := r.await(ctx); err != nil {
		return err
	}
	r.submitAll(ctx, keys)
	v := r.history.check(r.lab.Options.Ledger)
	env.Report.Note("once: with the rule on the beginning of the memory off, %d of %d keys ran twice (must be above 0)",
		v.twice, len(keys))
	if v.twice == 0 {
		return fmt.Errorf("no key ran twice although the rule was off")
	}
	return nil
}

func (r *onceRun) submitAll(ctx context.Context, keys []lab.Booking) {
	for _, b := range keys {
		r.submit(ctx, b, "key")
	}
}
