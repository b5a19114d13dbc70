// Package registry is the replicated state machine: the configuration in force,
// the edition that operators number themselves, the docket of non-idempotent
// requests, the manifest of engines and orders, the leases of upstreams, and the records
// of requests that were at upstreams as those ended.
//
// It is deterministic. Replicas that apply the same commands in the same order
// hold the same state, and their snapshots have equal bytes.
package registry

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/parcel"
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

// The names in a snapshot.
const (
	snapshotName         = "lovagelift-registry"
	snapshotFormat       = 1
	configurationSection = "configuration"
	docketSection        = "docket"
	manifestSection      = "manifest"
	editionSection       = "edition"
	leaseSection         = "leases"
	quarantineSection    = "quarantine"
)

// Snapshot returns the whole state. Equal states give equal bytes. A snapshot is
// a list of named sections, so that later versions add their own.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	configuration, err := json.Marshal(r.configuration.state())
	if err != nil {
		return nil, errors.Wrap(err, "registry: snapshot")
	}
	buffer := parcel.AppendBytes(nil, snapshotName)
	buffer = parcel.AppendUint(buffer, snapshotFormat)
	buffer = parcel.AppendUint(buffer, uint64(r.applied))
	// A program from before there were orders can read a snapshot without any,
	// and likewise one from before there were editions, leases or records of crashes.
	withManifest := !r.manifest.Empty()
	held := r.edition.Load()
	withEdition := held.Content != nil
	withLeases := len(r.leases.Upstreams()) > 0
	crashes := r.crashes.Load()
	sections := uint64(2)
	if !crashes.Empty() {
		sections++
	}
	if withManifest {
		sections++
	}
	if withEdition {
		sections++
	}
	if withLeases {
		sections++
	}
	buffer = parcel.AppendUint(buffer, sections)
	buffer = parcel.AppendBytes(buffer, configurationSection)
	buffer = parcel.AppendBytes(buffer, configuration)
	buffer = parcel.AppendBytes(buffer, docketSection)
	buffer = parcel.AppendBytes(buffer, r.docket.Snapshot(nil))
	if withEdition {
		buffer = parcel.AppendBytes(buffer, editionSection)
		buffer = parcel.AppendBytes(buffer, held.Snapshot())
	}
	if withLeases {
		buffer = parcel.AppendBytes(buffer, leaseSection)
		buffer = parcel.AppendBytes(buffer, r.leases.Snapshot())
	}
	if !crashes.Empty() {
		buffer = parcel.AppendBytes(buffer, quarantineSection)
		buffer = parcel.AppendBytes(buffer, crashes.Snapshot())
	}
	if !withManifest {
		return buffer, nil
	}
	orders, err := r.manifest.Snapshot()
	if err != nil {
		return nil, errors.Wrap(err, "registry: snapshot")
	}
	buffer = parcel.AppendBytes(buffer, manifestSection)
	return parcel.AppendBytes(buffer, orders), nil
}

// Restore takes over the state of a Snapshot. If data is damaged or comes from
// a newer program, Restore returns an error and leaves the state as it is.
func (r *Registry) Restore(data []byte) error {
	reader := parcel.NewReader(data)
	if name := reader.String(); name != snapshotName {
		return errors.New("registry: this is no snapshot of a registry")
	}
	if format := reader.Uint(); format > snapshotFormat {
		return &NewerError{What: fmt.Sprintf("snapshot format %d", format)}
	}
	applied := jury.Index(reader.Uint())
	var configuration *configuration
	var records *docket.Docket
	orders := manifest.New()
	var held edition.Edition
	var leases lease.Leases
	var crashes quarantine.Records
	for range reader.Count() {
		name, section := reader.String(), reader.Bytes()
		var err error
		switch name {
		case configurationSection:
			var state configurationState
			err = json.Unmarshal(section, &state)
			configuration = state.restore()
		case docketSection:
			records, err = docket.Restore(section)
		case manifestSection:
			orders, err = manifest.Restore(section)
		case editionSection:
			held, err = edition.Restore(section)
		case leaseSection:
			leases, err = lease.Restore(section)
		case quarantineSection:
			crashes, err = quarantine.Restore(section)
		case "":
			err = parcel.ErrShort
		default:
			err = &NewerError{What: fmt.Sprintf("snapshot section %q", name)}
		}
		if err != nil {
			return errors.Wrapf(err, "registry: snapshot section %q", name)
		}
	}
	if err := reader.End(); err != nil {
		return errors.Wrap(err, "registry: snapshot")
	}
	if configuration == nil || records == nil {
		return errors.New("registry: snapshot without configuration or docket")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applied = applied
	r.configuration = configuration
	r.docket = records
	r.manifest = orders
	r.edition.Store(&held)
	r.leases = leases
	r.crashes.Store(&crashes)
	r.view.Store(configuration.view())
	return nil
}
