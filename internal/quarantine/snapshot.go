package quarantine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// Empty reports whether no update has been applied.
func (r Records) Empty() bool {
	return r.revision == 0
}

// Snapshot returns an encoding of the records. Equal records have equal encodings.
func (r Records) Snapshot() []byte {
	buffer := parcel.AppendUint(nil, r.revision)
	buffer = parcel.AppendUint(buffer, uint64(len(r.cases)))
	for _, c := range r.Cases() {
		buffer = append(buffer, c.Digest[:]...)
		buffer = parcel.AppendUint(buffer, uint64(len(c.Crashes)))
		for _, crash := range c.Crashes {
			buffer = appendCrash(buffer, crash)
		}
	}
	return buffer
}

// Flags of a crash in a snapshot.
const (
	flagAnswering = 1 << iota
	// flagPart means that the digest of the whole request follows.
	flagPart
)

func appendCrash(buffer []byte, c Crash) []byte {
	buffer = parcel.AppendBytes(buffer, c.Upstream)
	buffer = parcel.AppendUint(buffer, c.Incarnation)
	buffer = parcel.AppendUint(buffer, uint64(c.At.UnixNano()))
	buffer = parcel.AppendBytes(buffer, c.Request)
	flags := uint64(0)
	if c.Answering {
		flags |= flagAnswering
	}
	if c.Whole == (Digest{}) {
		return parcel.AppendUint(buffer, flags)
	}
	buffer = parcel.AppendUint(buffer, flags|flagPart)
	return append(buffer, c.Whole[:]...)
}

// Restore decodes a snapshot. If data is damaged, Restore returns an error.
func Restore(data []byte) (Records, error) {
	reader := parcel.NewReader(data)
	r := Records{revision: reader.Uint(), cases: map[Digest]Case{}}
	for range reader.Count() {
		var c Case
		copy(c.Digest[:], reader.Take(len(c.Digest)))
		for range reader.Count() {
			c.Crashes = append(c.Crashes, readCrash(reader))
		}
		if len(c.Crashes) == 0 {
			reader.Fail()
		}
		r.cases[c.Digest] = c
	}
	return r, errors.Wrap(reader.End(), "quarantine: restore")
}

func readCrash(reader *parcel.Reader) Crash {
	crash := Crash{
		Lifetime: Lifetime{Upstream: reader.String(), Incarnation: reader.Uint()},
		At:       time.Unix(0, int64(reader.Uint())).UTC(),
		Request:  reader.String(),
	}
	flags := reader.Uint()
	crash.Answering = flags&flagAnswering != 0
	if flags&flagPart != 0 {
		copy(crash.Whole[:], reader.Take(len(crash.Whole)))
	}
	return crash
}
