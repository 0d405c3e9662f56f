package retry

// End says how an attempt ended.
type End uint8

// The ends of an attempt.
const (
	// Answered means that the response, whole or cut, went to the caller.
	Answered End = iota
	// Busy means that the agent refused for lack of room; it was not run.
	Busy
	// Refused means that the agent refused for another reason; it was not run.
	Refused
	// Unreachable means that no byte of the request was written; it was not run.
	Unreachable
	// Lost means that the connection ended, or the upstream died, without a
	// response. It may have been run, and it may have caused the crash.
	Lost
	// Silent means that the connection made no progress. It may have been run.
	Silent
	// Mismatched means that the answer named another request. It may have been run.
	Mismatched
	// TimedOut means that the call's deadline passed. It may have been run.
	TimedOut
	// CallerLeft means that the caller ended the request.
	CallerLeft
)

// endNames are the names of the ends as logs show them.
var endNames = [...]string{
	"answered", "busy", "refused", "unreachable", "lost", "silent", "mismatched", "timed-out", "caller-left",
}

// String returns the name of an end.
func (e End) String() string { return endNames[e] }

// NotRun reports whether it is certain that the attempt was not run.
func (e End) NotRun() bool { return e == Busy || e == Refused || e == Unreachable }

// Failure reports whether the upstream should be avoided for a while.
func (e End) Failure() bool { return e == Unreachable || e == Lost || e == Silent || e == Mismatched }

// Crash reports whether the request may have crashed the upstream.
func (e End) Crash() bool { return e == Lost }

// Attempt is what the decision needs to know of an attempt that ended.
type Attempt struct {
	End End
	// Failures counts the attempts of the call that may have been run and
	// failed, this one included.
	Failures int
	// Placements counts the attempts of the call that were not refused for lack
	// of room; calls without room wait until their deadline.
	Placements int
	// Once says that the request may not be repeated.
	Once bool
	// Started says that bytes of a response have reached the caller.
	Started bool
}

// Action is what follows an attempt.
type Action uint8

// The actions after an attempt.
const (
	// Finish means that nothing is left to do.
	Finish Action = iota
	// Again means that the call goes to another upstream.
	Again
	// Requeue means that the call waits until an upstream has room.
	Requeue
	// GiveUp means that the caller is told that no answer will come.
	GiveUp
)

const (
	// maxFailures bounds the attempts of one call that fail.
	maxFailures = 3
	// maxPlacements bounds the attempts of one call. Refusals cost the upstream
	// little and are no failures, but a call must not go round forever.
	maxPlacements = 20
)

// Decide returns what follows an attempt. The spend function takes a retry
// from the budgets; it is called only if everything else allows a retry.
// Attempts that were not run spend nothing: they cost the upstream little, and
// while views differ, such as when a failure domain is taken out of service or
// an instance has died, all calls may need a second attempt.
func Decide(a Attempt, spend func() bool) Action {
	switch {
	case a.End == Answered || a.End == CallerLeft || a.Started:
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
		return Again
	default:
		return GiveUp
	}
}
