package once

import "time"

// Kind is what the agent must do with a submission.
type Kind uint8

// The kinds of verdict.
const (
	// Run means that the submission may run. The agent must call Finish when
	// the run has ended.
	Run Kind = iota + 1
	// Replay means that the request ran and that its answer is to be sent again.
	Replay
	// AnswerGone means that the request ran but its answer is not available.
	AnswerGone
	// Wait means that the request is in progress and its result is to be awaited.
	Wait
	// Delay means that the agent must call Admit again after a delay.
	Delay
	// Refuse means that the request was not run.
	Refuse
	// Unknown means that this submission was not run, but an earlier submission
	// of the request may have run.
	Unknown
)

// Reason is why a submission does not run. Callers see its text.
type Reason string

// The reasons of Refuse and Delay: the request was not run.
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

// The reasons of Unknown: an earlier submission may have run.
const (
	BeforeEpochs   Reason = "the key is older than all published owners"
	BeforeMemory   Reason = "the key was made before this start of its owner; an earlier start may have run it"
	KeyForgotten   Reason = "the key is older than the memory of its owner; it may have been run"
	OwnersChanged  Reason = "owners published as final were changed; another owner may have run the key"
	OtherStart     Reason = "the token was issued by an earlier start of its instance, which may have used it"
	TokenForgotten Reason = "the token expired too long ago; it may have been used"
	RunLost        Reason = "the request was handed over and its outcome is unknown"
)

// Verdict is the decision on a submission.
type Verdict struct {
	Kind Kind
	// Reason is set for Refuse, Unknown and Delay.
	Reason Reason
	// Answer is set for Replay.
	Answer *Answer
	// Ticket is set for Run and Wait.
	Ticket Ticket
	// After is how long to wait for Delay.
	After time.Duration
}

// Answer is the complete response of an upstream.
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
