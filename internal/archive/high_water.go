package archive

import "encoding/binary"

// The high-water mark is the sequence number of the last synced record. It is
// stored with a checksum in a small file, which is overwritten in place after
// each fsync of the log and never synced itself. It costs one write per Append
// and survives a crash of the process, but not always one of the machine.
//
// Without it, an acknowledged last record that was damaged or lost with its
// segment would look like a torn tail. Open would remove it, and the voter would
// forget a vote or an entry. The mark is written only after the fsync, so it
// never exceeds the last synced record. A mark that is torn counts as missing,
// and one that is too low only weakens the check.
const (
	highWaterName  = "mark"
	highWaterBytes = 12
)

func (a *Archive) writeHighWater() error {
	content := binary.LittleEndian.AppendUint64(make([]byte, 0, highWaterBytes), a.log.sequence)
	content = binary.LittleEndian.AppendUint32(content, a.codec.checksum(content))
	if _, err := a.highWaterFile.WriteAt(content, 0); err != nil {
		return a.failOperation("write", a.path(highWaterName), err)
	}
	return nil
}

// readHighWater returns the high-water mark, or 0 if its file is missing or
// invalid.
func (a *Archive) readHighWater() uint64 {
	content, err := a.fs.ReadFile(a.path(highWaterName))
	if err != nil || len(content) != highWaterBytes {
		return 0
	}
	if binary.LittleEndian.Uint32(content[8:]) != a.codec.checksum(content[:8]) {
		return 0
	}
	return binary.LittleEndian.Uint64(content)
}
