package retry

// End is the way in which an attempt ended.
type End uint8

// The ends of an attempt.
const (
	// Answered means that the response went to the caller, completely or in part.
	Answered End = iota
	// Busy means that the agent refused for lack of capacity; the request was
	// not run.
	Busy
	// Refused means that the agent refused for another reason; the request was
	// not run.
	Refused
	// Unreachable means that no byte of the request was written; the request was
	// not run.
	Unreachable
	// Lost means that the connection ended, or the upstream died, without a
	// response. The request may have been run, and it may have caused the crash.
	Lost
	// Stalled means that the connection made no progress. The request may have
	// been run.
	Stalled
	// Mismatched means that the response named another request. The request may
	// have been run.
	Mismatched
	// TimedOut means that the call's deadline passed. The request may have been
	// run.
	TimedOut
	// Canceled means that the caller ended the request.
	Canceled
	// NotBegun means that the response had not begun when the time for that was
	// over, and the attempt was ended. The request may have been run; the upstream
	// is not at fault.
	NotBegun
)

// endNames holds the names of the ends in logs.
var endNames = [...]string{
	"answered", "busy", "refused", "unreachable", "lost", "silent", "mismatched", "timed-out", "caller-left",
	"not-begun",
}

// String returns the name of an end.
func (e End) String() string { return endNames[e] }

// NotRun reports whether it is certain that the attempt was not run.
func (e End) NotRun() bool { return e == Busy || e == Refused || e == Unreachable }

// Failure reports whether the attempt counts as a failure of the upstream, which
// should then be avoided for a while.
func (e End) Failure() bool { return e == Unreachable || e == Lost || e == Stalled || e == Mismatched }

// Crash reports whether the request may have crashed the upstream.
func (e End) Crash() bool { return e == Lost }

// Attempt describes an attempt that ended and the earlier attempts of its call.
type Attempt struct {
	End End
	// Failures counts the attempts of the call that may have been run and
	// failed, this one included.
	Failures int
	// Placements counts the attempts of the call, except those that were refused
	// for lack of capacity: after these, calls wait until their deadline.
	Placements int
	// Once is set if the request must not be run more than once.
	Once bool
	// Started is set if the caller has received bytes of a response.
	Started bool
}

// Action is what follows an attempt.
type Action uint8

// The actions after an attempt.
const (
	// Finish means that the call needs no further action.
	Finish Action = iota
	// Resend means that the call is sent to another upstream.
	Resend
	// Requeue means that the call waits until an upstream has capacity.
	Requeue
	// GiveUp means that the caller is told that there will be no response.
	GiveUp
)

const (
	// maxFailures bounds the failed attempts of one call.
	maxFailures = 3
	// maxPlacements bounds the attempts that Attempt.Placements counts. Refusals
	// cost the upstream little and are not failures, but a call must not be sent
	// around forever.
	maxPlacements = 20
)

// Decide returns the action after an attempt. The spend function takes a retry
// from the budgets and returns false if there is none left; it is called only if
// everything else allows a retry.
//
// Attempts that were not run do not count against the budgets: they cost the
// upstream little, and all calls may need a second attempt while the views of
// processes differ, such as when a failure domain is taken out of service or an
// instance has died.
func Decide(a Attempt, spend func() bool) Action {
	switch {
	case a.End == Answered || a.End == Canceled || a.Started:
		return Finish
	case a.End == Busy:
		return Requeue
	case a.Placements >= maxPlacements || a.End == TimedOut:
		return GiveUp
	case a.End.NotRun():
		return Requeue
	case a.Once:
		return GiveUp
	case a.Failures < maxFailures && spend():
		return Resend
	default:
		return GiveUp
	}
}
