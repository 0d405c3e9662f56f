package once

import "time"

// Kind is what a verdict asks of the agent.
type Kind uint8

// The kinds of verdict.
const (
	// Run lets the submission run; Finish must follow.
	Run Kind = iota + 1
	// Replay answers with the first answer.
	Replay
	// Gone says that the request ran and that its answer is no longer held.
	Gone
	// Wait says that the request is in progress.
	Wait
	// Later asks for the submission again after a delay.
	Later
	// Refuse says that the request was not run.
	Refuse
	// Unknown says that nothing is known of earlier submissions. This
	// submission was not run.
	Unknown
)

// Reason says why a submission does not run.
type Reason string

// The reasons with which a submission is refused. Nothing was run.
const (
	NotUUID       Reason = "the key is not a UUID; send a UUID of version 7, or obtain a token with POST /v1/tokens"
	NoTime        Reason = "the key has no time; send a UUID of version 7, or obtain a token with POST /v1/tokens"
	NoConfig      Reason = "no configuration adopted yet"
	NoOwners      Reason = "the service has no owners for keys; obtain a token with POST /v1/tokens"
	BeyondUntil   Reason = "the key's time is beyond the time up to which owners are published"
	NotOwner      Reason = "this instance does not own the key"
	InFuture      Reason = "the key's time is in the future"
	KeyExpired    Reason = "the key is older than the key lifetime"
	Full          Reason = "the memory for keys and tokens is full"
	OtherRequest  Reason = "the key or token was used with another request"
	BadToken      Reason = "the token is not valid"
	OtherCustomer Reason = "the token was issued to another customer"
	OtherInstance Reason = "the token was issued by another instance"
	TokenExpired  Reason = "the token has expired"
)

// The reasons with which the outcome of earlier submissions is unknown.
const (
	BeforeEpochs  Reason = "the key is older than all published owners"
	BeforeMemory  Reason = "the key was made before this start of its owner; an earlier start may have run it"
	KeyForgotten  Reason = "the key is older than the memory of its owner; it may have been run"
	PromiseBroken Reason = "owners published as final were changed; another owner may have run the key"
	OtherStart    Reason = "the token was issued by an earlier start of its instance, which may have used it"
	TokenGone     Reason = "the token expired too long ago; it may have been used"
	RunLost       Reason = "the request was handed over and its outcome is unknown"
)

// Verdict is what becomes of a submission.
type Verdict struct {
	Kind   Kind
	Reason Reason
	// Answer is set for Replay.
	Answer *Answer
	// Ticket is set for Run and Wait.
	Ticket Ticket
	// After is set for Later.
	After time.Duration
}

// Answer is the complete answer of an upstream.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

func refuse(r Reason) Verdict  { return Verdict{Kind: Refuse, Reason: r} }
func unknown(r Reason) Verdict { return Verdict{Kind: Unknown, Reason: r} }
