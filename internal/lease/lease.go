// Package lease is the lock service for orders to upstreams: it records which
// instance last took the lease of each upstream.
//
// An instance takes the lease through the replicated log before each order. A new
// leader reads from the log which upstreams were ordered recently, and holds back
// orders to these only: holding back all orders stopped every model move for 4 s
// after each loss of a leader.
//
// Leases is replicated and deterministic. Observations holds the times at which one
// replica saw leases being taken, by its own clock.
package lease

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// Take is the command by which an instance takes the leases of upstreams.
type Take struct {
	// Holder is the name of the instance that takes the leases.
	Holder    string   `json:"holder"`
	Upstreams []string `json:"upstreams"`
	// Forget lists upstreams that no longer exist; their leases are deleted.
	Forget []string `json:"forget,omitempty"`
}

// Leases maps each upstream to the instance that last took its lease. It is
// immutable. The zero value holds no leases.
type Leases struct {
	// holders is keyed by the name of the upstream.
	holders map[string]string
}

// With returns the leases after take is applied.
func (l Leases) With(take Take) Leases {
	holders := make(map[string]string, len(l.holders)+len(take.Upstreams))
	maps.Copy(holders, l.holders)
	for _, upstream := range take.Forget {
		delete(holders, upstream)
	}
	for _, upstream := range take.Upstreams {
		holders[upstream] = take.Holder
	}
	return Leases{holders: holders}
}

// Holder returns the instance that last took the lease of upstream, or an empty
// string if none did.
func (l Leases) Holder(upstream string) string {
	return l.holders[upstream]
}

// Upstreams returns the upstreams whose leases were taken, sorted by name.
func (l Leases) Upstreams() []string {
	return slices.Sorted(maps.Keys(l.holders))
}

// Snapshot encodes the leases. Equal leases have equal encodings.
func (l Leases) Snapshot() []byte {
	upstreams := l.Upstreams()
	buffer := parcel.AppendUint(nil, uint64(len(upstreams)))
	for _, upstream := range upstreams {
		buffer = parcel.AppendBytes(buffer, upstream)
		buffer = parcel.AppendBytes(buffer, l.holders[upstream])
	}
	return buffer
}

// Restore decodes the leases from the output of Snapshot. If data is malformed,
// Restore returns an error.
func Restore(data []byte) (Leases, error) {
	reader := parcel.NewReader(data)
	holders := map[string]string{}
	for range reader.Count() {
		upstream := reader.String()
		holders[upstream] = reader.String()
	}
	return Leases{holders: holders}, errors.Wrap(reader.End(), "lease: restore")
}
