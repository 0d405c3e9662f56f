// Package dispatch decides how a request is handled between its caller and the
// upstreams: which upstream gets it, how long it may wait, whether it is
// retried, and what the caller gets if no upstream responds. The core is pure:
// it takes events with their time and returns actions.
package dispatch

import (
	"strconv"
	"time"

	"rattanspur.example/lib/fleet"
	"rattanspur.example/lib/poison"
	"rattanspur.example/lib/ratelimit"
	"rattanspur.example/lib/retry"
)

// Ticket identifies a request within one process.
type Ticket uint64

// Call describes a caller's request.
type Call struct {
	// ID is the caller's identifier of this attempt.
	ID   string
	Host string
	Path string
	Key  string
	// TimeBudget is how long the caller waits for the response; 0 if it did not
	// say.
	TimeBudget time.Duration
	// Model, PromptTokens and MaxAnswerTokens describe a request to a model.
	Model           string
	PromptTokens    int
	MaxAnswerTokens int
	// ExpectedAnswerTokens is the caller's estimate of the length of the answer; 0
	// if it gave none.
	ExpectedAnswerTokens int
	// LastEvent is the id of the last event that the caller received; it is set
	// if the caller resumes a stream.
	LastEvent string
	// PromptParts identifies the parts of the prompt that other requests may share,
	// in their order. PartsLeftOut is the number of further ones that are not among them.
	PromptParts  []string
	PartsLeftOut int
	// Traits describes the request to the search for requests that crash upstreams,
	// from the broadest trait to the most specific one.
	Traits []poison.Trait
}

// UnknownCount is a number in a Load that the upstream did not state readably.
const UnknownCount = -1

// Load is the load that an upstream reports.
type Load struct {
	// Running, Waiting and Slots are numbers of requests, or UnknownCount.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there now, as a multiple of the usual time; 0 if
	// not stated.
	Slowdown float64
}

// String returns the load as logs show it; "unknown" for nil.
func (l *Load) String() string {
	if l == nil {
		return "unknown"
	}
	text := countText(l.Running) + "+" + countText(l.Waiting) + "/" + countText(l.Slots)
	if l.Slowdown > 0 {
		text += "*" + strconv.FormatFloat(l.Slowdown, 'g', slowdownDigits, 64)
	}
	return text
}

// slowdownDigits is the number of significant digits of a slowdown in logs.
const slowdownDigits = 3

func countText(n int) string {
	if n == UnknownCount {
		return "?"
	}
	return strconv.Itoa(n)
}

// requests returns the number of requests at the upstream. Unless all of them are counted,
// there may be more.
func (l *Load) requests() (n int, all bool) {
	return max(l.Running, 0) + max(l.Waiting, 0), l.Running != UnknownCount && l.Waiting != UnknownCount
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	End retry.End
	// Misdirected is set if the upstream refused because it is a different
	// instance or has other weights than expected.
	Misdirected bool
	// ServerError is set if the upstream responded with a server error.
	ServerError bool
	// ClientError is set if the upstream rejected the request with a client error.
	ClientError bool
	// Held is set if the response was read completely and not passed on yet.
	Held bool
	// Started is set if the caller has received bytes of a response.
	Started bool
	// LastEventID is the id of the last event that was passed on, if any.
	LastEventID string
	// Version is the version of the weights that responded; 0 if not known.
	Version int64
	// FirstByte is the time from sending to the first byte; 0 if none came.
	FirstByte time.Duration
	// Idle is the time since the last event, or since the send if none came.
	Idle time.Duration
}

// Observation is what the header of a response reports about its upstream.
type Observation struct {
	// Attempt is the number of the attempt that the response belongs to; 0 for the current
	// one of its request.
	Attempt int
	// Refused is set if the upstream has not run the request.
	Refused       bool
	Load          *Load
	Version       int64
	ColdRemaining time.Duration
	// Limit is what the response states about the rate of requests that the upstream
	// takes from all entries together.
	Limit ratelimit.Statement
	// Leaving is set if the upstream is about to leave and wants no more requests.
	Leaving bool
	// RetryAfter is how long the upstream wants no request from this entry; 0 if it did
	// not say.
	RetryAfter time.Duration
}

// Notice is a loader's report of the weights that its engine serves.
type Notice struct {
	Address string
	// StartTime distinguishes the starts of the engine; a later start has a
	// greater value.
	StartTime int64
	Model     string
	// Version is the version that the engine serves; 0 while it loads new
	// weights. PreviousVersion is the version that it served before.
	Version         int64
	PreviousVersion int64
}

// Action is an output of the core.
type Action interface{ action() }

// Send requests one attempt at an upstream.
type Send struct {
	Ticket   Ticket
	Upstream fleet.InstanceID
	Address  string
	Customer fleet.Customer
	// ExpectVersion is the only version of the weights that may respond; 0 for
	// any.
	ExpectVersion int64
	// DesiredVersion is the newest version that upstreams should serve, and
	// DesiredFor how long it has been desired as far as this process knows; 0 if
	// unknown.
	DesiredVersion int64
	DesiredFor     time.Duration
	// Deadline ends the attempt.
	Deadline time.Time
	// FirstByteTimeout and GapTimeout limit the time to the first byte and between
	// events; 0 means no limit.
	FirstByteTimeout time.Duration
	GapTimeout       time.Duration
	// FirstByteSilence and GapSilence are the times without a first byte and without a
	// further event after which Core.AttemptSilent is called.
	FirstByteSilence time.Duration
	GapSilence       time.Duration
	// Milestones are the times after the first event after which Core.ResponseGoesOn is
	// called, from the shortest one.
	Milestones []time.Duration
	// BeginBy is when the first event must have arrived, because the weights of the
	// upstream may not begin requests any later; zero for no limit.
	BeginBy time.Time
	// Streaming is set if the response consists of events.
	Streaming bool
	// HoldErrors is set if a server error must be read completely and held
	// until it is known whether the request is retried.
	HoldErrors bool
	// Expected is how long the attempt is expected to take, during a planned stop; 0 if
	// unknown or without a stop.
	Expected time.Duration
	// Waited is the time from the arrival of the request to this attempt.
	Waited time.Duration
	// Attempt is the number of this attempt of the request, from 1.
	Attempt int
	// Hedge is set if the current attempt of the request is silent and goes on beside this
	// one. The first of the two that makes progress goes on to the caller, and the other one
	// is ended. If the current attempt ends without an answer, this one takes its place.
	// HedgeEnded, HedgeDropped or AttemptReplaced follows.
	Hedge bool
	// Estimate is the load that a hedge rests on; zero for other attempts.
	Estimate LoadEstimate
	// Probe is the convicted trait that the request probes; 0 if it probes none.
	Probe poison.Trait
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// Ranked is set if the service admits requests by rank. Turn is then the place of the
	// request in the order in which the upstream should begin its waiting requests, from 0 to
	// LastTurn.
	Ranked         bool
	Turn, LastTurn int
}

// Deliver requests that the held response is passed on to the caller.
type Deliver struct{ Ticket Ticket }

// Verdict tells a caller without a response from an upstream what became of its
// request.
type Verdict uint8

// The verdicts.
const (
	// NotRun means that the request has not run and never will.
	NotRun Verdict = iota
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// Overdue means that the request may have run and its deadline has passed.
	Overdue
	// NoRoute means that no route matches.
	NoRoute
	// NoKey means that the key belongs to no customer.
	NoKey
)

// String returns the verdict as logs show it.
func (v Verdict) String() string {
	return [...]string{"not-run", "unknown", "overdue", "no-route", "no-key"}[v]
}

// Refuse ends a request with a response that is generated here.
type Refuse struct {
	Ticket  Ticket
	Verdict Verdict
	Reason  string
	// RetryAfter is the delay after which the caller should retry; 0 if none is
	// given.
	RetryAfter time.Duration
	// Trait is the convicted trait of a blocked request; 0 if there is another
	// reason.
	Trait poison.Trait
	// Rank is the urgency of the request, if a route matched. Ranked is set if the service
	// admits requests by rank.
	Rank   int
	Ranked bool
}

// Finish ends a request that needs no further action.
type Finish struct{ Ticket Ticket }

// Interrupt ends the attempts of a request that still runs at the end of a planned stop.
// AttemptEnded follows with retry.Stalled, or with the answer if that was complete by then.
type Interrupt struct{ Ticket Ticket }

func (Send) action()      {}
func (Deliver) action()   {}
func (Refuse) action()    {}
func (Finish) action()    {}
func (Interrupt) action() {}
