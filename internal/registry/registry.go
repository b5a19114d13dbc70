// Package registry is the replicated state machine: the configuration in force,
// the edition that operators number themselves, the docket of non-idempotent
// requests, the manifest of engines and orders, the leases of upstreams, and the records
// of requests that were at upstreams as those ended.
//
// It is deterministic. Replicas that apply the same commands in the same order
// hold the same state, and their snapshots have equal bytes.
package registry

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Registry is one replica of the state. Its methods are safe for concurrent
// use; Apply, Snapshot and Restore are called by one goroutine, in the order of
// the log.
type Registry struct {
	mutex sync.RWMutex
	// applied is the index of the last command.
	applied       jury.Index
	configuration *configuration
	docket        *docket.Docket
	manifest      *manifest.Manifest
	// view is the one of configuration, for readers that take no lock.
	view atomic.Pointer[View]
	// edition is the document that operators number, for readers that take no
	// lock.
	edition atomic.Pointer[edition.Edition]
	leases  lease.Leases
	// crashes are for readers that take no lock.
	crashes atomic.Pointer[quarantine.Records]
}

// New returns the empty state.
func New() *Registry {
	r := &Registry{configuration: newConfiguration(), docket: docket.New(), manifest: manifest.New()}
	r.view.Store(r.configuration.view())
	r.edition.Store(&edition.Edition{})
	r.crashes.Store(&quarantine.Records{})
	return r
}

// Edition returns the document that operators number. It takes no lock.
func (r *Registry) Edition() edition.Edition {
	return *r.edition.Load()
}

// View returns the configuration in force. It takes no lock and makes no copy.
func (r *Registry) View() *View {
	return r.view.Load()
}

// Lookup returns what is recorded of a non-idempotent request.
func (r *Registry) Lookup(key docket.Key) docket.Answer {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.docket.Lookup(key)
}

// Docket returns the docket's counters, its number of records and the bytes
// that its responses take.
func (r *Registry) Docket() (counters docket.Counters, records int, responseBytes int64) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.docket.Counters(), r.docket.Len(), r.docket.ResponseBytes()
}

// Crashes returns the records of requests that were at upstreams as those ended. It takes
// no lock.
func (r *Registry) Crashes() quarantine.Records {
	return *r.crashes.Load()
}

// Leases returns who took the lease of each upstream last.
func (r *Registry) Leases() lease.Leases {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.leases
}

// Manifest returns what is recorded of engines and orders.
func (r *Registry) Manifest() manifest.View {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.manifest.View()
}

// Applied returns the index of the last command that was applied.
func (r *Registry) Applied() jury.Index {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.applied
}

// Apply carries out the committed command at index. After an error the replica
// must stop: to skip a command that others carry out would fork the state. A
// *NewerError says that it must be upgraded first.
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
		answer := r.docket.Apply(c)
		return Result{Docket: &answer}, nil
	case manifest.Command:
		result := r.manifest.Apply(c)
		return Result{Manifest: &result}, nil
	case edition.Put:
		next, result := r.edition.Load().With(c)
		r.edition.Store(&next)
		return Result{Edition: &result}, nil
	case lease.Take:
		r.leases = r.leases.With(c)
		return Result{Lease: &c}, nil
	case quarantine.Update:
		next := r.crashes.Load().With(c)
		r.crashes.Store(&next)
		return Result{Quarantine: next.Revision()}, nil
	default:
		return Result{}, errors.AssertionFailedf("registry: command %T", decoded)
	}
}
