// Package resumption decides at which upstreams a stream that was broken off may go on.
//
// Upstreams of several software versions may serve a service side by side. What two versions write
// does not fit together, so a stream goes on only at the version that began it. The caller names the
// request that brought the first event, which may have been at another instance.
//
// The package is pure: it takes the present time as an argument and does no I/O.
package resumption

import "github.com/lovagelift/lovagelift/internal/rendezvous"

// StreamID identifies a stream at all instances.
type StreamID uint64

// StreamOf returns the ID of the stream whose first event the given request brought.
func StreamOf(requestID string) StreamID {
	return StreamID(rendezvous.Hash(requestID))
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// SoftwareVersion is empty if the upstream announced none.
	SoftwareVersion string
}

// Constraint limits the upstreams of a request by their software version. The zero value allows all
// upstreams.
type Constraint struct {
	Bound bool
	// Recorded allows only upstreams whose version is recorded. It is used only if Bound is not set.
	Recorded bool
	// SoftwareVersion is used only if Bound is set. It may be empty.
	SoftwareVersion string
}

// ToRecorded returns the Constraint that allows only recorded versions.
func ToRecorded() Constraint {
	return Constraint{Recorded: true}
}

// BoundTo returns the Constraint that allows only a software version.
func BoundTo(version string) Constraint {
	return Constraint{Bound: true, SoftwareVersion: version}
}

// Allows reports whether the request may go to an upstream of a software version.
func (c Constraint) Allows(version string) bool {
	return !c.Bound || c.SoftwareVersion == version
}
