package once

import "time"

// Rules hold the bounds of the memory.
type Rules struct {
	// ClockStep bounds how far the clock of an instance may step back between
	// two readings, also across a restart.
	ClockStep time.Duration
	// KeyLifetime is the age up to which a key is accepted.
	KeyLifetime time.Duration
	// FutureWait bounds how long a submission waits for its key's time.
	FutureWait time.Duration
	// TokenLifetime is the time from the issue of a token to its expiry.
	TokenLifetime time.Duration
	// Grace is how long a key or token is remembered after it is no longer
	// accepted. Within it, an absent record proves that nothing was run.
	Grace time.Duration
	// MaxRecords bounds the keys and tokens in memory, MaxOfCustomer those of
	// one customer, so that a flood of one leaves room for the others.
	MaxRecords    int
	MaxOfCustomer int
	// MaxAnswerBytes bounds one answer that is kept, MaxHeldBytes all of them.
	MaxAnswerBytes int
	MaxHeldBytes   int
}

// DefaultRules returns the bounds that an agent uses unless its settings say
// otherwise. At 28,000 requests a second over 4,300 replicas an agent sees 6.5
// a second, so 11 minutes of them take about 4,300 of the records.
func DefaultRules() Rules {
	return Rules{
		ClockStep:      2 * time.Second,
		KeyLifetime:    10 * time.Minute,
		FutureWait:     time.Second,
		TokenLifetime:  2 * time.Minute,
		Grace:          time.Minute,
		MaxRecords:     1 << 16,
		MaxOfCustomer:  1 << 15,
		MaxAnswerBytes: 64 << 10,
		MaxHeldBytes:   32 << 20,
	}
}
