package archive

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record is a header and a payload. The layout of the header is the same in
// every version of the format:
//
//	bytes  0–2   recordMagic
//	byte   3     version of the payload
//	bytes  4–7   length of the payload
//	bytes  8–15  sequence number of the record in this data folder
//	bytes 16–19  checksum of the payload
//	bytes 20–23  checksum of bytes 0–19
//
// Numbers are little-endian. Checksums are CRC-32C over the data folder's own
// number and then the bytes, so that neither a record of another folder nor a
// record quoted inside a payload passes for one of this folder.
const (
	recordMagic   = "\x8aLG"
	recordVersion = 1
	headerBytes   = 24
	// maxPayloadBytes bounds one record: what one Append or SaveSnapshot takes.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one record as it was read.
type record struct {
	sequence uint64
	payload  []byte
}

// seal frames payloads for one data folder.
type seal struct {
	// seed is the checksum of the folder's number.
	seed uint32
}

func newSeal(number uint64) seal {
	return seal{seed: crc32.Checksum(binary.LittleEndian.AppendUint64(nil, number), castagnoli)}
}

// open appends room for a header to buffer. The caller appends the payload
// next, and then calls close.
func (s seal) open(buffer []byte) []byte {
	return append(buffer, make([]byte, headerBytes)...)
}

// close fills in the header that open left at start.
func (s seal) close(buffer []byte, start int, sequence uint64) {
	header := buffer[start : start+headerBytes]
	payload := buffer[start+headerBytes:]
	copy(header, recordMagic)
	header[3] = recordVersion
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], sequence)
	binary.LittleEndian.PutUint32(header[16:], s.checksum(payload))
	binary.LittleEndian.PutUint32(header[20:], s.checksum(header[:20]))
}

func (s seal) checksum(b []byte) uint32 {
	return crc32.Update(s.seed, castagnoli, b)
}

// newerError says that a whole record has a version that is not known here.
type newerError struct {
	version byte
}

// Error returns the version met and the newest one known.
func (e newerError) Error() string {
	return fmt.Sprintf("record format %d, of which this program knows up to %d", e.version, recordVersion)
}

// next reads the record at the start of data. It returns the record and its
// whole length in bytes. If data doesn't start with a whole record, ok is
// false. If it is whole but of another version, next returns a newerError.
func (s seal) next(data []byte) (r record, length int, ok bool, err error) {
	if len(data) < headerBytes || string(data[:len(recordMagic)]) != recordMagic {
		return record{}, 0, false, nil
	}
	header := data[:headerBytes]
	if binary.LittleEndian.Uint32(header[20:]) != s.checksum(header[:20]) {
		return record{}, 0, false, nil
	}
	size := int64(binary.LittleEndian.Uint32(header[4:]))
	if size > int64(len(data)-headerBytes) {
		return record{}, 0, false, nil
	}
	payload := data[headerBytes : headerBytes+int(size)]
	if binary.LittleEndian.Uint32(header[16:]) != s.checksum(payload) {
		return record{}, 0, false, nil
	}
	if header[3] != recordVersion {
		return record{}, 0, false, newerError{version: header[3]}
	}
	r = record{sequence: binary.LittleEndian.Uint64(header[8:]), payload: payload}
	return r, headerBytes + int(size), true, nil
}

// find returns the offset of the first whole record in data, or -1.
func (s seal) find(data []byte) int {
	for from := 0; ; {
		at := bytes.Index(data[from:], []byte(recordMagic))
		if at < 0 {
			return -1
		}
		at += from
		if _, _, ok, err := s.next(data[at:]); ok || err != nil {
			return at
		}
		from = at + 1
	}
}
