// Package fleet holds the identifiers and records that all modules share.
package fleet

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// InstanceID names one instance for its whole life; a replacement has a new one.
type InstanceID string

// FailureDomain names a set of instances that fail together.
type FailureDomain string

// Region names a set of failure domains joined by fast links.
type Region string

// Customer names the sender of requests for whom limits are kept.
type Customer string

// Service names a set of upstreams that do the same work.
type Service string

// ProfileName names a published profile.
type ProfileName string

// Version names one version of a model as its publisher calls it.
type Version string

// Generation numbers published configurations; a greater one is newer.
type Generation uint64

// Incarnation numbers the starts of the process of one instance, in
// milliseconds of its clock at the start.
type Incarnation int64

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is a BLAKE3 digest with 256 bits.
type Digest [DigestSize]byte

// IsZero reports whether the digest was never set.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns the digest as lower-case hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}

// ParseDigest reads 64 hexadecimal digits.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if len(s) != 2*DigestSize {
		return d, eris.Errorf("digest has %d characters, want %d", len(s), 2*DigestSize)
	}
	if _, err := hex.Decode(d[:], []byte(s)); err != nil {
		return d, eris.Wrap(err, "digest is not hexadecimal")
	}
	return d, nil
}

// Role is what a process of the system does.
type Role string

// The roles that run as long-lived processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// InstanceState is what the platform or the instance itself says of it.
type InstanceState string

// The states of an instance. A suspected instance is a local judgement and
// never travels as a state.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one process of the system as its peers know it.
type Instance struct {
	ID            InstanceID    `json:"id"`
	Role          Role          `json:"role"`
	Service       Service       `json:"service,omitempty"`
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failure_domain"`
	Region        Region        `json:"region"`
	State         InstanceState `json:"state"`
	// Serving is the root that calls may reach at an agent, as it says itself.
	Serving Digest `json:"serving,omitzero"`
	// Switching says that an agent's engine changes versions and takes no calls.
	Switching bool `json:"switching,omitempty"`
}

// Rank returns the rendezvous weight of member for key. Whoever has the
// greatest weight among the members is first for that key, and a member that
// joins or leaves moves only its own keys.
func Rank(key, member string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(member)
	return mix(h.Sum64())
}

// mix spreads the low bits; the weights of short keys are compared as a whole.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
