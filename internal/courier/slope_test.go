package courier_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// BenchmarkSlopeRoster measures what one second of membership costs an instance
// that pulls from one voter: every upstream and every instance has renewed
// itself once, and the renewals are packed, encoded, decoded and merged. One
// operation is one such second. docs/CAPACITY.md fits the slopes.
func BenchmarkSlopeRoster(b *testing.B) {
	for _, size := range []struct{ upstreams, instances int }{
		{275, 83}, {550, 165}, {1100, 330}, {1100, 83}, {275, 330},
	} {
		b.Run(fmt.Sprintf("upstreams=%d/instances=%d", size.upstreams, size.instances), func(b *testing.B) {
			benchmarkSecond(b, size.upstreams, size.instances)
		})
	}
}

func benchmarkSecond(b *testing.B, upstreams, instances int) {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	from := roster.New(roster.Options{Self: "voter", Incarnation: 1, Lease: 3 * time.Second})
	to := roster.New(roster.Options{Self: "instance", Incarnation: 1, Lease: 3 * time.Second})
	var source, others roster.Source
	renew(b, from, &others, now, 1, upstreams, instances)
	to.Merge(now, &source, from.Since(now, source.Cursor(false)))

	var wire bytes.Buffer
	encoder, decoder := gob.NewEncoder(&wire), gob.NewDecoder(&wire)
	var sent int64
	sequence := uint64(1)
	var pack, unpack time.Duration
	for b.Loop() {
		sequence++
		now = now.Add(time.Second)
		renew(b, from, &others, now, sequence, upstreams, instances)
		begin := time.Now()
		if err := encoder.Encode(courier.PullReply{Changes: from.Since(now, source.Cursor(false))}); err != nil {
			b.Fatal(err)
		}
		pack += time.Since(begin)
		if sequence > 2 {
			// The first message carries the types, once a connection.
			sent += int64(wire.Len())
		}
		begin = time.Now()
		var reply courier.PullReply
		if err := decoder.Decode(&reply); err != nil {
			b.Fatal(err)
		}
		to.Merge(now, &source, reply.Changes)
		unpack += time.Since(begin)
	}
	b.ReportMetric(float64(sent)/float64(max(sequence-2, 1)), "wire-B/op")
	b.ReportMetric(float64(pack.Nanoseconds())/float64(b.N), "sender-ns/op")
	b.ReportMetric(float64(unpack.Nanoseconds())/float64(b.N), "receiver-ns/op")
	if got := len(to.Upstreams(now)); got != upstreams {
		b.Fatalf("%d upstreams arrived, want %d", got, upstreams)
	}
}

// renew has every upstream announce itself to from, and every instance beat.
func renew(b *testing.B, from *roster.Roster, others *roster.Source, now time.Time, sequence uint64, upstreams, instances int) {
	for n := range upstreams {
		err := from.Announce(now.Add(-time.Duration(n%100)*time.Millisecond), upstreamapi.Announcement{
			Name:          fmt.Sprintf("engine-%04d", n),
			Incarnation:   uint64(now.Year()),
			Sequence:      sequence,
			Address:       fmt.Sprintf("10.1.%d.%d:8000", n/250, n%250),
			Kind:          upstreamapi.KindEngine,
			FailureDomain: fmt.Sprintf("domain-%d", n%10),
			Resident:      residents(n),
			Load: upstreamapi.Load{
				Running: n % 32, Waiting: n % 5, MaxRunning: 32, WaitingPromptTokens: n * 7 % 4000,
				PrefillTokensPerSecond: 8000, TokenInterval: 20 * time.Millisecond,
				KVUsedTokens: int64(n) * 91 % 100_000, KVTotalTokens: 100_000, Clock: now.Add(time.Duration(n%50) * time.Millisecond),
			},
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	var records []roster.InstanceRecord
	for n := range instances {
		static := roster.InstanceStatic{
			CallerAddress: fmt.Sprintf("10.2.%d.%d:7600", n/250, n%250), FailureDomain: fmt.Sprintf("domain-%d", n%10),
		}
		records = append(records, roster.InstanceRecord{
			Name: fmt.Sprintf("instance-%03d", n), Handle: uint32(n), Incarnation: 1, Sequence: sequence,
			Static: &static, Beat: roster.InstanceBeat{Streams: n % 40},
		})
	}
	if sequence == 1 {
		from.Merge(now, others, roster.Changes{Instances: records, Next: roster.Cursor{Incarnation: 9}})
		return
	}
	changes := roster.Changes{Next: roster.Cursor{Incarnation: 9}}
	for n, record := range records {
		changes.InstanceBeats.Handles = append(changes.InstanceBeats.Handles, uint32(n))
		changes.InstanceBeats.Sequences = append(changes.InstanceBeats.Sequences, sequence)
		changes.InstanceBeats.Ages = append(changes.InstanceBeats.Ages, uint32(n%25))
		changes.InstanceBeats.Flags = append(changes.InstanceBeats.Flags, 0)
		changes.InstanceBeats.Streams = append(changes.InstanceBeats.Streams, uint32(record.Beat.Streams))
	}
	from.Merge(now, others, changes)
}

// residents are two models with five adapters each.
func residents(n int) []upstreamapi.Resident {
	var held []upstreamapi.Resident
	for k := range 2 {
		model := fmt.Sprintf("model-%04d", (2*n+k)%1700)
		resident := upstreamapi.Resident{Model: model, Version: "1", Accelerators: []string{"a0"}, MemoryBytes: 8 << 30}
		for a := range 5 {
			resident.Adapters = append(resident.Adapters, fmt.Sprintf("%s-adapter-%d", model, a))
		}
		held = append(held, resident)
	}
	return held
}
