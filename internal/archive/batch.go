package archive

import (
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/parcel"
)

// batch is the payload of one log record: the changes of one Append. Because a
// batch is one record, it is either complete or absent after a crash.
type batch struct {
	hardState jury.HardState
	// baseIndex and baseTerm are the index and term of a snapshot whose last
	// entry the log didn't contain. They replace all entries of earlier batches.
	// Both are 0 in other batches.
	baseIndex jury.Index
	baseTerm  jury.Term
	// truncateFrom is the lowest index that is removed from the log before
	// entries are appended. It is 0 if nothing is removed.
	truncateFrom jury.Index
	entries      []jury.Entry
}

// encode appends the encoded batch to buffer.
func (b batch) encode(buffer []byte) []byte {
	buffer = parcel.AppendUint(buffer, uint64(b.hardState.Term))
	buffer = parcel.AppendBytes(buffer, b.hardState.Vote)
	buffer = parcel.AppendUint(buffer, uint64(b.baseIndex))
	buffer = parcel.AppendUint(buffer, uint64(b.baseTerm))
	buffer = parcel.AppendUint(buffer, uint64(b.truncateFrom))
	buffer = parcel.AppendUint(buffer, uint64(len(b.entries)))
	if len(b.entries) == 0 {
		return buffer
	}
	buffer = parcel.AppendUint(buffer, uint64(b.entries[0].Index))
	for _, entry := range b.entries {
		buffer = parcel.AppendUint(buffer, uint64(entry.Term))
		buffer = append(buffer, byte(entry.Kind))
		buffer = parcel.AppendBytes(buffer, entry.Data)
	}
	return buffer
}

func decodeBatch(payload []byte) (batch, error) {
	r := parcel.NewReader(payload)
	var b batch
	b.hardState.Term = jury.Term(r.Uint())
	b.hardState.Vote = jury.Identity(r.String())
	b.baseIndex = jury.Index(r.Uint())
	b.baseTerm = jury.Term(r.Uint())
	b.truncateFrom = jury.Index(r.Uint())
	count := r.Count()
	if count == 0 {
		return b, r.End()
	}
	first := jury.Index(r.Uint())
	b.entries = make([]jury.Entry, 0, count)
	for i := range count {
		entry := jury.Entry{Index: first + jury.Index(i)}
		entry.Term = jury.Term(r.Uint())
		entry.Kind = jury.EntryKind(r.Byte())
		entry.Data = r.Bytes()
		b.entries = append(b.entries, entry)
	}
	return b, r.End()
}
