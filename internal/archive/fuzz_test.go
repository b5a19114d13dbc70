package archive_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
)

// FuzzOpen replaces the end of a segment with arbitrary bytes. Open must return
// the intact records or a CorruptionError. After a successful Open, a second one
// must return the same number of entries and hard state, and no torn tail.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{}, uint8(0))
	f.Add([]byte("\x8aLG\x01"), uint8(40))
	f.Add([]byte("\x8aLG\x01\x00\x00\x00\x00"), uint8(255))
	f.Fuzz(func(t *testing.T, tail []byte, keptBytes uint8) {
		fs := newCrashFS()
		a, _, err := openArchive(fs)
		if err != nil {
			t.Fatal(err)
		}
		if err := a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{commandEntry(1, 1), commandEntry(2, 1)}); err != nil {
			t.Fatal(err)
		}
		a.Close()
		node := fs.files["/data/log-0000000000000001"]
		node.data = append(node.data[:min(int(keptBytes), len(node.data))], tail...)
		delete(fs.files, "/data/mark")
		a, loaded, err := openArchive(fs)
		if err != nil {
			var corruption *archive.CorruptionError
			if !errors.As(err, &corruption) {
				t.Fatal(err)
			}
			return
		}
		a.Close()
		_, reloaded, err := openArchive(fs)
		if err != nil || len(reloaded.Entries) != len(loaded.Entries) || reloaded.HardState != loaded.HardState || reloaded.TornTail.Bytes != 0 {
			t.Fatal(err, reloaded, loaded)
		}
	})
}

// FuzzDecode decodes arbitrary bytes as payloads with a valid checksum.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 0, 1, 1, 1, 1, 0})
	f.Add([]byte{1, 0, 0, 0, 0, 255, 255, 255, 255, 15, 1})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		archive.DecodePayload(payload)
	})
}
