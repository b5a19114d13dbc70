package docket

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

const snapshotFormatVersion = 1

// Snapshot appends the encoded state of the store to buffer. Equal stores have
// equal encodings.
func (s *Store) Snapshot(buffer []byte) []byte {
	buffer = parcel.AppendUint(buffer, snapshotFormatVersion)
	buffer = appendLimits(buffer, s.limits)
	buffer = parcel.AppendUint(buffer, uint64(s.clock))
	buffer = parcel.AppendUint(buffer, unixNanoseconds(s.leaderTime))
	for _, counter := range s.counters.inSnapshotOrder() {
		buffer = parcel.AppendUint(buffer, *counter)
	}
	buffer = parcel.AppendUint(buffer, uint64(len(s.records)))
	for r := s.byLastChange.first; r != nil; r = r.next {
		buffer = appendRecord(buffer, r)
	}
	return buffer
}

// Restore returns the store that Snapshot encoded as data. It returns an error if
// data has another format version or is damaged.
func Restore(data []byte) (*Store, error) {
	reader := parcel.NewReader(data)
	if format := reader.Uint(); format != snapshotFormatVersion {
		return nil, errors.Newf("docket: snapshot format %d, of which this program knows %d", format, snapshotFormatVersion)
	}
	s := &Store{limits: readLimits(reader)}
	s.clock = time.Duration(reader.Uint())
	s.leaderTime = unixTime(reader.Uint())
	for _, counter := range s.counters.inSnapshotOrder() {
		*counter = reader.Uint()
	}
	count := reader.Count()
	s.records = make(map[Key]*storedRecord, count)
	for range count {
		r := readRecord(reader)
		if !s.isValidNext(r) {
			reader.Fail()
			break
		}
		s.records[r.key] = r
		s.byLastChange.pushBack(r)
		if r.response != nil {
			s.withResponse = append(s.withResponse, r)
			s.responseBytes += r.response.size()
		}
	}
	if err := reader.End(); err != nil {
		return nil, errors.Wrap(err, "docket: snapshot")
	}
	if !s.limits.Valid() || s.clock < 0 || s.clock > maxDuration*4 {
		return nil, errors.New("docket: snapshot with impossible times")
	}
	return s, nil
}

// isValidNext reports whether r is a valid next record of the snapshot that is
// being restored.
func (s *Store) isValidNext(r *storedRecord) bool {
	if _, duplicate := s.records[r.key]; duplicate || r.state < StateInFlight || r.state > StateUnknown {
		return false
	}
	minChangedAt := time.Duration(0)
	if s.byLastChange.last != nil {
		minChangedAt = s.byLastChange.last.changedAt
	}
	return r.changedAt >= minChangedAt && r.changedAt <= s.clock && r.unknownAfter >= 0 && r.unknownAfter <= s.clock+2*maxDuration
}

// inSnapshotOrder returns pointers to the counters in the order in which the
// snapshot encodes them.
func (c *Counters) inSnapshotOrder() []*uint64 {
	return []*uint64{&c.Granted, &c.RefusedFull, &c.Expired, &c.Overdue, &c.ResponsesDropped}
}

func appendLimits(buffer []byte, l Limits) []byte {
	buffer = parcel.AppendUint(buffer, uint64(l.Retention))
	buffer = parcel.AppendUint(buffer, uint64(l.TimeoutGrace))
	buffer = parcel.AppendUint(buffer, uint64(l.MaxTimeout))
	buffer = parcel.AppendUint(buffer, uint64(l.MaxStep))
	buffer = parcel.AppendUint(buffer, uint64(l.MaxRecords))
	buffer = parcel.AppendUint(buffer, uint64(l.MaxResponseBytes))
	return parcel.AppendUint(buffer, uint64(l.MaxBodyBytes))
}

func readLimits(reader *parcel.Reader) Limits {
	return Limits{
		Retention:        time.Duration(reader.Uint()),
		TimeoutGrace:     time.Duration(reader.Uint()),
		MaxTimeout:       time.Duration(reader.Uint()),
		MaxStep:          time.Duration(reader.Uint()),
		MaxRecords:       int(reader.Uint()),
		MaxResponseBytes: int64(reader.Uint()),
		MaxBodyBytes:     int(reader.Uint()),
	}
}

func appendRecord(buffer []byte, r *storedRecord) []byte {
	buffer = append(buffer, r.key[:]...)
	buffer = append(buffer, r.fingerprint[:]...)
	buffer = parcel.AppendBytes(buffer, r.claimant.Instance)
	buffer = parcel.AppendUint(buffer, r.claimant.Incarnation)
	buffer = parcel.AppendUint(buffer, r.claimant.Request)
	buffer = parcel.AppendUint(buffer, uint64(r.attempt))
	buffer = append(buffer, byte(r.state))
	buffer = parcel.AppendUint(buffer, uint64(r.unknownAfter))
	buffer = parcel.AppendUint(buffer, uint64(r.changedAt))
	if r.response == nil {
		return append(buffer, 0)
	}
	buffer = append(buffer, 1)
	buffer = parcel.AppendUint(buffer, uint64(r.response.Status))
	buffer = parcel.AppendUint(buffer, uint64(len(r.response.Headers)))
	for _, h := range r.response.Headers {
		buffer = parcel.AppendBytes(buffer, h.Name)
		buffer = parcel.AppendBytes(buffer, h.Value)
	}
	return parcel.AppendBytes(buffer, r.response.Body)
}

func readRecord(reader *parcel.Reader) *storedRecord {
	r := &storedRecord{}
	copy(r.key[:], reader.Take(len(r.key)))
	copy(r.fingerprint[:], reader.Take(len(r.fingerprint)))
	r.claimant = internInstance(Claimant{Instance: reader.String(), Incarnation: reader.Uint(), Request: reader.Uint()})
	r.attempt = uint32(reader.Uint())
	r.state = State(reader.Byte())
	r.unknownAfter = time.Duration(reader.Uint())
	r.changedAt = time.Duration(reader.Uint())
	if reader.Byte() == 0 {
		return r
	}
	r.response = &Response{Status: int(reader.Uint())}
	for range reader.Count() {
		r.response.Headers = append(r.response.Headers, Header{Name: reader.String(), Value: reader.String()})
	}
	// Copy the body, because a slice of the snapshot would keep all of it in
	// memory.
	r.response.Body = append([]byte(nil), reader.Bytes()...)
	return r
}

// unixNanoseconds returns t as Unix time in nanoseconds, or 0 for the zero time.
func unixNanoseconds(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(t.UnixNano())
}

// unixTime is the inverse of unixNanoseconds.
func unixTime(nanoseconds uint64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, int64(nanoseconds)).UTC()
}
