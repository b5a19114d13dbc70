package archive

import (
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/parcel"
)

// batch is the payload of one record of the log: all that one Append made
// durable. As one batch is one record, a crash keeps it whole or not at all.
type batch struct {
	hard jury.HardState
	// baseIndex and baseTerm are those of a snapshot that the log didn't lead
	// up to: all entries before this batch go. Both are 0 otherwise.
	baseIndex jury.Index
	baseTerm  jury.Term
	// truncateFrom is the first index that the batch takes off the log before
	// it adds entries, or 0.
	truncateFrom jury.Index
	entries      []jury.Entry
}

func (b batch) append(buffer []byte) []byte {
	buffer = parcel.AppendUint(buffer, uint64(b.hard.Term))
	buffer = parcel.AppendBytes(buffer, b.hard.Vote)
	buffer = parcel.AppendUint(buffer, uint64(b.baseIndex))
	buffer = parcel.AppendUint(buffer, uint64(b.baseTerm))
	buffer = parcel.AppendUint(buffer, uint64(b.truncateFrom))
	buffer = parcel.AppendUint(buffer, uint64(len(b.entries)))
	if len(b.entries) == 0 {
		return buffer
	}
	buffer = parcel.AppendUint(buffer, uint64(b.entries[0].Index))
	for _, e := range b.entries {
		buffer = parcel.AppendUint(buffer, uint64(e.Term))
		buffer = append(buffer, byte(e.Kind))
		buffer = parcel.AppendBytes(buffer, e.Data)
	}
	return buffer
}

func decodeBatch(payload []byte) (batch, error) {
	r := parcel.NewReader(payload)
	var b batch
	b.hard.Term = jury.Term(r.Uint())
	b.hard.Vote = jury.Identity(r.String())
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
