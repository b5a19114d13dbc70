package registry

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/parcel"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

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

// section is a named part of a snapshot.
type section struct {
	name string
	data []byte
}

// Snapshot returns the whole state. Equal states give equal bytes. A snapshot is
// a list of named sections, so that later versions add their own.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	sections, err := r.sections()
	if err != nil {
		return nil, errors.Wrap(err, "registry: snapshot")
	}
	buffer := parcel.AppendBytes(nil, snapshotName)
	buffer = parcel.AppendUint(buffer, snapshotFormat)
	buffer = parcel.AppendUint(buffer, uint64(r.applied))
	buffer = parcel.AppendUint(buffer, uint64(len(sections)))
	for _, s := range sections {
		buffer = parcel.AppendBytes(buffer, s.name)
		buffer = parcel.AppendBytes(buffer, s.data)
	}
	return buffer, nil
}

// sections returns the parts of a snapshot. Those that not every program knows are left
// out while they are empty, so that one from before them can read it.
func (r *Registry) sections() ([]section, error) {
	configuration, err := json.Marshal(r.configuration.state())
	if err != nil {
		return nil, err
	}
	sections := []section{{configurationSection, configuration}, {docketSection, r.docket.Snapshot(nil)}}
	if held := r.edition.Load(); held.Content != nil {
		sections = append(sections, section{editionSection, held.Snapshot()})
	}
	if len(r.leases.Upstreams()) > 0 {
		sections = append(sections, section{leaseSection, r.leases.Snapshot()})
	}
	if crashes := r.crashes.Load(); !crashes.Empty() {
		sections = append(sections, section{quarantineSection, crashes.Snapshot()})
	}
	if r.manifest.Empty() {
		return sections, nil
	}
	orders, err := r.manifest.Snapshot()
	return append(sections, section{manifestSection, orders}), err
}

// state is what the sections of a snapshot hold.
type state struct {
	configuration *configuration
	docket        *docket.Docket
	manifest      *manifest.Manifest
	edition       edition.Edition
	leases        lease.Leases
	crashes       quarantine.Records
}

// read takes over what a section holds.
func (s *state) read(name string, data []byte) (err error) {
	switch name {
	case configurationSection:
		var held configurationState
		err = json.Unmarshal(data, &held)
		s.configuration = held.restore()
	case docketSection:
		s.docket, err = docket.Restore(data)
	case manifestSection:
		s.manifest, err = manifest.Restore(data)
	case editionSection:
		s.edition, err = edition.Restore(data)
	case leaseSection:
		s.leases, err = lease.Restore(data)
	case quarantineSection:
		s.crashes, err = quarantine.Restore(data)
	case "":
		err = parcel.ErrShort
	default:
		err = &NewerError{What: fmt.Sprintf("snapshot section %q", name)}
	}
	return errors.Wrapf(err, "registry: snapshot section %q", name)
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
	held := state{manifest: manifest.New()}
	for range reader.Count() {
		if err := held.read(reader.String(), reader.Bytes()); err != nil {
			return err
		}
	}
	if err := reader.End(); err != nil {
		return errors.Wrap(err, "registry: snapshot")
	}
	if held.configuration == nil || held.docket == nil {
		return errors.New("registry: snapshot without configuration or docket")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applied = applied
	r.configuration = held.configuration
	r.docket = held.docket
	r.manifest = held.manifest
	r.edition.Store(&held.edition)
	r.leases = held.leases
	r.crashes.Store(&held.crashes)
	r.view.Store(held.configuration.view())
	return nil
}
