package docket_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/docket"
)

var recordCounts = []int{1_000, 10_000, 100_000}

// claimAndComplete claims and completes the request with key n. The response has
// a body of bodyBytes, or is missing if bodyBytes is 0.
func claimAndComplete(s *docket.Store, n uint64, bodyBytes int) {
	var key docket.Key
	binary.BigEndian.PutUint64(key[:], n)
	claimant := docket.Claimant{Instance: "entry-1", Incarnation: 1, Request: n}
	answer := s.Apply(docket.Claim{Key: key, Claimant: claimant, Timeout: time.Minute})
	record := docket.Record{Key: key, Claimant: claimant, Attempt: answer.Attempt, State: docket.StateCompleted}
	if bodyBytes > 0 {
		record.Response = &docket.Response{
			Status:  200,
			Headers: []docket.Header{{Name: "Content-Type", Value: string(append([]byte(nil), "application/json"...))}},
			Body:    make([]byte, bodyBytes),
		}
	}
	s.Apply(record)
}

func newUnlimitedStore() *docket.Store {
	s := docket.New()
	limits := docket.DefaultLimits()
	limits.MaxRecords = 1 << 30
	limits.MaxResponseBytes = 1 << 40
	s.Apply(docket.Expire{Now: startTime, Limits: limits})
	return s
}

// BenchmarkClaim claims and completes one key in a store with existing records.
func BenchmarkClaim(b *testing.B) {
	for _, count := range recordCounts {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			s := newUnlimitedStore()
			for n := range count {
				claimAndComplete(s, uint64(n), 0)
			}
			next := uint64(count)
			b.ReportAllocs()
			for b.Loop() {
				claimAndComplete(s, next, 0)
				next++
			}
		})
	}
}

// BenchmarkLookup looks up a key in a store with existing records.
func BenchmarkLookup(b *testing.B) {
	for _, count := range recordCounts {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			s := newUnlimitedStore()
			for n := range count {
				claimAndComplete(s, uint64(n), 0)
			}
			var key docket.Key
			n := uint64(0)
			for b.Loop() {
				n = (n + 7919) % uint64(count)
				binary.BigEndian.PutUint64(key[:], n)
				if s.Lookup(key).Verdict != docket.VerdictCompleted {
					b.Fatal(n)
				}
			}
		})
	}
}

// BenchmarkMemory reports the memory use, the snapshot size and the estimated
// response size per record, without a response and with a body of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, count := range recordCounts {
		for _, bodyBytes := range []int{0, 200} {
			b.Run(fmt.Sprintf("records=%d/body=%d", count, bodyBytes), func(b *testing.B) {
				var heapUsed, snapshotBytes, responseBytes uint64
				for b.Loop() {
					heapBefore := heapBytes()
					s := newUnlimitedStore()
					for n := range count {
						claimAndComplete(s, uint64(n), bodyBytes)
					}
					heapUsed = heapBytes() - heapBefore
					snapshotBytes = uint64(len(s.Snapshot(nil)))
					responseBytes = uint64(s.ResponseBytes())
				}
				b.ReportMetric(float64(heapUsed)/float64(count), "memory-B/record")
				b.ReportMetric(float64(snapshotBytes)/float64(count), "snapshot-B/record")
				b.ReportMetric(float64(responseBytes)/float64(count), "counted-answer-B/record")
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
