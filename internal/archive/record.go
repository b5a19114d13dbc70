package archive

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A record consists of a header and a payload. The layout of the header is the
// same in every version of the format:
//
//	bytes  0–2   recordMagic
//	byte   3     version of the payload
//	bytes  4–7   length of the payload
//	bytes  8–15  sequence number of the record in this data folder
//	bytes 16–19  checksum of the payload
//	bytes 20–23  checksum of bytes 0–19
//
// Integers are little-endian. Checksums are CRC-32C over the random number of
// the data folder followed by the bytes, so that neither a record of another
// folder nor one embedded in a payload is mistaken for a record of this folder.
const (
	recordMagic   = "\x8aLG"
	recordVersion = 1
	headerBytes   = 24
	// maxPayloadBytes limits the encoded size of one Append or SaveSnapshot.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a decoded record.
type record struct {
	sequence uint64
	payload  []byte
}

// recordCodec encodes and decodes the records of one data folder.
type recordCodec struct {
	// checksumSeed is the checksum of the folder's random number.
	checksumSeed uint32
}

func newRecordCodec(folderNumber uint64) recordCodec {
	return recordCodec{checksumSeed: crc32.Checksum(binary.LittleEndian.AppendUint64(nil, folderNumber), castagnoli)}
}

// reserveHeader appends an empty header to buffer. The caller then appends the
// payload and calls writeHeader.
func (c recordCodec) reserveHeader(buffer []byte) []byte {
	return append(buffer, make([]byte, headerBytes)...)
}

// writeHeader fills in the header that reserveHeader appended at start. The
// payload is the rest of buffer.
func (c recordCodec) writeHeader(buffer []byte, start int, sequence uint64) {
	header := buffer[start : start+headerBytes]
	payload := buffer[start+headerBytes:]
	copy(header, recordMagic)
	header[3] = recordVersion
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], sequence)
	binary.LittleEndian.PutUint32(header[16:], c.checksum(payload))
	binary.LittleEndian.PutUint32(header[20:], c.checksum(header[:20]))
}

func (c recordCodec) checksum(b []byte) uint32 {
	return crc32.Update(c.checksumSeed, castagnoli, b)
}

// unsupportedVersionError is returned for intact records and identity files whose
// format version this program doesn't support.
type unsupportedVersionError struct {
	version byte
}

// Error returns a message with the version found and the newest supported one.
func (e unsupportedVersionError) Error() string {
	return fmt.Sprintf("record format %d, of which this program knows up to %d", e.version, recordVersion)
}

// decode decodes the record at the start of data. length is its size in bytes
// including the header. If data doesn't start with an intact record, ok is false.
// If the record is intact but of another version, decode returns an
// unsupportedVersionError.
func (c recordCodec) decode(data []byte) (rec record, length int, ok bool, err error) {
	if len(data) < headerBytes || string(data[:len(recordMagic)]) != recordMagic {
		return record{}, 0, false, nil
	}
	header := data[:headerBytes]
	if binary.LittleEndian.Uint32(header[20:]) != c.checksum(header[:20]) {
		return record{}, 0, false, nil
	}
	payloadBytes := int64(binary.LittleEndian.Uint32(header[4:]))
	if payloadBytes > int64(len(data)-headerBytes) {
		return record{}, 0, false, nil
	}
	payload := data[headerBytes : headerBytes+int(payloadBytes)]
	if binary.LittleEndian.Uint32(header[16:]) != c.checksum(payload) {
		return record{}, 0, false, nil
	}
	if header[3] != recordVersion {
		return record{}, 0, false, unsupportedVersionError{version: header[3]}
	}
	rec = record{sequence: binary.LittleEndian.Uint64(header[8:]), payload: payload}
	return rec, headerBytes + int(payloadBytes), true, nil
}

// indexRecord returns the offset of the first intact record in data, or -1.
func (c recordCodec) indexRecord(data []byte) int {
	for from := 0; ; {
		at := bytes.Index(data[from:], []byte(recordMagic))
		if at < 0 {
			return -1
		}
		at += from
		if _, _, ok, err := c.decode(data[at:]); ok || err != nil {
			return at
		}
		from = at + 1
	}
}
