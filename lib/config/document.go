// Package config holds the published configuration: its document, its
// validation and the order in which processes adopt it.
//
// Acceptance is a function of the content alone, so that all processes accept
// and reject the same documents whatever they saw before.
package config

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// MaxDocumentBytes is the largest value that the configuration service holds.
const MaxDocumentBytes = 1 << 20

// Document is one generation of the published configuration.
type Document struct {
	Generation     fleet.Generation `json:"generation"`
	Profiles       []Profile        `json:"profiles"`
	Services       []Service        `json:"services"`
	FailureDomains []FailureDomain  `json:"failure_domains"`
	Customers      []Customer       `json:"customers"`
}

// Profile says how a model version and its weights reach a fleet.
type Profile struct {
	Name    fleet.ProfileName `json:"name"`
	Model   string            `json:"model"`
	Version fleet.Version     `json:"version"`
	Weights Weights           `json:"weights"`
	// Retired profiles keep their name and serve no requests.
	Retired bool `json:"retired,omitempty"`
}

// Weights names the content of a weight tree and where it is published.
type Weights struct {
	// Root is the digest of the manifest.
	Root fleet.Digest `json:"root"`
	// Store and Origin are base URLs; Store is asked first.
	Store  string `json:"store,omitempty"`
	Origin string `json:"origin"`
	// Region is where store and origin are.
	Region fleet.Region `json:"region"`
	// Bytes is the size of the weights, for estimates only; 0 if not published.
	Bytes int64 `json:"bytes,omitempty"`
}

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a set of upstreams that do the same work.
type Service struct {
	Name fleet.Service `json:"name"`
	Kind ServiceKind   `json:"kind"`
	// Profile is the profile that a model service serves.
	Profile fleet.ProfileName `json:"profile,omitempty"`
	// PathPrefix routes requests to a plain service.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Once lists the calls that may not be repeated.
	Once []Call `json:"once,omitempty"`
	// ChecksFence says that the engines refuse orders with an old number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// LoadsAlongside says that an engine can hold two versions during a switch.
	LoadsAlongside bool   `json:"loads_alongside,omitempty"`
	Limits         Limits `json:"limits"`
	Owners         Owners `json:"owners,omitzero"`
}

// Call names requests of a plain service by method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Limits bound the work in progress at one upstream of a service.
type Limits struct {
	// Cold is the number of requests that an upstream in cold start can bear.
	Cold int `json:"cold"`
	// Warm is the number of requests that a warm upstream can bear.
	Warm int `json:"warm"`
	// RampStep is the number of completions after which the limit doubles.
	RampStep int `json:"ramp_step"`
	// MaxUnavailable is how many upstreams may be switching at a time.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// Owners says which instance decides on a key of requests that may not be repeated.
type Owners struct {
	Epochs []OwnerEpoch `json:"epochs,omitempty"`
	// Until is the publisher's promise: no later generation has an epoch that
	// starts before it and is absent here.
	Until time.Time `json:"until,omitzero"`
}

// OwnerEpoch lists the owners of the keys made from its start to the next epoch's.
type OwnerEpoch struct {
	Start     time.Time          `json:"start"`
	Instances []fleet.InstanceID `json:"instances"`
}

// DomainState says whether a failure domain takes new work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is a failure domain and what operators decided on it.
type FailureDomain struct {
	Name   fleet.FailureDomain `json:"name"`
	Region fleet.Region        `json:"region"`
	State  DomainState         `json:"state"`
}

// Customer is a sender of requests.
type Customer struct {
	Name fleet.Customer `json:"name"`
	// KeySHA256 is the SHA-256 of the customer's bearer key in hexadecimal.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the customer's share under pressure; 1 if absent.
	Weight int `json:"weight,omitempty"`
	// Priority orders requests of the same customer; 0 is the normal one.
	Priority int `json:"priority,omitempty"`
}
