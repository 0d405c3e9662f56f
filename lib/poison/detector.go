package poison

import "time"

// Detector holds the evidence of one gateway. It is not safe for concurrent use:
// the goroutine of one duty owns it.
type Detector struct{ self string }

// New returns a detector without evidence. The name of the process distinguishes it
// from others.
func New(self string) *Detector { return &Detector{self: self} }

// Lost records that an upstream was lost with a request whose answer had not begun.
func (d *Detector) Lost(now time.Time, id CrashID, traits []Trait) {}

// Answered records that an upstream answered a request that was sent at sentAt. It
// refutes a crash of that start of the upstream shortly before.
func (d *Detector) Answered(now time.Time, id CrashID, sentAt time.Time) {}

// Began records that the answer to a request began.
func (d *Detector) Began(now time.Time, traits []Trait) {}

// Check returns the decision on a request: the strictest one of its traits.
func (d *Detector) Check(now time.Time, traits []Trait) Decision { return Decision{} }

// ProbeSent records that a request with a convicted trait was sent.
func (d *Detector) ProbeSent(now time.Time, t Trait) {}

// Reports returns the evidence for the next message to other gateways. Each call
// counts as one message.
func (d *Detector) Reports(now time.Time) []Report { return nil }

// Merge adds the evidence of another gateway.
func (d *Detector) Merge(now time.Time, reports []Report) {}

// Valid reports whether the numbers of a report are possible.
func (r *Report) Valid() bool { return true }

// Crashes returns the number of crashes of which evidence is kept.
func (d *Detector) Crashes() int { return 0 }

// Convicted returns the convicted traits.
func (d *Detector) Convicted(now time.Time) []Trait { return nil }
