// Package config defines the published configuration: its document, its
// validation and the order in which processes adopt documents.
//
// Validation depends only on the content of a document, so all processes accept
// and reject the same documents regardless of what they read before.
package config

import (
	"time"

	"rattanspur.example/lib/fleet"
)

// MaxDocumentBytes is the size limit of a value in the configuration service.
const MaxDocumentBytes = 1 << 20

// Document is one generation of the published configuration.
type Document struct {
	Generation     fleet.Generation `json:"generation"`
	Profiles       []Profile        `json:"profiles"`
	Services       []Service        `json:"services"`
	FailureDomains []FailureDomain  `json:"failure_domains"`
	Customers      []Customer       `json:"customers"`
}

// Profile is a model version and the source of its weights.
type Profile struct {
	Name    fleet.ProfileName `json:"name"`
	Model   string            `json:"model"`
	Version fleet.Version     `json:"version"`
	Weights Weights           `json:"weights"`
	// Retired profiles keep their name and serve no requests.
	Retired bool `json:"retired,omitempty"`
}

// Weights identifies the content of a weight tree and where to fetch it.
type Weights struct {
	// Root is the digest of the manifest.
	Root fleet.Digest `json:"root"`
	// Store and Origin are base URLs; Store is tried first.
	Store  string `json:"store,omitempty"`
	Origin string `json:"origin"`
	// Region is the region of store and origin.
	Region fleet.Region `json:"region"`
	// Bytes is the size of the weights, for estimates only; 0 if not published.
	Bytes int64 `json:"bytes,omitempty"`
}

// ServiceKind distinguishes model services from plain services.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service describes a set of upstreams that do the same work.
type Service struct {
	Name fleet.Service `json:"name"`
	Kind ServiceKind   `json:"kind"`
	// Profile is the profile that a model service serves.
	Profile fleet.ProfileName `json:"profile,omitempty"`
	// PathPrefix is the path prefix of the requests for a plain service.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Once lists the calls that must not be repeated.
	Once []Call `json:"once,omitempty"`
	// ChecksFence is true if the engines reject orders with an outdated fencing
	// token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// LoadsAlongside is true if an engine can hold two versions during a switch.
	LoadsAlongside bool   `json:"loads_alongside,omitempty"`
	Limits         Limits `json:"limits"`
	Owners         Owners `json:"owners,omitzero"`
}

// Call selects requests of a plain service by method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Limits bounds the number of concurrent requests at one upstream of a service.
type Limits struct {
	// Cold is the limit for an upstream during its cold start.
	Cold int `json:"cold"`
	// Warm is the limit for a warm upstream.
	Warm int `json:"warm"`
	// RampStep is the number of completed requests after which the limit doubles.
	RampStep int `json:"ramp_step"`
	// MaxUnavailable is the number of upstreams that may switch versions at the
	// same time.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// Owners assigns the keys of requests that must not be repeated to the instances
// that decide on them.
type Owners struct {
	Epochs []OwnerEpoch `json:"epochs,omitempty"`
	// Until is a guarantee of the publisher: no later generation adds an epoch
	// that starts before this time.
	Until time.Time `json:"until,omitzero"`
}

// OwnerEpoch lists the owners of the keys created from its start until the start
// of the next epoch.
type OwnerEpoch struct {
	Start     time.Time          `json:"start"`
	Instances []fleet.InstanceID `json:"instances"`
}

// DomainState says whether a failure domain accepts new work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is a failure domain with the state that operators set.
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
	// Weight is the customer's relative share under overload; 1 if absent.
	Weight int `json:"weight,omitempty"`
	// Priority orders requests of the same customer; 0 is the default.
	Priority int `json:"priority,omitempty"`
}
