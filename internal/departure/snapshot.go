package departure

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// Snapshot encodes the records. Equal records have equal encodings.
func (r Records) Snapshot() []byte {
	buffer := parcel.AppendUint(nil, r.revision)
	buffer = parcel.AppendUint(buffer, uint64(len(r.byUpstream)))
	for _, name := range r.names() {
		recorded := r.byUpstream[name]
		buffer = parcel.AppendBytes(buffer, name)
		buffer = parcel.AppendUint(buffer, recorded.incarnation)
		buffer = parcel.AppendUint(buffer, uint64(recorded.at.UnixNano()))
		buffer = parcel.AppendUint(buffer, recorded.revision)
	}
	return buffer
}

// Restore decodes the records from the output of Snapshot. If data is malformed, Restore returns an
// error.
func Restore(data []byte) (Records, error) {
	reader := parcel.NewReader(data)
	restored := Records{revision: reader.Uint(), byUpstream: map[string]departure{}}
	for range reader.Count() {
		name := reader.String()
		recorded := departure{incarnation: reader.Uint()}
		recorded.at = time.Unix(0, int64(reader.Uint())).UTC()
		recorded.revision = reader.Uint()
		restored.byUpstream[name] = recorded
	}
	return restored, errors.Wrap(reader.End(), "departure: restore")
}
