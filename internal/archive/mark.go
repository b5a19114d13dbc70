package archive

import "encoding/binary"

// The mark is a small file with the sequence number of the last synced record
// and a checksum. It is written over in place after each fsync of the log, and
// never synced itself: it costs one write, and survives any end of the process
// but perhaps not of the machine.
//
// Without it a last record that was acknowledged and then damaged, or taken
// away with its file, looks like one that a crash tore, and would be cut off:
// the voter would forget a vote or an entry. As the mark is written only after
// the fsync, it is never ahead of what was acknowledged; where it is behind or
// torn, Open does without.
const (
	markName  = "mark"
	markBytes = 12
)

func (a *Archive) writeMark() error {
	content := binary.LittleEndian.AppendUint64(make([]byte, 0, markBytes), a.journal.sequence)
	content = binary.LittleEndian.AppendUint32(content, a.seal.checksum(content))
	if _, err := a.mark.WriteAt(content, 0); err != nil {
		return a.fail("write", a.path(markName), err)
	}
	return nil
}

// readMark returns the sequence number in the mark, or 0 if there is no whole
// one.
func (a *Archive) readMark() uint64 {
	content, err := a.fs.ReadFile(a.path(markName))
	if err != nil || len(content) != markBytes {
		return 0
	}
	if binary.LittleEndian.Uint32(content[8:]) != a.seal.checksum(content[:8]) {
		return 0
	}
	return binary.LittleEndian.Uint64(content)
}
