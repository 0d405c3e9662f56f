package rollout

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

// Event is an input of the core.
type Event interface{ event() }

// Target is the desired state of the engine according to the adopted
// configuration, with the members of the service.
type Target struct {
	// Profile is the profile to serve; nil means none.
	Profile *config.Profile
	// ActiveRoots holds the roots of the profiles that are not retired.
	ActiveRoots map[fleet.Digest]bool
	// LoadsAlongside is set if the engine can hold two versions at once.
	LoadsAlongside bool
	// ChecksFence is set if the engine refuses orders with an old fencing token.
	ChecksFence bool
	// MaxUnavailable is the number of agents of the service that may switch at
	// the same time; 0 counts as 1.
	MaxUnavailable int
	// Members are the live agents of the service. They may include this agent.
	Members []fleet.Instance
}

// WeightsReady reports that the agent holds all chunks of a root, verified.
type WeightsReady struct{ Root fleet.Digest }

// WeightsDropped reports that the agent no longer holds all chunks of a root.
type WeightsDropped struct{ Root fleet.Digest }

// Reported carries the engine's load report; nil means that the engine did not
// answer.
type Reported struct {
	// RequestedAt is when the read of the report started.
	RequestedAt time.Time
	Report      *engine.Report
}

// OrderEnded reports the end of the order in progress; Err is nil on success.
type OrderEnded struct{ Err error }

// Drained answers the Drain with the same Seq: no call for its root is in flight.
type Drained struct {
	Root fleet.Digest
	Seq  uint64
}

func (Target) event()         {}
func (WeightsReady) event()   {}
func (WeightsDropped) event() {}
func (Reported) event()       {}
func (OrderEnded) event()     {}
func (Drained) event()        {}

// Action is an output of the core.
type Action interface{ action() }

// Fetch requests the transfer of the weights of a profile.
type Fetch struct{ Profile *config.Profile }

// Load orders the engine to load a profile.
type Load struct {
	Profile *config.Profile
	Fence   int64
}

// Unload orders the engine to free a root.
type Unload struct {
	Root  fleet.Digest
	Fence int64
}

// Drain requests a Drained event once no call for a root is in flight. The root
// is not served at that time.
type Drain struct {
	Root fleet.Digest
	Seq  uint64
}

// Serve sets the root that calls may use; zero means none. Switching is set if
// the engine stopped serving its version in order to load another.
type Serve struct {
	Root      fleet.Digest
	Switching bool
}

func (Fetch) action()  {}
func (Load) action()   {}
func (Unload) action() {}
func (Drain) action()  {}
func (Serve) action()  {}
