package archive

import "encoding/binary"

// SetRecordVersion changes the version of the first record in data.
func SetRecordVersion(data []byte, folderNumber uint64, version byte) {
	data[3] = version
	binary.LittleEndian.PutUint32(data[20:], newRecordCodec(folderNumber).checksum(data[:20]))
}

// LastRecordOffset returns the offset of the last intact record in data.
func LastRecordOffset(data []byte, folderNumber uint64) int {
	offset := 0
	for {
		_, length, ok, _ := newRecordCodec(folderNumber).decode(data[offset:])
		if !ok || offset+length == len(data) {
			return offset
		}
		offset += length
	}
}

// DecodePayload decodes payload as a batch and as a snapshot.
func DecodePayload(payload []byte) {
	_, _ = decodeBatch(payload)
	_, _ = decodeSnapshot(payload)
}
