// Package parcel is the serialization of binary records: variable-length integers and
// length-prefixed byte strings. Equal fields are encoded as equal bytes.
package parcel

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// ErrTruncated is returned for a record that ends before its last field or has an invalid field.
var ErrTruncated = errors.New("parcel: the record ends too early")

// AppendUint appends an unsigned integer, which takes 1 to 10 bytes.
func AppendUint(buffer []byte, value uint64) []byte {
	return binary.AppendUvarint(buffer, value)
}

// AppendBytes appends the length of value, then value itself.
func AppendBytes[B ~[]byte | ~string](buffer []byte, value B) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(value)))
	return append(buffer, value...)
}

// Reader decodes the fields of a record in order. After the first missing field, all further fields
// are zero and End returns an error, so that callers check for errors once. Use NewReader.
type Reader struct {
	rest   []byte
	failed bool
}

// NewReader returns a Reader of record. The byte slices that it returns share the memory of record.
func NewReader(record []byte) *Reader {
	return &Reader{rest: record}
}

// Uint returns the next unsigned integer.
func (r *Reader) Uint() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.Fail()
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

// Count returns the next unsigned integer as the number of items that follow. Each item takes at
// least one byte, so Count fails if the number exceeds the remaining bytes. A damaged count
// therefore can't cause a large allocation.
func (r *Reader) Count() int {
	count := r.Uint()
	if count > uint64(len(r.rest)) {
		r.Fail()
		return 0
	}
	return int(count)
}

// Byte returns the next byte.
func (r *Reader) Byte() byte {
	field := r.Take(1)
	if field == nil {
		return 0
	}
	return field[0]
}

// Take returns the next size bytes, or nil if fewer remain.
func (r *Reader) Take(size int) []byte {
	if size > len(r.rest) {
		r.Fail()
		return nil
	}
	field := r.rest[:size:size]
	r.rest = r.rest[size:]
	return field
}

// Bytes returns the next byte string, or nil if it is empty.
func (r *Reader) Bytes() []byte {
	size := r.Count()
	if size == 0 {
		return nil
	}
	return r.Take(size)
}

// String returns the next byte string as a copy.
func (r *Reader) String() string {
	return string(r.Bytes())
}

// Fail makes End return an error. Callers use it for a field with an invalid value.
func (r *Reader) Fail() {
	r.failed = true
	r.rest = nil
}

// End returns an error if a field was missing or invalid, or if bytes remain.
func (r *Reader) End() error {
	if r.failed {
		return ErrTruncated
	}
	if len(r.rest) != 0 {
		return errors.Newf("parcel: %d bytes too many in the record", len(r.rest))
	}
	return nil
}
