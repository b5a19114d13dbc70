package docket_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/docket"
)

var sizes = []int{1_000, 10_000, 100_000}

// claimNumber claims and completes a key of its own, with a body of that size.
func claimNumber(d *docket.Docket, n uint64, body int) {
	var key docket.Key
	binary.BigEndian.PutUint64(key[:], n)
	by := docket.Claimant{Instance: "entry-1", Incarnation: 1, Request: n}
	answer := d.Apply(docket.Claim{Key: key, Claimant: by, Timeout: time.Minute})
	record := docket.Record{Key: key, Claimant: by, Attempt: answer.Attempt, State: docket.StateCompleted}
	if body > 0 {
		record.Response = &docket.Response{
			Status:  200,
			Headers: []docket.Header{{Name: "Content-Type", Value: string(append([]byte(nil), "application/json"...))}},
			Body:    make([]byte, body),
		}
	}
	d.Apply(record)
}

func unlimited() *docket.Docket {
	d := docket.New()
	limits := docket.DefaultLimits()
	limits.MaxRecords = 1 << 30
	limits.MaxResponseBytes = 1 << 40
	d.Apply(docket.Expire{Now: start, Limits: limits})
	return d
}

// BenchmarkClaim claims and completes one key beside so many others.
func BenchmarkClaim(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			d := unlimited()
			for n := range size {
				claimNumber(d, uint64(n), 0)
			}
			next := uint64(size)
			b.ReportAllocs()
			for b.Loop() {
				claimNumber(d, next, 0)
				next++
			}
		})
	}
}

// BenchmarkLookup asks after a key among so many.
func BenchmarkLookup(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("records=%d", size), func(b *testing.B) {
			d := unlimited()
			for n := range size {
				claimNumber(d, uint64(n), 0)
			}
			var key docket.Key
			n := uint64(0)
			for b.Loop() {
				n = (n + 7919) % uint64(size)
				binary.BigEndian.PutUint64(key[:], n)
				if d.Lookup(key).Verdict != docket.VerdictCompleted {
					b.Fatal(n)
				}
			}
		})
	}
}

// BenchmarkMemory reports the bytes in memory and in a snapshot for a record
// without an answer and for one with an answer of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		for _, body := range []int{0, 200} {
			b.Run(fmt.Sprintf("records=%d/body=%d", size, body), func(b *testing.B) {
				var used, encoded, counted uint64
				for b.Loop() {
					before := heap()
					d := unlimited()
					for n := range size {
						claimNumber(d, uint64(n), body)
					}
					used = heap() - before
					encoded = uint64(len(d.Snapshot(nil)))
					counted = uint64(d.ResponseBytes())
				}
				b.ReportMetric(float64(used)/float64(size), "memory-B/record")
				b.ReportMetric(float64(encoded)/float64(size), "snapshot-B/record")
				b.ReportMetric(float64(counted)/float64(size), "counted-answer-B/record")
			})
		}
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
