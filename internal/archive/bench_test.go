package archive_test

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
)

const entryBytes = 200

// BenchmarkBareSync writes and syncs as many bytes of entry data as
// BenchmarkAppend to a plain file. It is the upper bound for BenchmarkAppend.
func BenchmarkBareSync(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			file, err := archive.Disk{}.Create(filepath.Join(b.TempDir(), "plain"))
			if err != nil {
				b.Fatal(err)
			}
			defer file.Close()
			content := make([]byte, size*entryBytes)
			for b.Loop() {
				if _, err := file.Write(content); err != nil {
					b.Fatal(err)
				}
				if err := file.Sync(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			a, _, err := archive.Open(archive.Options{Folder: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			defer a.Close()
			batch := make([]jury.Entry, size)
			next := jury.Index(1)
			for b.Loop() {
				fillBatch(batch, next)
				if err := a.Append(jury.HardState{Term: 1, Vote: "kgn-a/1"}, 0, batch); err != nil {
					b.Fatal(err)
				}
				next += jury.Index(size)
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkOpen opens a data folder with a log but without a snapshot.
func BenchmarkOpen(b *testing.B) {
	for _, entries := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			folder := b.TempDir()
			a, _, err := archive.Open(archive.Options{Folder: folder})
			if err != nil {
				b.Fatal(err)
			}
			batch := make([]jury.Entry, 100)
			for next := 1; next <= entries; next += len(batch) {
				fillBatch(batch, jury.Index(next))
				if err := a.Append(jury.HardState{Term: 1, Vote: "kgn-a/1"}, 0, batch); err != nil {
					b.Fatal(err)
				}
			}
			a.Close()
			for b.Loop() {
				a, loaded, err := archive.Open(archive.Options{Folder: folder})
				if err != nil || len(loaded.Entries) != entries {
					b.Fatal(err, len(loaded.Entries))
				}
				a.Close()
			}
		})
	}
}

func fillBatch(batch []jury.Entry, first jury.Index) {
	for i := range batch {
		batch[i] = jury.Entry{Index: first + jury.Index(i), Term: 1, Kind: jury.EntryCommand, Data: make([]byte, entryBytes)}
	}
}
