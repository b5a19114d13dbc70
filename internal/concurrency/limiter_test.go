package concurrency_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/concurrency"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

// finish records responses that all took runTime.
func finish(l *concurrency.Limiter, at time.Time, count int, runTime time.Duration) {
	for range count {
		l.Finished(at, slots, slots, runTime)
	}
}

var _ = Describe("Limiter", func() {
	DescribeTable("limits an upstream to its slots and what the handover needs",
		func(slots int, change func(*concurrency.Limiter), after time.Duration, want int) {
			var l concurrency.Limiter
			change(&l)
			Expect(l.Limit(start.Add(after), slots)).To(Equal(want))
		},
		Entry("nothing known", 0, func(*concurrency.Limiter) {}, 0*ms, concurrency.Unlimited),
		Entry("no samples", 6, func(*concurrency.Limiter) {}, 0*ms, 7),
		Entry("60 ms of work", 6, func(l *concurrency.Limiter) { finish(l, start, 9, 60*ms) }, 0*ms, 7),
		Entry("short work, whose slots would be idle during the handover", 6, func(l *concurrency.Limiter) { finish(l, start, 9, 4*ms) }, 0*ms, 12),
		Entry("slowed down", 6, func(l *concurrency.Limiter) { finish(l, start, 9, 60*ms); finish(l, start, 30, 150*ms) }, 0*ms, 6),
		Entry("slowed down and avoided since", 6, func(l *concurrency.Limiter) { finish(l, start, 9, 60*ms); finish(l, start, 30, 150*ms) }, 4*time.Second, 7),
		Entry("a refusal", 6, func(l *concurrency.Limiter) { l.Refused(start, 6, 7) }, 0*ms, 5),
		Entry("refusals of one burst", 6, func(l *concurrency.Limiter) { l.Refused(start, 6, 7); l.Refused(start.Add(ms), 6, 6) }, 0*ms, 5),
		Entry("a refusal some time ago", 6, func(l *concurrency.Limiter) { l.Refused(start, 6, 7) }, time.Second, 7),
		Entry("a refusal without slots", 0, func(l *concurrency.Limiter) { l.Refused(start, 0, 50) }, 0*ms, 40),
		Entry("a clock that steps back", 6, func(l *concurrency.Limiter) { finish(l, start, 9, 60*ms); l.Refused(start, 6, 7) }, -time.Hour, 5),
	)

	DescribeTable("learns the work time",
		func(change func(*concurrency.Limiter), after, want time.Duration) {
			var l concurrency.Limiter
			finish(&l, start, 20, 60*ms)
			change(&l)
			Expect(l.WorkTime(start.Add(after))).To(BeNumerically("~", want, 3*ms))
		},
		Entry("without the time in the upstream's queue", func(l *concurrency.Limiter) { l.Finished(start, 6, 9, 90*ms) }, 0*ms, 60*ms),
		Entry("not from responses without a time", func(l *concurrency.Limiter) { finish(l, start, 9, -time.Second) }, 0*ms, 60*ms),
		Entry("hardly from a single stalled response", func(l *concurrency.Limiter) { l.Finished(start, 6, 1, time.Minute) }, 0*ms, 82*ms),
		Entry("from a swing", func(l *concurrency.Limiter) { finish(l, start, 30, 150*ms) }, 0*ms, 150*ms),
		Entry("back to the usual one without samples", func(l *concurrency.Limiter) { finish(l, start, 30, 150*ms) }, 6*time.Second, 62*ms),
	)
})

var _ = Describe("Choose", func() {
	state := func(inFlight, limit int, work time.Duration) concurrency.Candidate {
		return concurrency.Candidate{InFlight: inFlight, Limit: limit, Slots: slots, WorkTime: work}
	}
	failing := state(0, 7, 60*ms)
	failing.FailureShare = 0.5
	avoided := state(0, 7, 60*ms)
	avoided.Avoided = true
	DescribeTable("selects the upstream that ends the request first",
		func(left time.Duration, want int, candidates ...concurrency.Candidate) {
			Expect(concurrency.Choose(candidates, left, 0.5)).To(Equal(want))
		},
		Entry("none has room", 300*ms, -1, state(7, 7, 60*ms), state(7, 7, 60*ms)),
		Entry("least in flight of similar ones", 300*ms, 1, state(4, 7, 60*ms), state(1, 7, 62*ms)),
		Entry("a fast one with a queue before a slow one", 300*ms, 0, state(6, 7, 60*ms), state(0, 6, 150*ms)),
		Entry("a slow one if the fast one is full", 300*ms, 1, state(7, 7, 60*ms), state(0, 6, 150*ms)),
		Entry("wait if only the fast one ends in time", 120*ms, -1, state(7, 7, 60*ms), state(0, 6, 150*ms)),
		Entry("a slow one if the request is late everywhere", 70*ms, 1, state(7, 7, 60*ms), state(0, 6, 150*ms)),
		Entry("a reliable one before one that fails half of its requests", 300*ms, 1, failing, state(6, 7, 60*ms)),
		Entry("an avoided one only if it alone has room", 300*ms, 1, avoided, state(6, 7, 150*ms)),
		Entry("an avoided one", 300*ms, 0, avoided, state(7, 7, 60*ms)),
	)
})

// BenchmarkChoose selects one of four upstreams, with the limit and the work time of each.
func BenchmarkChoose(b *testing.B) {
	var limiter concurrency.Limiter
	finish(&limiter, start, 20, 60*ms)
	now := start.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		var candidates [concurrency.MaxGroupSize]concurrency.Candidate
		for i := range candidates {
			candidates[i] = concurrency.Candidate{InFlight: i, Limit: limiter.Limit(now, slots), Slots: slots, WorkTime: limiter.WorkTime(now)}
		}
		concurrency.Choose(candidates[:], 300*ms, 0.5)
	}
}
