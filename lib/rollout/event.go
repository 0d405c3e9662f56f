package rollout

import (
	"time"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/engine"
	"rattanspur.example/lib/fleet"
)

// Event is an input of the core.
type Event interface{ event() }

// Target says what the adopted configuration and the members ask of the engine.
type Target struct {
	// Profile is the one to serve; nil means none.
	Profile *config.Profile
	// Named holds the roots of the profiles that are not retired.
	Named map[fleet.Digest]bool
	// LoadsAlongside says that the engine can hold two versions at once.
	LoadsAlongside bool
	// ChecksFence says that the engine refuses orders with an old token.
	ChecksFence bool
	// MaxUnavailable is how many agents of the service may switch at a time;
	// 0 counts as 1.
	MaxUnavailable int
	// Members are the live agents of the service, with or without the own one.
	Members []fleet.Instance
}

// WeightsReady says that every chunk of a root is verified and held here.
type WeightsReady struct{ Root fleet.Digest }

// WeightsGone says that the chunks of a root are no longer all held here.
type WeightsGone struct{ Root fleet.Digest }

// Reported carries the engine's load report; nil means that it did not answer.
type Reported struct {
	// Asked is when the read began.
	Asked  time.Time
	Report *engine.Report
}

// OrderEnded says how the order in progress ended.
type OrderEnded struct{ Err error }

// Drained answers a Drain: no call for its root is in flight.
type Drained struct {
	Root fleet.Digest
	Seq  uint64
}

func (Target) event()       {}
func (WeightsReady) event() {}
func (WeightsGone) event()  {}
func (Reported) event()     {}
func (OrderEnded) event()   {}
func (Drained) event()      {}

// Action is an output of the core.
type Action interface{ action() }

// Fetch asks for the weights of a profile to be transferred.
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

// Drain asks for a Drained event once no call for a root is in flight. The
// root is not served at that time.
type Drain struct {
	Root fleet.Digest
	Seq  uint64
}

// Serve names the root that calls may reach; zero means none. Switching says
// that the engine gave up its version in order to change to another.
type Serve struct {
	Root      fleet.Digest
	Switching bool
}

func (Fetch) action()  {}
func (Load) action()   {}
func (Unload) action() {}
func (Drain) action()  {}
func (Serve) action()  {}
