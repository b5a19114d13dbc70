// Package lease keeps which instance may give orders to which upstream, one lease
// for each upstream.
//
// An instance takes the lease in the replicated log before each order. Whoever
// leads next finds there which upstreams were ordered of late, and waits with
// these alone: a wait of a new leader with all of them left every model where it
// was for 4 s after each loss of a leader.
//
// Leases is replicated and deterministic. Sightings is what one replica has seen
// of them, by its own clock.
package lease

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// Take is the command by which an instance takes the leases of upstreams.
type Take struct {
	// Holder is the name of the instance.
	Holder    string   `json:"holder"`
	Upstreams []string `json:"upstreams"`
	// Forget are upstreams that are gone. Nobody gives them orders any more.
	Forget []string `json:"forget,omitempty"`
}

// Leases is the instance that took the lease of each upstream last. It is
// immutable. The zero value is none.
type Leases struct {
	holders map[string]string
}

// With returns the leases after take.
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

// Holder returns the instance that took the lease of upstream last, or nothing.
func (l Leases) Holder(upstream string) string {
	return l.holders[upstream]
}

// Upstreams returns the upstreams whose leases were taken, in order.
func (l Leases) Upstreams() []string {
	return slices.Sorted(maps.Keys(l.holders))
}

// Snapshot returns the encoding of the leases. Equal leases give equal bytes.
func (l Leases) Snapshot() []byte {
	upstreams := l.Upstreams()
	buffer := parcel.AppendUint(nil, uint64(len(upstreams)))
	for _, upstream := range upstreams {
		buffer = parcel.AppendBytes(buffer, upstream)
		buffer = parcel.AppendBytes(buffer, l.holders[upstream])
	}
	return buffer
}

// Restore returns the leases whose Snapshot is data. If data is damaged, Restore
// returns an error.
func Restore(data []byte) (Leases, error) {
	reader := parcel.NewReader(data)
	holders := map[string]string{}
	for range reader.Count() {
		upstream := reader.String()
		holders[upstream] = reader.String()
	}
	return Leases{holders: holders}, errors.Wrap(reader.End(), "lease: restore")
}
