package archive

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
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

var errShort = errors.New("payload ends too early")

func (b batch) append(buffer []byte) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(b.hard.Term))
	buffer = appendBytes(buffer, []byte(b.hard.Vote))
	buffer = binary.AppendUvarint(buffer, uint64(b.baseIndex))
	buffer = binary.AppendUvarint(buffer, uint64(b.baseTerm))
	buffer = binary.AppendUvarint(buffer, uint64(b.truncateFrom))
	buffer = binary.AppendUvarint(buffer, uint64(len(b.entries)))
	if len(b.entries) == 0 {
		return buffer
	}
	buffer = binary.AppendUvarint(buffer, uint64(b.entries[0].Index))
	for _, e := range b.entries {
		buffer = binary.AppendUvarint(buffer, uint64(e.Term))
		buffer = append(buffer, byte(e.Kind))
		buffer = appendBytes(buffer, e.Data)
	}
	return buffer
}

func decodeBatch(payload []byte) (batch, error) {
	r := reader{rest: payload}
	var b batch
	b.hard.Term = jury.Term(r.uvarint())
	b.hard.Vote = jury.Identity(r.bytes())
	b.baseIndex = jury.Index(r.uvarint())
	b.baseTerm = jury.Term(r.uvarint())
	b.truncateFrom = jury.Index(r.uvarint())
	count := r.uvarint()
	if count == 0 || count > uint64(len(payload)) {
		return b, r.end(count == 0)
	}
	first := jury.Index(r.uvarint())
	b.entries = make([]jury.Entry, 0, count)
	for i := range count {
		entry := jury.Entry{Index: first + jury.Index(i)}
		entry.Term = jury.Term(r.uvarint())
		entry.Kind = jury.EntryKind(r.byte())
		entry.Data = r.bytes()
		b.entries = append(b.entries, entry)
	}
	return b, r.end(true)
}

func appendBytes(buffer, b []byte) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(b)))
	return append(buffer, b...)
}

// reader takes the fields of a payload one after the other. After the first
// field that isn't there, all further ones are zero and end returns an error.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *reader) byte() byte {
	if len(r.rest) == 0 {
		r.fail()
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

// bytes returns the next byte string, which shares its memory with the payload.
// It returns nil if the string is empty.
func (r *reader) bytes() []byte {
	size := r.uvarint()
	if size > uint64(len(r.rest)) {
		r.fail()
		return nil
	}
	if size == 0 {
		return nil
	}
	b := r.rest[:size:size]
	r.rest = r.rest[size:]
	return b
}

func (r *reader) fail() {
	r.failed = true
	r.rest = nil
}

// end returns an error if a field was missing, sound is false, or bytes are
// left over.
func (r *reader) end(sound bool) error {
	if r.failed || !sound {
		return errShort
	}
	if len(r.rest) != 0 {
		return errors.Newf("%d bytes too many in the payload", len(r.rest))
	}
	return nil
}
