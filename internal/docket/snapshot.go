package docket

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

const snapshotFormat = 1

// Snapshot appends the whole docket to buffer. Equal dockets give equal bytes.
func (d *Docket) Snapshot(buffer []byte) []byte {
	buffer = parcel.AppendUint(buffer, snapshotFormat)
	buffer = appendLimits(buffer, d.limits)
	buffer = parcel.AppendUint(buffer, uint64(d.clock))
	buffer = parcel.AppendUint(buffer, nanoseconds(d.reported))
	for _, counter := range d.counters.all() {
		buffer = parcel.AppendUint(buffer, *counter)
	}
	buffer = parcel.AppendUint(buffer, uint64(len(d.records)))
	for r := d.order.first; r != nil; r = r.next {
		buffer = appendEntry(buffer, r)
	}
	return buffer
}

// Restore returns the docket whose Snapshot is data. If data is of a newer
// format or damaged, Restore returns an error.
func Restore(data []byte) (*Docket, error) {
	r := parcel.NewReader(data)
	if format := r.Uint(); format != snapshotFormat {
		return nil, errors.Newf("docket: snapshot format %d, of which this program knows %d", format, snapshotFormat)
	}
	d := &Docket{limits: readLimits(r)}
	d.clock = time.Duration(r.Uint())
	d.reported = moment(r.Uint())
	for _, counter := range d.counters.all() {
		*counter = r.Uint()
	}
	count := r.Count()
	d.records = make(map[Key]*entry, count)
	for range count {
		e := readEntry(r)
		if !d.follows(e) {
			r.Fail()
			break
		}
		d.records[e.key] = e
		d.order.push(e)
		if e.response != nil {
			d.responses = append(d.responses, e)
			d.responseBytes += e.response.size()
		}
	}
	if err := r.End(); err != nil {
		return nil, errors.Wrap(err, "docket: snapshot")
	}
	if !d.limits.Valid() || d.clock < 0 || d.clock > maxTime*4 {
		return nil, errors.New("docket: snapshot with impossible times")
	}
	return d, nil
}

// follows tells whether e can stand in a snapshot behind the entries so far.
func (d *Docket) follows(e *entry) bool {
	if _, twice := d.records[e.key]; twice || e.state < StateInFlight || e.state > StateUnknown {
		return false
	}
	earliest := time.Duration(0)
	if d.order.last != nil {
		earliest = d.order.last.touched
	}
	return e.touched >= earliest && e.touched <= d.clock && e.until >= 0 && e.until <= d.clock+2*maxTime
}

// all returns the counters in the order of the snapshot.
func (c *Counters) all() []*uint64 {
	return []*uint64{&c.Granted, &c.Refused, &c.Expired, &c.Overdue, &c.ResponsesDropped}
}

func appendLimits(buffer []byte, l Limits) []byte {
	buffer = parcel.AppendUint(buffer, uint64(l.Retention))
	buffer = parcel.AppendUint(buffer, uint64(l.Grace))
	buffer = parcel.AppendUint(buffer, uint64(l.MaxTimeout))
	buffer = parcel.AppendUint(buffer, uint64(l.MaxStep))
	buffer = parcel.AppendUint(buffer, uint64(l.MaxRecords))
	buffer = parcel.AppendUint(buffer, uint64(l.MaxResponseBytes))
	return parcel.AppendUint(buffer, uint64(l.MaxBodyBytes))
}

func readLimits(r *parcel.Reader) Limits {
	return Limits{
		Retention:        time.Duration(r.Uint()),
		Grace:            time.Duration(r.Uint()),
		MaxTimeout:       time.Duration(r.Uint()),
		MaxStep:          time.Duration(r.Uint()),
		MaxRecords:       int(r.Uint()),
		MaxResponseBytes: int64(r.Uint()),
		MaxBodyBytes:     int(r.Uint()),
	}
}

func appendEntry(buffer []byte, e *entry) []byte {
	buffer = append(buffer, e.key[:]...)
	buffer = append(buffer, e.fingerprint[:]...)
	buffer = parcel.AppendBytes(buffer, e.owner.Instance)
	buffer = parcel.AppendUint(buffer, e.owner.Incarnation)
	buffer = parcel.AppendUint(buffer, e.owner.Request)
	buffer = parcel.AppendUint(buffer, uint64(e.attempt))
	buffer = append(buffer, byte(e.state))
	buffer = parcel.AppendUint(buffer, uint64(e.until))
	buffer = parcel.AppendUint(buffer, uint64(e.touched))
	if e.response == nil {
		return append(buffer, 0)
	}
	buffer = append(buffer, 1)
	buffer = parcel.AppendUint(buffer, uint64(e.response.Status))
	buffer = parcel.AppendUint(buffer, uint64(len(e.response.Headers)))
	for _, h := range e.response.Headers {
		buffer = parcel.AppendBytes(buffer, h.Name)
		buffer = parcel.AppendBytes(buffer, h.Value)
	}
	return parcel.AppendBytes(buffer, e.response.Body)
}

func readEntry(r *parcel.Reader) *entry {
	e := &entry{}
	copy(e.key[:], r.Fixed(len(e.key)))
	copy(e.fingerprint[:], r.Fixed(len(e.fingerprint)))
	e.owner = intern(Claimant{Instance: r.String(), Incarnation: r.Uint(), Request: r.Uint()})
	e.attempt = uint32(r.Uint())
	e.state = State(r.Byte())
	e.until = time.Duration(r.Uint())
	e.touched = time.Duration(r.Uint())
	if r.Byte() == 0 {
		return e
	}
	e.response = &Response{Status: int(r.Uint())}
	for range r.Count() {
		e.response.Headers = append(e.response.Headers, Header{Name: r.String(), Value: r.String()})
	}
	// A copy, so that one kept body doesn't keep the whole snapshot in memory.
	e.response.Body = append([]byte(nil), r.Bytes()...)
	return e
}

// nanoseconds returns t in Unix nanoseconds, and 0 for the zero time.
func nanoseconds(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(t.UnixNano())
}

func moment(nanoseconds uint64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, int64(nanoseconds)).UTC()
}
