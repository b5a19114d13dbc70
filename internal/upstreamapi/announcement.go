// Package upstreamapi defines the wire types of the HTTP API between the system
// and its upstreams: model engines and plain services. docs/UPSTREAMS.md
// describes the API for authors of upstreams.
//
// All wire types are in this package, so that support for another engine's
// protocol is one new package beside it.
package upstreamapi

import (
	"slices"
	"time"
)

// Kind is the kind of upstream.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Fencing states whether an upstream rejects an order with a lower fencing
// number than the highest it has received.
type Fencing string

// The values of Fencing. Any other value, and absence, counts as
// FencingIgnored.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Announcement is the registration that an upstream sends to an instance at
// start and then at every renewal interval. Each announcement is complete and
// replaces the previous one.
type Announcement struct {
	// Name is unique among upstreams and is the same after a restart.
	Name string `json:"name"`
	// Incarnation increases with every start of the upstream's process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with every announcement of an incarnation. An
	// announcement that arrives after one with a higher sequence is ignored.
	Sequence uint64 `json:"sequence"`
	// Address is the IP address and port on which the upstream serves requests.
	Address string `json:"address"`
	Kind    Kind   `json:"kind"`
	// SoftwareVersion names the version of the upstream's software. What two
	// versions write does not fit together in one stream.
	SoftwareVersion string `json:"software-version,omitempty"`
	// FailureDomain is one of the declared failure domains.
	FailureDomain string  `json:"failure-domain"`
	Fencing       Fencing `json:"fencing,omitempty"`
	// OrderAuthorization states whether the upstream authenticates the sender
	// of an order. Absence counts as AuthorizationIgnored.
	OrderAuthorization Authorization `json:"order-authorization,omitempty"`
	// Capabilities are the optional parts of the API that the upstream
	// supports.
	Capabilities []Capability `json:"capabilities,omitempty"`
	// Services are the names of the plain services that the upstream provides,
	// if Kind is KindService.
	Services []string `json:"services,omitempty"`
	// Revision increases with every change of an engine's inventory:
	// Accelerators, Resident, Role, HighestFencing or UnderWay. Two reports of
	// one incarnation with the same revision have the same inventory.
	Revision uint64 `json:"revision,omitempty"`
	// Accelerators are the accelerators of an engine.
	Accelerators []Accelerator `json:"accelerators,omitempty"`
	// Resident lists the models that an engine has loaded and can run now.
	Resident []Resident `json:"resident,omitempty"`
	// Role is the part of each request that an engine processes. Empty means
	// all parts.
	Role Role `json:"role,omitempty"`
	// RoleMemoryBytes is the memory that the role occupies on each accelerator,
	// in addition to the resident models.
	RoleMemoryBytes int64 `json:"role-memory-bytes,omitempty"`
	// HighestFencing is the highest fencing number among the orders that the
	// upstream has received, including upstreams that do not check fencing
	// numbers.
	HighestFencing uint64 `json:"highest-fencing,omitempty"`
	// UnderWay lists the orders in progress.
	UnderWay []OrderUnderWay `json:"under-way,omitempty"`
	Load     Load            `json:"load"`
}

// Has reports whether the upstream announced the capability.
func (a Announcement) Has(capability Capability) bool {
	return slices.Contains(a.Capabilities, capability)
}

// Inventory returns the engine's inventory as announced.
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

// Inventory is the state of an engine's accelerators, models and orders at one
// moment. Announcements and order responses carry it. Incarnation, then
// Revision, determine which of two inventories is later.
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

// OrderUnderWay is an order in progress at an upstream.
type OrderUnderWay struct {
	ID string `json:"id"`
	// Accelerators and MemoryBytes are the memory that the order occupies until
	// it ends, in addition to the resident models and the role. MemoryBytes is
	// per accelerator.
	Accelerators []string `json:"accelerators,omitempty"`
	MemoryBytes  int64    `json:"memory-bytes,omitempty"`
}

// Accelerator is one accelerator of an engine.
type Accelerator struct {
	Name string `json:"name"`
	// MemoryBytes is the memory available to models, adapters and KV cache.
	MemoryBytes int64 `json:"memory-bytes"`
	// UsedBytes is the part of MemoryBytes in use now, including by orders in
	// progress. It is nil if the engine does not know.
	UsedBytes *int64 `json:"used-bytes,omitempty"`
}

// Resident is a model loaded in an engine's memory, with its adapters.
type Resident struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// Adapters are the names of the adapters loaded for the model.
	Adapters []string `json:"adapters,omitempty"`
	// Accelerators are the names of the accelerators whose memory the model
	// uses.
	Accelerators []string `json:"accelerators,omitempty"`
	// MemoryBytes is the memory that the model, its adapters and its KV cache
	// occupy on each of Accelerators.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
}

// AnnounceResponse is the response to an Announcement.
type AnnounceResponse struct {
	// RenewEvery is the interval between announcements, in nanoseconds.
	RenewEvery time.Duration `json:"renew-every"`
	// Lease is how long the announcement is valid without a renewal, in
	// nanoseconds. When it expires, the upstream receives no new requests.
	Lease time.Duration `json:"lease"`
	// Instances are the upstream-facing addresses of other instances, to
	// announce to if this one fails.
	Instances []string `json:"instances,omitempty"`
}

// Leave notifies an instance that an upstream is shutting down. The upstream
// receives no new requests from then on and should run until its active
// requests have ended.
type Leave struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}
