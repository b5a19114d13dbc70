// Package parcel encodes and decodes fields of binary records: variable-length
// integers and length-prefixed byte strings (serialization). Equal fields give
// equal bytes.
package parcel

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// ErrShort says that a record ended before its last field.
var ErrShort = errors.New("parcel: the record ends too early")

// AppendUint appends an unsigned integer, which takes 1 to 10 bytes.
func AppendUint(buffer []byte, value uint64) []byte {
	return binary.AppendUvarint(buffer, value)
}

// AppendBytes appends the length of value and value.
func AppendBytes[B ~[]byte | ~string](buffer []byte, value B) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(value)))
	return append(buffer, value...)
}

// Reader takes the fields of a record one after the other. After the first
// field that isn't there, all further ones are zero and End returns an error,
// so that callers check once. Use NewReader.
type Reader struct {
	rest   []byte
	failed bool
}

// NewReader returns a Reader of record, whose byte strings share its memory.
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

// Count returns the next unsigned integer as a number of things that follow.
// As each takes a byte at least, Count fails if it is more than the bytes left,
// so that a damaged count never asks for memory.
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
	b := r.Fixed(1)
	if b == nil {
		return 0
	}
	return b[0]
}

// Fixed returns the next size bytes, or nil if fewer are left.
func (r *Reader) Fixed(size int) []byte {
	if size > len(r.rest) {
		r.Fail()
		return nil
	}
	b := r.rest[:size:size]
	r.rest = r.rest[size:]
	return b
}

// Bytes returns the next byte string, or nil if it is empty.
func (r *Reader) Bytes() []byte {
	size := r.Count()
	if size == 0 {
		return nil
	}
	return r.Fixed(size)
}

// String returns the next byte string as a copy.
func (r *Reader) String() string {
	return string(r.Bytes())
}

// Fail makes End return an error. Callers use it for a field that makes no
// sense.
func (r *Reader) Fail() {
	r.failed = true
	r.rest = nil
}

// End returns an error if a field was missing or bytes are left over.
func (r *Reader) End() error {
	if r.failed {
		return ErrShort
	}
	if len(r.rest) != 0 {
		return errors.Newf("parcel: %d bytes too many in the record", len(r.rest))
	}
	return nil
}
