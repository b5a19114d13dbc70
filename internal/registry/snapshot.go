package registry

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/departure"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/parcel"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// The header and the section names of a snapshot.
const (
	snapshotMagic        = "lovagelift-registry"
	snapshotFormat       = 1
	configurationSection = "configuration"
	docketSection        = "docket"
	manifestSection      = "manifest"
	editionSection       = "edition"
	leaseSection         = "leases"
	quarantineSection    = "quarantine"
	departureSection     = "departures"
	versionsSection      = "versions"
)

// section is one named section of a snapshot.
type section struct {
	name string
	data []byte
}

// Snapshot returns the encoded state. Equal states have equal encodings. A
// snapshot is a list of named sections, so that later versions can add sections.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	sections, err := r.sections()
	if err != nil {
		return nil, errors.Wrap(err, "registry: snapshot")
	}
	buffer := parcel.AppendBytes(nil, snapshotMagic)
	buffer = parcel.AppendUint(buffer, snapshotFormat)
	buffer = parcel.AppendUint(buffer, uint64(r.applied))
	buffer = parcel.AppendUint(buffer, uint64(len(sections)))
	for _, s := range sections {
		buffer = parcel.AppendBytes(buffer, s.name)
		buffer = parcel.AppendBytes(buffer, s.data)
	}
	return buffer, nil
}

// sections returns the sections of a snapshot. Sections that were added in later
// versions are omitted while empty, so that older versions can read the snapshot.
func (r *Registry) sections() ([]section, error) {
	configuration, err := json.Marshal(r.configuration.snapshot())
	if err != nil {
		return nil, err
	}
	sections := []section{{configurationSection, configuration}, {docketSection, r.store.Snapshot(nil)}}
	if current := r.edition.Load(); current.Content != nil {
		sections = append(sections, section{editionSection, current.Snapshot()})
	}
	if len(r.leases.Upstreams()) > 0 {
		sections = append(sections, section{leaseSection, r.leases.Snapshot()})
	}
	if crashes := r.crashRecords.Load(); !crashes.Empty() {
		sections = append(sections, section{quarantineSection, crashes.Snapshot()})
	}
	if departures := r.departures.Load(); !departures.Empty() {
		sections = append(sections, section{departureSection, departures.Snapshot()})
	}
	if versions := r.versions.Load(); !versions.Empty() {
		sections = append(sections, section{versionsSection, versions.Snapshot()})
	}
	if r.manifest.Empty() {
		return sections, nil
	}
	manifestData, err := r.manifest.Snapshot()
	return append(sections, section{manifestSection, manifestData}), err
}

// snapshotState is the decoded content of a snapshot.
type snapshotState struct {
	configuration *configuration
	store         *docket.Store
	manifest      *manifest.Manifest
	edition       edition.Edition
	leases        lease.Leases
	crashes       quarantine.Records
	departures    departure.Records
	versions      resumption.Records
}

// decodeSection decodes one section into s.
func (s *snapshotState) decodeSection(name string, data []byte) (err error) {
	switch name {
	case configurationSection:
		var decoded configurationSnapshot
		err = json.Unmarshal(data, &decoded)
		s.configuration = decoded.restore()
	case docketSection:
		s.store, err = docket.Restore(data)
	case manifestSection:
		s.manifest, err = manifest.Restore(data)
	case editionSection:
		s.edition, err = edition.Restore(data)
	case leaseSection:
		s.leases, err = lease.Restore(data)
	case quarantineSection:
		s.crashes, err = quarantine.Restore(data)
	case departureSection:
		s.departures, err = departure.Restore(data)
	case versionsSection:
		s.versions, err = resumption.RestoreRecords(data)
	case "":
		err = parcel.ErrTruncated
	default:
		err = &NewerVersionError{Subject: fmt.Sprintf("snapshot section %q", name)}
	}
	return errors.Wrapf(err, "registry: snapshot section %q", name)
}

// Restore replaces the state by that of a Snapshot. If data is corrupt or was
// written by a newer version, Restore returns an error and leaves the state
// unchanged.
func (r *Registry) Restore(data []byte) error {
	reader := parcel.NewReader(data)
	if magic := reader.String(); magic != snapshotMagic {
		return errors.New("registry: data is not a registry snapshot")
	}
	if format := reader.Uint(); format > snapshotFormat {
		return &NewerVersionError{Subject: fmt.Sprintf("snapshot format %d", format)}
	}
	applied := jury.Index(reader.Uint())
	restored := snapshotState{manifest: manifest.New()}
	for range reader.Count() {
		if err := restored.decodeSection(reader.String(), reader.Bytes()); err != nil {
			return err
		}
	}
	if err := reader.End(); err != nil {
		return errors.Wrap(err, "registry: snapshot")
	}
	if restored.configuration == nil || restored.store == nil {
		return errors.New("registry: snapshot without configuration or docket")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applied = applied
	r.configuration = restored.configuration
	r.store = restored.store
	r.manifest = restored.manifest
	r.edition.Store(&restored.edition)
	if restored.edition.Content != nil {
		r.editionChanges.Add(2)
	}
	r.leases = restored.leases
	r.crashRecords.Store(&restored.crashes)
	r.departures.Store(&restored.departures)
	r.versions.Store(&restored.versions)
	r.view.Store(restored.configuration.view())
	return nil
}
