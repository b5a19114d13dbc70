package archive

import "encoding/binary"

// SetVersion makes the first record of data one of another version.
func SetVersion(data []byte, number uint64, version byte) {
	data[3] = version
	binary.LittleEndian.PutUint32(data[20:], newSeal(number).checksum(data[:20]))
}

// LastRecord returns the offset of the last record in data.
func LastRecord(data []byte, number uint64) int {
	offset := 0
	for {
		_, length, ok, _ := newSeal(number).next(data[offset:])
		if !ok || offset+length == len(data) {
			return offset
		}
		offset += length
	}
}

// DecodeAny decodes payload as each kind of record.
func DecodeAny(payload []byte) {
	_, _ = decodeBatch(payload)
	_, _ = decodeSnapshot(payload)
}
