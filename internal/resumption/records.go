package resumption

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// MaxRecords is the largest number of versions that are recorded. Announcements of other writers may name
// any services and versions.
const MaxRecords = 1024

// ServiceVersion is a software version of a service.
type ServiceVersion struct {
	Service string `json:"service"`
	// Version is empty if the upstreams announce none.
	Version string `json:"version"`
}

func (v ServiceVersion) compare(other ServiceVersion) int {
	return cmp.Or(cmp.Compare(v.Service, other.Service), cmp.Compare(v.Version, other.Version))
}

// RecordsUpdate is the command that changes Records.
type RecordsUpdate struct {
	Added []ServiceVersion `json:"added,omitempty"`
	// Retired are versions at which no stream has begun that may still be resumed.
	Retired []ServiceVersion `json:"retired,omitempty"`
	// RoutesMoved is true if the routes lead requests elsewhere than before. SettledRoutes is the digest of
	// routes that have led to the same services for as long as streams may be resumed, and 0 if there are
	// no others.
	RoutesMoved   bool   `json:"routes-moved,omitempty"`
	SettledRoutes uint64 `json:"settled-routes,omitempty"`
}

// Empty reports whether the update changes nothing.
func (u RecordsUpdate) Empty() bool {
	return len(u.Added) == 0 && len(u.Retired) == 0 && !u.RoutesMoved && u.SettledRoutes == 0
}

// Records are the software versions at which streams that may still be resumed can have begun. A version is
// added before the first stream begins at it, so that one that is not there has never been in use, or not
// recently. Records are immutable, and replicas that apply the same updates in the same order are equal. The
// zero value is empty.
type Records struct {
	// revision increases with each update that changes something.
	revision uint64
	versions map[ServiceVersion]struct{}
	// settledRoutes is the digest of the routes under which no stream that may still be resumed can have
	// begun at a service to which its route does not lead, 0 if there are none.
	settledRoutes uint64
}

// With returns the records after an update. Beyond MaxRecords, no version is added.
func (r Records) With(update RecordsUpdate) Records {
	next := Records{revision: r.revision, versions: maps.Clone(r.versions), settledRoutes: r.settledRoutes}
	if update.RoutesMoved {
		next.settledRoutes = 0
	}
	if update.SettledRoutes != 0 {
		next.settledRoutes = update.SettledRoutes
	}
	if next.versions == nil {
		next.versions = map[ServiceVersion]struct{}{}
	}
	for _, version := range update.Retired {
		delete(next.versions, version)
	}
	for _, version := range update.Added {
		if len(next.versions) < MaxRecords {
			next.versions[version] = struct{}{}
		}
	}
	if next.settledRoutes != r.settledRoutes || !maps.Equal(next.versions, r.versions) {
		next.revision++
	}
	return next
}

// Has reports whether a version is recorded.
func (r Records) Has(version ServiceVersion) bool {
	_, recorded := r.versions[version]
	return recorded
}

// Versions returns the recorded versions, sorted.
func (r Records) Versions() []ServiceVersion {
	return slices.SortedFunc(maps.Keys(r.versions), ServiceVersion.compare)
}

// Count returns the number of recorded versions of a service.
func (r Records) Count(service string) int {
	count := 0
	for version := range r.versions {
		if version.Service == service {
			count++
		}
	}
	return count
}

// SettledRoutes returns the digest of the routes under which no stream that may still be resumed can have
// begun at a service to which its route does not lead, 0 if there are none.
func (r Records) SettledRoutes() uint64 {
	return r.settledRoutes
}

// Revision returns the number of updates that changed something.
func (r Records) Revision() uint64 {
	return r.revision
}

// Empty reports whether nothing was ever recorded.
func (r Records) Empty() bool {
	return r.revision == 0
}

// Snapshot encodes the records. Equal records have equal encodings.
func (r Records) Snapshot() []byte {
	buffer := parcel.AppendUint(nil, r.revision)
	buffer = parcel.AppendUint(buffer, r.settledRoutes)
	buffer = parcel.AppendUint(buffer, uint64(len(r.versions)))
	for _, version := range r.Versions() {
		buffer = parcel.AppendBytes(buffer, version.Service)
		buffer = parcel.AppendBytes(buffer, version.Version)
	}
	return buffer
}

// RestoreRecords decodes the records from the output of Snapshot. If data is malformed, it returns an
// error.
func RestoreRecords(data []byte) (Records, error) {
	reader := parcel.NewReader(data)
	restored := Records{revision: reader.Uint(), settledRoutes: reader.Uint(), versions: map[ServiceVersion]struct{}{}}
	for range reader.Count() {
		restored.versions[ServiceVersion{Service: reader.String(), Version: reader.String()}] = struct{}{}
	}
	return restored, errors.Wrap(reader.End(), "resumption: restore")
}
