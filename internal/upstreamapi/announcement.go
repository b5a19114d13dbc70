// Package upstreamapi holds the wire types of the HTTP interface that model
// engines and plain services speak with the system. docs/UPSTREAMS.md describes
// it for those who write an upstream.
//
// All of it stands in this one package, so that the dialect of another engine
// is one new package beside it.
package upstreamapi

import (
	"slices"
	"time"
)

// Kind says what an upstream is.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Fencing says whether an upstream refuses an order that carries an older
// fencing number than one it has seen.
type Fencing string

// The kinds of fencing. Anything else, absence included, counts as
// FencingIgnored.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Announcement is what an upstream tells an instance when it starts and then
// once every renewal interval. Each announcement is complete: it replaces the
// one before.
type Announcement struct {
	// Name is unique among upstreams and stays the same over restarts.
	Name string `json:"name"`
	// Incarnation grows with every start of the upstream's process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with every announcement of an incarnation. An announcement
	// that arrives after one with a higher sequence is ignored.
	Sequence uint64 `json:"sequence"`
	// Address is the IP number and port at which the upstream is called.
	Address string `json:"address"`
	Kind    Kind   `json:"kind"`
	// FailureDomain is one of the declared failure domains.
	FailureDomain string  `json:"failure-domain"`
	Fencing       Fencing `json:"fencing,omitempty"`
	// OrderAuthorization says whether the upstream checks the token of those who
	// order. Absence counts as AuthorizationIgnored.
	OrderAuthorization Authorization `json:"order-authorization,omitempty"`
	// Capabilities are the optional parts of the interface that the upstream
	// speaks.
	Capabilities []Capability `json:"capabilities,omitempty"`
	// Services are the names of the plain services it answers for, if Kind is
	// KindService.
	Services []string `json:"services,omitempty"`
	// Revision grows with every change of what an engine holds: of Accelerators,
	// Resident, Role, HighestFencing or UnderWay. Two reports of one incarnation
	// with the same revision say the same of these.
	Revision uint64 `json:"revision,omitempty"`
	// Accelerators are the accelerators of an engine.
	Accelerators []Accelerator `json:"accelerators,omitempty"`
	// Resident is what an engine holds in memory and can run now.
	Resident []Resident `json:"resident,omitempty"`
	// Role is what an engine does of a request, empty if it does all of it.
	Role Role `json:"role,omitempty"`
	// RoleMemoryBytes is what the role takes of each accelerator beside the
	// residents.
	RoleMemoryBytes int64 `json:"role-memory-bytes,omitempty"`
	// HighestFencing is the highest fencing number of an order that reached the
	// upstream, whether it checks them or not.
	HighestFencing uint64 `json:"highest-fencing,omitempty"`
	// UnderWay are the orders that are being carried out.
	UnderWay []OrderUnderWay `json:"under-way,omitempty"`
	Load     Load            `json:"load"`
}

// Has tells whether the upstream announced the capability.
func (a Announcement) Has(capability Capability) bool {
	return slices.Contains(a.Capabilities, capability)
}

// Inventory returns what the engine holds by the announcement.
func (a Announcement) Inventory() Inventory {
	return Inventory{
		Incarnation:     a.Incarnation,
		Revision:        a.Revision,
		Clock:           a.Load.Clock,
		Accelerators:    a.Accelerators,
		Resident:        a.Resident,
		Role:            a.Role,
		RoleMemoryBytes: a.RoleMemoryBytes,
		HighestFencing:  a.HighestFencing,
		UnderWay:        a.UnderWay,
	}
}

// Inventory is what an engine says that it holds at one moment. It comes with
// announcements and with answers to orders; Incarnation and then Revision tell
// which of two is later.
type Inventory struct {
	Incarnation     uint64
	Revision        uint64
	Clock           time.Time
	Accelerators    []Accelerator
	Resident        []Resident
	Role            Role
	RoleMemoryBytes int64
	HighestFencing  uint64
	UnderWay        []OrderUnderWay
}

// OrderUnderWay is an order that an upstream is carrying out.
type OrderUnderWay struct {
	ID string `json:"id"`
	// Accelerators and MemoryBytes are what the order holds of the memory until
	// it ends, beyond what the residents and the role hold.
	Accelerators []string `json:"accelerators,omitempty"`
	MemoryBytes  int64    `json:"memory-bytes,omitempty"`
}

// Accelerator is one accelerator of an engine.
type Accelerator struct {
	Name string `json:"name"`
	// MemoryBytes is the memory that models, adapters and KV cache may take.
	MemoryBytes int64 `json:"memory-bytes"`
	// UsedBytes is what is taken of MemoryBytes now, orders under way included.
	// An engine that does not know leaves it out.
	UsedBytes *int64 `json:"used-bytes,omitempty"`
}

// Resident is a model that an engine holds in memory, with its adapters.
type Resident struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// Adapters are the names of the adapters loaded beside the model.
	Adapters []string `json:"adapters,omitempty"`
	// Accelerators are the names of those the model takes memory of.
	Accelerators []string `json:"accelerators,omitempty"`
	// MemoryBytes is what the model, its adapters and its KV space take of each
	// of Accelerators.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
}

// Welcome answers an Announcement.
type Welcome struct {
	// RenewEvery is how often to announce again, in nanoseconds.
	RenewEvery time.Duration `json:"renew-every"`
	// Lease is how long the announcement stands without another, in
	// nanoseconds. After it, the upstream receives no new work.
	Lease time.Duration `json:"lease"`
	// Instances are upstream addresses of other instances, to announce to when
	// this one is lost.
	Instances []string `json:"instances,omitempty"`
}

// Leave tells an instance that an upstream will stop. It receives no new work
// from then on, and should go on until its running requests have ended.
type Leave struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}
