package emulator

import "time"

// outcome is how a caller's request ended.
type outcome uint8

const (
	// outcomeInTime means a complete answer within the goals.
	outcomeInTime outcome = iota
	// outcomeLate means a complete answer that missed a goal.
	outcomeLate
	// outcomeRefused means that the request was rejected and has not run.
	outcomeRefused
	// outcomeFailed means that the request ended without a complete answer.
	outcomeFailed
)

// Tally counts requests by their outcome.
type Tally struct {
	Asked, InTime, Late, Refused, Failed int
	// Cut counts the failed ones of which the caller had received events.
	Cut int
	// Begun counts those of which the caller received at least one event.
	Begun int
	// Returned counts those that were answered after a rejection.
	Returned int
}

// ending is how a request ended for its caller.
type ending struct {
	outcome  outcome
	begun    bool
	returned bool
}

// InTimeShare returns the fraction of the requests that were answered in time.
func (t *Tally) InTimeShare() float64 { return share(t.InTime, t.Asked) }

// ServedShare returns the fraction of the requests that were answered.
func (t *Tally) ServedShare() float64 { return share(t.InTime+t.Late, t.Asked) }

// RefusedShare returns the fraction of the requests that were refused for good.
func (t *Tally) RefusedShare() float64 { return share(t.Refused, t.Asked) }

// BegunShare returns the fraction of the requests whose answer began.
func (t *Tally) BegunShare() float64 { return share(t.Begun, t.Asked) }

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Result holds the counts of one run: in total, by class, and for each second by
// the time at which the caller first sent the request.
type Result struct {
	Total   Tally
	Classes map[string]*Tally
	Seconds []Tally
	// RefusedAfter holds the times from the arrival of requests at a gateway until it
	// refused them.
	RefusedAfter []time.Duration
	// LoadedAfter holds the times from the publication of the weights until each
	// engine served them, in that order.
	LoadedAfter []time.Duration
	// Blocked is the number of requests that were refused because they are like
	// those that crashed engines, without the harmful ones.
	Blocked int
	// Harm is nil if the scenario has no harmful requests. They count nowhere else.
	Harm *Harm
	// Limits is nil if no engine states a limit.
	Limits *Limits
	// OutFor holds the times for which engines accepted no requests because of a
	// change of weights.
	OutFor []time.Duration
}

// MeanOutFor returns the mean of OutFor, or 0 if there was no change of weights.
func (r *Result) MeanOutFor() time.Duration { return mean(r.OutFor) }

// MeanRefusedAfter returns the mean of RefusedAfter, or 0 if nothing was refused.
func (r *Result) MeanRefusedAfter() time.Duration { return mean(r.RefusedAfter) }

func mean(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

func newResult(length time.Duration) *Result {
	return &Result{Classes: map[string]*Tally{}, Seconds: make([]Tally, int(length/time.Second)+1)}
}

// add counts a request that was first sent at the time at.
func (r *Result) add(at time.Duration, class string, e ending) {
	if r.Classes[class] == nil {
		r.Classes[class] = &Tally{}
	}
	second := min(int(at/time.Second), len(r.Seconds)-1)
	for _, t := range []*Tally{&r.Total, r.Classes[class], &r.Seconds[second]} {
		t.add(e)
	}
}

func (t *Tally) add(e ending) {
	t.Asked++
	if e.begun {
		t.Begun++
	}
	switch e.outcome {
	case outcomeInTime:
		t.InTime++
	case outcomeLate:
		t.Late++
	case outcomeRefused:
		t.Refused++
	case outcomeFailed:
		t.Failed++
		if e.begun {
			t.Cut++
		}
	}
	if e.returned && (e.outcome == outcomeInTime || e.outcome == outcomeLate) {
		t.Returned++
	}
}

// Between returns the sum of the counts of the seconds from from to until.
func (r *Result) Between(from, until time.Duration) Tally {
	var sum Tally
	for i, t := range r.Seconds {
		if at := time.Duration(i) * time.Second; at >= from && at < until {
			sum.merge(&t)
		}
	}
	return sum
}

// merge adds the counts of another tally.
func (t *Tally) merge(o *Tally) {
	t.Asked += o.Asked
	t.InTime += o.InTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Cut += o.Cut
	t.Begun += o.Begun
	t.Returned += o.Returned
}
