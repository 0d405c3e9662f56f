package once

import "time"

// Rules are the time and size limits of a Memory.
type Rules struct {
	// ClockStep is the most that the clock of an instance may step back between
	// two readings, also across a restart.
	ClockStep time.Duration
	// KeyLifetime is the age up to which a key is accepted.
	KeyLifetime time.Duration
	// MaxFutureWait is how far in the future a key's time may be for the
	// submission to be delayed until then instead of refused.
	MaxFutureWait time.Duration
	// TokenLifetime is the time from issuing a token to its expiry.
	TokenLifetime time.Duration
	// Grace is how long the record of a key or token is kept after the key or
	// token is no longer accepted. During that time, a missing record proves
	// that the request was not run.
	Grace time.Duration
	// MaxRecords is the maximum number of keys and tokens in memory and
	// MaxRecordsPerCustomer that of one customer, so that one customer cannot
	// use up the capacity of the others.
	MaxRecords            int
	MaxRecordsPerCustomer int
	// MaxAnswerBytes is the maximum size of one kept answer, MaxCachedBytes that
	// of all kept answers together.
	MaxAnswerBytes int
	MaxCachedBytes int
}

// DefaultRules returns the limits that an agent uses unless its settings
// override them. At 28,000 requests per second over 4,300 replicas, an agent
// gets 6.5 per second, so the requests of 11 minutes (KeyLifetime and Grace)
// take about 4,300 records.
func DefaultRules() Rules {
	return Rules{
		ClockStep:             2 * time.Second,
		KeyLifetime:           10 * time.Minute,
		MaxFutureWait:         time.Second,
		TokenLifetime:         2 * time.Minute,
		Grace:                 time.Minute,
		MaxRecords:            1 << 16,
		MaxRecordsPerCustomer: 1 << 15,
		MaxAnswerBytes:        64 << 10,
		MaxCachedBytes:        32 << 20,
	}
}
