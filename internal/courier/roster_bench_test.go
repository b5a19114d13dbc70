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

// BenchmarkSlopeRoster measures the cost of one second of membership for an instance that pulls
// from one voter: every upstream and every instance renews itself once, and the renewals are
// packed, encoded, decoded and merged. One operation is one such second. docs/CAPACITY.md fits the
// slopes to the results.
func BenchmarkSlopeRoster(b *testing.B) {
	for _, size := range []struct{ upstreams, instances int }{
		{275, 83}, {550, 165}, {1100, 330}, {1100, 83}, {275, 330},
	} {
		b.Run(fmt.Sprintf("upstreams=%d/instances=%d", size.upstreams, size.instances), func(b *testing.B) {
			benchmarkRosterSecond(b, size.upstreams, size.instances)
		})
	}
}

func benchmarkRosterSecond(b *testing.B, upstreams, instances int) {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	sender := roster.New(roster.Options{Self: "voter", Incarnation: 1, Lease: 3 * time.Second})
	receiver := roster.New(roster.Options{Self: "instance", Incarnation: 1, Lease: 3 * time.Second})
	var receiverSource, senderSource roster.PullState
	renewAll(b, sender, &senderSource, now, 1, upstreams, instances)
	receiver.Merge(now, &receiverSource, sender.Since(now, receiverSource.Cursor(false)))

	var wire bytes.Buffer
	encoder, decoder := gob.NewEncoder(&wire), gob.NewDecoder(&wire)
	var sent int64
	sequence := uint64(1)
	var encoding, decoding time.Duration
	for b.Loop() {
		sequence++
		now = now.Add(time.Second)
		renewAll(b, sender, &senderSource, now, sequence, upstreams, instances)
		start := time.Now()
		if err := encoder.Encode(courier.PullReply{Changes: sender.Since(now, receiverSource.Cursor(false))}); err != nil {
			b.Fatal(err)
		}
		encoding += time.Since(start)
		if sequence > 2 {
			// The first message also carries the type descriptions, once per connection.
			sent += int64(wire.Len())
		}
		start = time.Now()
		var reply courier.PullReply
		if err := decoder.Decode(&reply); err != nil {
			b.Fatal(err)
		}
		receiver.Merge(now, &receiverSource, reply.Changes)
		decoding += time.Since(start)
	}
	b.ReportMetric(float64(sent)/float64(max(sequence-2, 1)), "wire-B/op")
	b.ReportMetric(float64(encoding.Nanoseconds())/float64(b.N), "sender-ns/op")
	b.ReportMetric(float64(decoding.Nanoseconds())/float64(b.N), "receiver-ns/op")
	if got := len(receiver.Upstreams(now)); got != upstreams {
		b.Fatalf("%d upstreams arrived, want %d", got, upstreams)
	}
}

// renewAll makes every upstream announce itself to target, and merges a renewal of every instance.
func renewAll(b *testing.B, target *roster.Roster, source *roster.PullState, now time.Time, sequence uint64, upstreams, instances int) {
	for n := range upstreams {
		err := target.Announce(now.Add(-time.Duration(n%100)*time.Millisecond), upstreamapi.Announcement{
			Name:          fmt.Sprintf("engine-%04d", n),
			Incarnation:   uint64(now.Year()),
			Sequence:      sequence,
			Address:       fmt.Sprintf("10.1.%d.%d:8000", n/250, n%250),
			Kind:          upstreamapi.KindEngine,
			FailureDomain: fmt.Sprintf("domain-%d", n%10),
			Resident:      residentModels(n),
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
		target.Merge(now, source, roster.Changes{Instances: records, Next: roster.Cursor{Incarnation: 9}})
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
	target.Merge(now, source, changes)
}

// residentModels returns two models with five adapters each.
func residentModels(n int) []upstreamapi.Resident {
	var models []upstreamapi.Resident
	for k := range 2 {
		model := fmt.Sprintf("model-%04d", (2*n+k)%1700)
		resident := upstreamapi.Resident{Model: model, Version: "1", Accelerators: []string{"a0"}, MemoryBytes: 8 << 30}
		for a := range 5 {
			resident.Adapters = append(resident.Adapters, fmt.Sprintf("%s-adapter-%d", model, a))
		}
		models = append(models, resident)
	}
	return models
}
