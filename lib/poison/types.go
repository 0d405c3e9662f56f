// Package poison finds out which requests crash the upstreams that run them, from
// the crashes that several gateways observe, and says which requests may run. It
// is pure: events come with their time, and nothing waits or does I/O.
package poison

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/zeebo/blake3"

	"rattanspur.example/lib/fleet"
)

// Trait identifies a property that requests may share: a part of a prompt, or the
// request itself. The traits of a request are ordered from the broadest to the most
// specific one.
type Trait uint64

// String returns a trait as logs and status pages show it.
func (t Trait) String() string { return fmt.Sprintf("%016x", uint64(t)) }

// requestTrait is set in the traits of whole requests.
const requestTrait Trait = 1 << 63

// PartTrait returns the trait of the requests to a model whose prompt contains a part.
// A part that crashes the engines of one model may be harmless for another one.
func PartTrait(model, part string) Trait {
	return Trait(hash("part", model, []byte(part))) &^ requestTrait
}

// RequestTrait returns the trait of one request and its repetitions.
func RequestTrait(key, target string, body []byte) Trait {
	return Trait(hash(key, target, body)) | requestTrait
}

// CrashID identifies the crash of one start of an upstream.
type CrashID uint64

// NewCrashID returns the identifier of the crash of the start of an upstream. The
// start time distinguishes the starts of the same instance.
func NewCrashID(upstream fleet.InstanceID, startTime int64) CrashID {
	return CrashID(hash(string(upstream), "", binary.BigEndian.AppendUint64(nil, uint64(startTime))))
}

// NewBootCrashID returns the identifier of the crash of the start of an upstream
// whose starts are distinguished by a text.
func NewBootCrashID(upstream fleet.InstanceID, boot string) CrashID {
	return CrashID(hash("boot", string(upstream), []byte(boot)))
}

func hash(a, b string, data []byte) uint64 {
	h := blake3.New()
	for _, s := range [...]string{a, b} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(data)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// Verdict says how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Clear means that the request runs like any other.
	Clear Verdict = iota
	// Suspected means that the request may crash its upstream: all requests with
	// the trait of the decision run on one upstream, and are not repeated if it is
	// lost.
	Suspected
	// Probe means that the request would be blocked, but that one request may run,
	// as a suspected one, to find out whether the trait is still harmful.
	Probe
	// Blocked means that the request must not run.
	Blocked
)

// Decision is a verdict and the trait that it rests on; the trait is 0 if the
// verdict is Clear.
type Decision struct {
	Verdict Verdict
	Trait   Trait
	// Episodes is the number of episodes of crashes that count against the trait.
	Episodes int
}

// Suspect is a trait of requests that were lost in a crash before their answer had gone on
// for lastingAfter.
type Suspect struct {
	Trait Trait `json:"t"`
	// Depth is the greatest position of the trait among the traits of such a
	// request, from 0 for the broadest one.
	Depth int `json:"d,omitempty"`
	// Known is set if an upstream survived a request with the trait a short time before
	// the crash, Cleared if one did after it. Traits of whole requests count as known:
	// that no upstream survived a request before says nothing about it.
	Known   bool `json:"k,omitempty"`
	Cleared bool `json:"c,omitempty"`
	// Early is set if the answer to one of the lost requests had not begun, or not gone on
	// for longer than earlyFor.
	Early bool `json:"e,omitempty"`
}

// Report is the evidence about one crash, for other gateways.
type Report struct {
	Crash CrashID `json:"i"`
	// AgeMS is the time since the crash in milliseconds.
	AgeMS int64 `json:"a"`
	// Refuted is set if the upstream turned out not to have crashed.
	Refuted  bool      `json:"r,omitempty"`
	Suspects []Suspect `json:"s,omitempty"`
}

const (
	// BlockAfter is the number of episodes of crashes after which a trait is
	// convicted.
	BlockAfter = 3
	// episodeGap is the time within which crashes belong to one episode. A failure
	// domain that loses power and a gateway whose connections are reset lose many
	// upstreams at once.
	episodeGap = 200 * time.Millisecond
	// lastingAfter is the time after its first event at which an answer counts as harmless:
	// an upstream that crashes as it begins to answer does so sooner.
	lastingAfter = 2 * time.Second
	// earlyFor is the time after the first event within which a crash most likely comes, if
	// the request is its cause.
	earlyFor = 200 * time.Millisecond
	// knownFor is how long a trait is known after an upstream survived it.
	knownFor = time.Minute
	// refutationTime is the time after a crash within which an answer refutes it. A
	// crashed upstream does not return that soon.
	refutationTime = time.Second
	// evidenceTTL is how long evidence is kept after its last change. It exceeds two of
	// the longest waits for a probe with its delay, so that the last BlockAfter crashes
	// of a conviction that was renewed stay.
	evidenceTTL = 30 * time.Minute
	// probeInterval is the time without a crash after which a convicted trait is
	// probed. Each process adds a delay of its own of up to the same time, or more if
	// there are many processes.
	probeInterval = time.Minute
	// knownProbeInterval is the same for a known trait. It may be sound: a service
	// that is lost in stages convicts what its requests share.
	knownProbeInterval = 10 * time.Second
)
