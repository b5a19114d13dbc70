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

// snapshotEvery is the number of commands between two snapshots.
const snapshotEvery = 10_000

func encodeCommand(b *testing.B, command registry.Command) []byte {
	data, err := registry.Encode(command)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// writeLog writes a log of count changes, with snapshots and compaction if
// compact is set.
func writeLog(b *testing.B, folder string, count int, compact bool) {
	log, _, err := archive.Open(archive.Options{Folder: folder})
	if err != nil {
		b.Fatal(err)
	}
	defer log.Close()
	r := registry.New()
	first, err := declareChange("first", 0, "ordinary peak").Validated(validateDeclarations)
	if err != nil {
		b.Fatal(err)
	}
	var batch []jury.Entry
	for i := 1; i <= count; i++ {
		command := first
		if i > 1 {
			command = presetChange(fmt.Sprint("change ", i), registry.Revision(i-1), []string{"ordinary", "peak"}[i%2])
			command.Now = startTime.Add(time.Duration(i) * time.Second)
		}
		entry := jury.Entry{Index: jury.Index(i), Term: 1, Kind: jury.EntryCommand, Data: encodeCommand(b, command)}
		if _, err := r.Apply(entry.Index, entry.Data); err != nil {
			b.Fatal(err)
		}
		batch = append(batch, entry)
		if i%100 != 0 {
			continue
		}
		if err := log.Append(jury.HardState{Term: 1}, 0, batch); err != nil {
			b.Fatal(err)
		}
		batch = nil
		// Half an interval before the end of the log, which leaves entries to replay.
		if compact && i%snapshotEvery == snapshotEvery/2 {
			saveSnapshot(b, log, r, entry.Index)
		}
	}
}

func saveSnapshot(b *testing.B, log *archive.Archive, r *registry.Registry, index jury.Index) {
	data, err := r.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	if err := log.SaveSnapshot(jury.Snapshot{Index: index, Term: 1, Data: data}); err != nil {
		b.Fatal(err)
	}
	if err := log.Compact(index); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRestart opens the data folder and recovers the state, for logs of
// different lengths, with and without snapshots.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1_000, 100_000} {
		for _, compact := range []bool{true, false} {
			b.Run(fmt.Sprintf("changes=%d/snapshots=%v", changes, compact), func(b *testing.B) {
				folder := b.TempDir()
				writeLog(b, folder, changes, compact)
				for b.Loop() {
					restartFrom(b, folder, registry.Revision(changes))
				}
			})
		}
	}
}

// restartFrom recovers the state from the folder and fails unless it is at the
// expected revision.
func restartFrom(b *testing.B, folder string, expected registry.Revision) {
	log, loaded, err := archive.Open(archive.Options{Folder: folder})
	if err != nil {
		b.Fatal(err)
	}
	defer log.Close()
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

// BenchmarkApplyClaim decodes and applies a claim and its record.
func BenchmarkApplyClaim(b *testing.B) {
	r := registry.New()
	index := jury.Index(0)
	limits := docket.DefaultLimits()
	limits.MaxRecords = 1 << 30
	apply := func(command registry.Command) {
		index++
		if _, err := r.Apply(index, encodeCommand(b, command)); err != nil {
			b.Fatal(err)
		}
	}
	apply(docket.Expire{Now: startTime, Limits: limits})
	body := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		key := docket.KeyOf("booking", fmt.Sprint(index))
		claimant := docket.Claimant{Instance: "entry-1", Incarnation: 1, Request: uint64(index)}
		apply(docket.Claim{Key: key, Claimant: claimant, Timeout: time.Minute})
		apply(docket.Record{Key: key, Claimant: claimant, Attempt: 1, State: docket.StateCompleted, Response: &docket.Response{Status: 200, Body: body}})
	}
}

// BenchmarkSnapshot encodes a state with a full set of idempotency records.
func BenchmarkSnapshot(b *testing.B) {
	r := registry.New()
	limits := docket.DefaultLimits()
	apply := func(index int, command registry.Command) {
		if _, err := r.Apply(jury.Index(index), encodeCommand(b, command)); err != nil {
			b.Fatal(err)
		}
	}
	apply(1, docket.Expire{Now: startTime, Limits: limits})
	for i := range limits.MaxRecords {
		claimant := docket.Claimant{Instance: "entry-1", Incarnation: 1, Request: uint64(i)}
		apply(i+2, docket.Claim{Key: docket.KeyOf("booking", fmt.Sprint(i)), Claimant: claimant, Timeout: time.Minute})
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

// BenchmarkApplyPut decodes and applies a document of 300 routes. A starting voter
// does this for each change after its snapshot.
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
		command := encodeCommand(b, edition.Put{Version: uint64(index), Content: content})
		b.StartTimer()
		if _, err := r.Apply(index, command); err != nil {
			b.Fatal(err)
		}
	}
}
