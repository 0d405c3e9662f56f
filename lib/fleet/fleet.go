// Package fleet defines the identifiers and records that all modules share.
package fleet

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// InstanceID identifies one instance for its whole lifetime; a replacement gets
// a new ID.
type InstanceID string

// FailureDomain identifies a set of instances that fail together.
type FailureDomain string

// Region identifies a set of failure domains that are connected by fast links.
type Region string

// Customer identifies a sender of requests, to whom limits apply.
type Customer string

// Service identifies a set of upstreams that do the same work.
type Service string

// ProfileName is the name of a published profile.
type ProfileName string

// Version is the publisher's name of a version of a model.
type Version string

// Generation numbers published configurations; a greater one is newer.
type Generation uint64

// Incarnation identifies a start of an instance's process. It is the time of the
// start by the instance's clock, in milliseconds.
type Incarnation int64

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is a 256-bit BLAKE3 digest.
type Digest [DigestSize]byte

// IsZero reports whether the digest is unset.
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

// ParseDigest parses a digest of 64 hexadecimal digits.
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

// Role is the role of a process in the system.
type Role string

// The roles that run as long-lived processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// InstanceState is the state that the platform or the instance itself reports.
type InstanceState string

// The states of an instance. Whether an instance is suspected is decided locally
// and never sent as a state.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is the record of one process of the system, as its peers know it.
type Instance struct {
	ID            InstanceID    `json:"id"`
	Role          Role          `json:"role"`
	Service       Service       `json:"service,omitempty"`
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failure_domain"`
	Region        Region        `json:"region"`
	State         InstanceState `json:"state"`
	// Serving is the root digest of the weights that calls may use at an agent, as
	// the agent reports it.
	Serving Digest `json:"serving,omitzero"`
	// Switching is true while an agent's engine changes versions and accepts no
	// calls.
	Switching bool `json:"switching,omitempty"`
	// Incarnation is the start of the instance's process, as far as other processes
	// know it; zero if the instance is known only from the list.
	Incarnation Incarnation `json:"-"`
}

// RendezvousWeight returns the rendezvous hashing weight of member for key. The
// member with the greatest weight is first for that key. A member that joins or
// leaves moves only its own keys.
func RendezvousWeight(key, member string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(member)
	return Mix(h.Sum64())
}

// Mix spreads the low bits over the whole value, because the weights of short
// keys are compared as whole numbers.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
