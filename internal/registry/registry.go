// Package registry is the replicated state machine. Its state consists of
//   - the current configuration,
//   - the edition, a version of the routes whose number operators assign,
//   - the idempotency records of non-idempotent requests,
//   - the manifest, the contents of the engines and the orders to them,
//   - the leases of upstreams,
//   - the crash records of requests that were in flight at upstreams that crashed,
//   - the departures of upstreams that announced their leave, and
//   - the software versions at which streams that may still be resumed can have begun.
//
// The state machine is deterministic. Replicas that apply the same commands in
// the same order have equal states, and their snapshots are equal byte for byte.
package registry

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/departure"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// Registry is one replica of the state machine. Its methods are safe for
// concurrent use, except that Apply, Snapshot and Restore must be called by a
// single goroutine in log order.
type Registry struct {
	mutex sync.RWMutex
	// applied is the log index of the last applied command.
	applied       jury.Index
	configuration *configuration
	store         *docket.Store
	manifest      *manifest.Manifest
	// view is the view of configuration for lock-free readers.
	view atomic.Pointer[View]
	// edition is replaced as a whole, for lock-free readers. editionChanges counts its changes since the
	// start of this replica; a snapshot with an edition counts as several.
	edition        atomic.Pointer[edition.Edition]
	editionChanges atomic.Uint64
	leases         lease.Leases
	// crashRecords is replaced as a whole, for lock-free readers.
	crashRecords atomic.Pointer[quarantine.Records]
	// departures is replaced as a whole, for lock-free readers.
	departures atomic.Pointer[departure.Records]
	// versions is replaced as a whole, for lock-free readers.
	versions atomic.Pointer[resumption.Records]
}

// New returns a replica with the empty state.
func New() *Registry {
	r := &Registry{configuration: newConfiguration(), store: docket.New(), manifest: manifest.New()}
	r.view.Store(r.configuration.view())
	r.edition.Store(&edition.Edition{})
	r.crashRecords.Store(&quarantine.Records{})
	r.departures.Store(&departure.Records{})
	r.versions.Store(&resumption.Records{})
	return r
}

// Edition returns the current edition without locking.
func (r *Registry) Edition() edition.Edition {
	return *r.edition.Load()
}

// EditionChanges returns a number that increases by 1 with each change of the edition, and by more if some
// changes are not known.
func (r *Registry) EditionChanges() uint64 {
	return r.editionChanges.Load()
}

// View returns the current configuration without locking or copying.
func (r *Registry) View() *View {
	return r.view.Load()
}

// LookupRequest returns the idempotency store's record of a non-idempotent request.
func (r *Registry) LookupRequest(key docket.Key) docket.Answer {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.store.Lookup(key)
}

// DocketStats returns the counters of the idempotency store, its number of
// records and the size of its stored responses in bytes.
func (r *Registry) DocketStats() (counters docket.Counters, records int, responseBytes int64) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.store.Counters(), r.store.Len(), r.store.ResponseBytes()
}

// CrashRecords returns the records of requests that were in flight at upstreams
// that crashed, without locking.
func (r *Registry) CrashRecords() quarantine.Records {
	return *r.crashRecords.Load()
}

// Departures returns the departures of upstreams, without locking.
func (r *Registry) Departures() departure.Records {
	return *r.departures.Load()
}

// Versions returns the recorded software versions, without locking.
func (r *Registry) Versions() resumption.Records {
	return *r.versions.Load()
}

// Leases returns the last recorded holder of each upstream's lease.
func (r *Registry) Leases() lease.Leases {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.leases
}

// Manifest returns the recorded state of engines and of the orders to them.
func (r *Registry) Manifest() manifest.View {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.manifest.View()
}

// AppliedIndex returns the log index of the last applied command.
func (r *Registry) AppliedIndex() jury.Index {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.applied
}

// Apply applies the committed command at index. After an error the replica must
// stop, because skipping a command that other replicas apply would make the
// states diverge. A *NewerVersionError means that the instance must be upgraded
// first.
func (r *Registry) Apply(index jury.Index, command []byte) (Result, error) {
	decoded, err := Decode(command)
	if err != nil {
		return Result{}, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if index <= r.applied {
		return Result{}, errors.AssertionFailedf("registry: index %d applied after index %d", index, r.applied)
	}
	r.applied = index
	switch c := decoded.(type) {
	case Change:
		answer := r.configuration.apply(c)
		if r.view.Load().Revision != r.configuration.revision {
			r.view.Store(r.configuration.view())
		}
		return Result{Change: &answer}, nil
	case docket.Command:
		answer := r.store.Apply(c)
		return Result{Docket: &answer}, nil
	case manifest.Command:
		result := r.manifest.Apply(c)
		return Result{Manifest: &result}, nil
	case edition.Put:
		next, result := r.edition.Load().Apply(c)
		r.edition.Store(&next)
		if result.Verdict == edition.Stored {
			r.editionChanges.Add(1)
		}
		return Result{Edition: &result}, nil
	case lease.Take:
		r.leases = r.leases.With(c)
		return Result{Lease: &c}, nil
	case quarantine.Update:
		next := r.crashRecords.Load().With(c)
		r.crashRecords.Store(&next)
		return Result{Quarantine: next.Revision()}, nil
	case departure.Update:
		next := r.departures.Load().With(c)
		r.departures.Store(&next)
		return Result{Departure: next.Revision()}, nil
	case resumption.RecordsUpdate:
		next := r.versions.Load().With(c)
		r.versions.Store(&next)
		return Result{Versions: next.Revision()}, nil
	default:
		return Result{}, errors.AssertionFailedf("registry: command %T", decoded)
	}
}
