package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// snapshotEvery is how many commands the log holds behind the last snapshot at
// the most.
const snapshotEvery = 10_000

func encoded(b *testing.B, command registry.Command) []byte {
	data, err := registry.Encode(command)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// fill writes a log of that many changes. The state is compacted if compact.
func fill(b *testing.B, folder string, changes int, compact bool) {
	a, _, err := archive.Open(archive.Options{Folder: folder})
	if err != nil {
		b.Fatal(err)
	}
	defer a.Close()
	r := registry.New()
	first, err := declare("first", 0, "ordinary peak").Prepare(check)
	if err != nil {
		b.Fatal(err)
	}
	var batch []jury.Entry
	for i := 1; i <= changes; i++ {
		command := first
		if i > 1 {
			command = choose(fmt.Sprint("change ", i), registry.Revision(i-1), []string{"ordinary", "peak"}[i%2])
			command.Now = start.Add(time.Duration(i) * time.Second)
		}
		entry := jury.Entry{Index: jury.Index(i), Term: 1, Kind: jury.EntryCommand, Data: encoded(b, command)}
		if _, err := r.Apply(entry.Index, entry.Data); err != nil {
			b.Fatal(err)
		}
		batch = append(batch, entry)
		if i%100 != 0 {
			continue
		}
		if err := a.Append(jury.HardState{Term: 1}, 0, batch); err != nil {
			b.Fatal(err)
		}
		batch = nil
		// A change before the end, so that there is something to replay.
		if compact && i%snapshotEvery == snapshotEvery/2 {
			save(b, a, r, entry.Index)
		}
	}
}

func save(b *testing.B, a *archive.Archive, r *registry.Registry, index jury.Index) {
	data, err := r.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	if err := a.SaveSnapshot(jury.Snapshot{Index: index, Term: 1, Data: data}); err != nil {
		b.Fatal(err)
	}
	if err := a.Compact(index); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRestart opens the data folder and brings the state back, after so
// many changes, with snapshots every snapshotEvery changes and with none.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1_000, 100_000} {
		for _, compact := range []bool{true, false} {
			b.Run(fmt.Sprintf("changes=%d/snapshots=%v", changes, compact), func(b *testing.B) {
				folder := b.TempDir()
				fill(b, folder, changes, compact)
				for b.Loop() {
					restart(b, folder, registry.Revision(changes))
				}
			})
		}
	}
}

func restart(b *testing.B, folder string, expected registry.Revision) {
	a, loaded, err := archive.Open(archive.Options{Folder: folder})
	if err != nil {
		b.Fatal(err)
	}
	defer a.Close()
	r := registry.New()
	if loaded.Snapshot.Index > 0 {
		if err := r.Restore(loaded.Snapshot.Data); err != nil {
			b.Fatal(err)
		}
	}
	for _, entry := range loaded.Entries {
		if _, err := r.Apply(entry.Index, entry.Data); err != nil {
			b.Fatal(err)
		}
	}
	if r.View().Revision != expected {
		b.Fatal(r.View().Revision)
	}
}

// BenchmarkApplyClaim applies a claim and its record, decoding included.
func BenchmarkApplyClaim(b *testing.B) {
	r := registry.New()
	index := jury.Index(0)
	limits := docket.DefaultLimits()
	limits.MaxRecords = 1 << 30
	apply := func(command registry.Command) {
		index++
		if _, err := r.Apply(index, encoded(b, command)); err != nil {
			b.Fatal(err)
		}
	}
	apply(docket.Expire{Now: start, Limits: limits})
	body := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		key := docket.KeyOf("booking", fmt.Sprint(index))
		by := docket.Claimant{Instance: "entry-1", Incarnation: 1, Request: uint64(index)}
		apply(docket.Claim{Key: key, Claimant: by, Timeout: time.Minute})
		apply(docket.Record{Key: key, Claimant: by, Attempt: 1, State: docket.StateCompleted, Response: &docket.Response{Status: 200, Body: body}})
	}
}

// BenchmarkSnapshot encodes a state with a full docket.
func BenchmarkSnapshot(b *testing.B) {
	r := registry.New()
	limits := docket.DefaultLimits()
	apply := func(index int, command registry.Command) {
		if _, err := r.Apply(jury.Index(index), encoded(b, command)); err != nil {
			b.Fatal(err)
		}
	}
	apply(1, docket.Expire{Now: start, Limits: limits})
	for i := range limits.MaxRecords {
		by := docket.Claimant{Instance: "entry-1", Incarnation: 1, Request: uint64(i)}
		apply(i+2, docket.Claim{Key: docket.KeyOf("booking", fmt.Sprint(i)), Claimant: by, Timeout: time.Minute})
	}
	var size int
	for b.Loop() {
		data, err := r.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B")
}

// BenchmarkApplyPut applies a document of 300 routes, as a voter that starts does for each
// change behind its snapshot.
func BenchmarkApplyPut(b *testing.B) {
	r := registry.New()
	var content []byte
	for i := range 300 {
		content = fmt.Appendf(content, `{"name":"r-%08x","host":"h%04x.example","prefix":"/p%06x/","timeout":15000,"objective":800,"service":"s1"},`,
			i*2654435761, i%7, i*40503)
	}
	index := jury.Index(0)
	b.SetBytes(int64(len(content)))
	for b.Loop() {
		b.StopTimer()
		index++
		command := encoded(b, edition.Put{Version: uint64(index), Content: content})
		b.StartTimer()
		if _, err := r.Apply(index, command); err != nil {
			b.Fatal(err)
		}
	}
}
