package archive_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
)

// FuzzOpen puts any bytes in the place of a log file. Open must return what is
// whole, or a DamageError, and what it returned must be there the next time.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{}, uint8(0))
	f.Add([]byte("\x8aLG\x01"), uint8(40))
	f.Add([]byte("\x8aLG\x01\x00\x00\x00\x00"), uint8(255))
	f.Fuzz(func(t *testing.T, tail []byte, kept uint8) {
		fs := newCrashFS()
		a, _, err := open(fs)
		if err != nil {
			t.Fatal(err)
		}
		if err := a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{command(1, 1), command(2, 1)}); err != nil {
			t.Fatal(err)
		}
		a.Close()
		node := fs.names["/data/log-0000000000000001"]
		node.data = append(node.data[:min(int(kept), len(node.data))], tail...)
		delete(fs.names, "/data/mark")
		a, loaded, err := open(fs)
		if err != nil {
			var damaged *archive.DamageError
			if !errors.As(err, &damaged) {
				t.Fatal(err)
			}
			return
		}
		a.Close()
		_, again, err := open(fs)
		if err != nil || len(again.Entries) != len(loaded.Entries) || again.HardState != loaded.HardState || again.Cut.Bytes != 0 {
			t.Fatal(err, again, loaded)
		}
	})
}

// FuzzDecode puts any bytes in the place of the payloads of checked records.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 0, 1, 1, 1, 1, 0})
	f.Add([]byte{1, 0, 0, 0, 0, 255, 255, 255, 255, 15, 1})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		archive.DecodeAny(payload)
	})
}
