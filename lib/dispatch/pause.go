package dispatch

import (
	"time"

	"rattanspur.example/lib/published"
)

// An engine reads prompts between the tokens of the requests that it runs: a long prompt delays
// the first token of each request that waits there, and the next token of all others. So a
// request goes where its prompt makes no running stream late, and long prompts are spread over
// the engines that read fast at the moment.
const (
	// pauseCost is the cost added to an engine whose streams would pause for as long as their
	// route's goal for the interval between two events. It exceeds the cost of an upstream
	// that others own.
	pauseCost = 2.0
	// freePause is the pause, as a fraction of that goal, up to which there is no cost.
	freePause = 0.55
)

// shorterGoal returns the shorter one of two goals; 0 is none.
func shorterGoal(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// streamPause returns for how long the running streams of an upstream pause, at its present
// speed, if it gets a request with a number of prompt tokens.
func (u *upstream) streamPause(now time.Time, e *published.Engine, unread, promptTokens int) time.Duration {
	pass := time.Duration(float64(e.TimePerToken) * float64(e.TokensPerPass) * u.speed.slowdown(now))
	return pass + u.promptTime(now, e, unread+promptTokens)
}

// pauseCostOf returns the cost of the pause that a request makes at an upstream.
func (s *service) pauseCostOf(now time.Time, r *request, u *upstream, unread int) float64 {
	if s.minGapGoal <= 0 {
		return 0
	}
	share := float64(u.streamPause(now, s.published.Engine, unread, r.PromptTokens)) / float64(s.minGapGoal)
	return pauseCost * min(max(share-freePause, 0)/(1-freePause), 1)
}
