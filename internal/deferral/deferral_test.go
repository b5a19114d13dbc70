package deferral_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/deferral"
)

var start = time.Unix(1000, 0)

const objective = 9 * time.Second

// A new batch request that took the last slots, or the prefill time of an urgent prompt that is about
// to arrive from another instance, would make urgent responses late. One that never got less reserved
// would wait forever beside urgent requests that use nine tenths of the slots.
var _ = DescribeTable("A batch request",
	func(age time.Duration, load float64, readyFor time.Duration, allowed bool) {
		engine := deferral.Engine{Slots: 12, Load: load, ReadyFor: readyFor, UrgentTurn: 40 * time.Millisecond}
		Expect(deferral.HeadroomOf(age, objective).Allows(engine)).To(Equal(allowed))
	},
	Entry("leaves a quarter of the slots when it is new", time.Duration(0), 8.9, time.Second, true),
	Entry("takes none of that quarter", time.Duration(0), 9.0, time.Second, false),
	Entry("leaves an eighth at a third of its objective", 3*time.Second, 10.4, time.Second, true),
	Entry("takes none of that eighth", 5900*time.Millisecond, 10.6, time.Second, false),
	Entry("takes the last slot from two thirds of its objective on", 6*time.Second, 11.9, time.Duration(0), true),
	Entry("takes no slot of a full engine however old it is", time.Minute, 12.0, time.Second, false),
	Entry("waits until urgent prompts had their turn", time.Duration(0), 0.0, 39*time.Millisecond, false),
	Entry("goes after them", time.Duration(0), 0.0, 40*time.Millisecond, true),
	Entry("waits while prompts are prefilled however old it is", time.Minute, 0.0, -time.Millisecond, false),
	Entry("is new if a clock step makes its age negative", -time.Hour, 9.0, time.Second, false),
)

var _ = Describe("Throughput", func() {
	// wait lets requests wait for a time, of which one is granted at each interval.
	wait := func(t *deferral.Throughput, from time.Time, length, interval time.Duration) time.Time {
		for at := time.Duration(0); at <= length; at += 4 * time.Millisecond {
			t.ObserveWaiting(from.Add(at))
			if interval > 0 && at > 0 && at%interval == 0 {
				t.RecordGrant(from.Add(at))
			}
		}
		return from.Add(length)
	}

	// The 20 requests before a new one would be admitted at the assumed rate of 4 per second, and all but
	// a few of them rejected late.
	It("forecasts by the rate of grants while requests wait", func() {
		var t deferral.Throughput
		Expect(t.Forecast(start, 20, 4)).To(Equal(5 * time.Second))
		now := wait(&t, start, 10*time.Second, time.Second)
		Expect(t.Forecast(now, 20, 4)).To(BeNumerically("~", 18*time.Second, 3*time.Second))
		Expect(t.Forecast(now, 0, 4)).To(BeZero())
	})

	It("doesn't take a time without demand for a time without capacity, and forgets a shortage", func() {
		var t deferral.Throughput
		now := wait(&t, start, 5*time.Second, 0)
		short := t.Forecast(now, 4, 4)
		Expect(short).To(BeNumerically(">", 4*time.Second))
		t.ObserveWaiting(now.Add(time.Minute))
		Expect(t.Forecast(now.Add(time.Minute), 4, 4)).To(BeNumerically("~", time.Second, 300*time.Millisecond))
	})

	It("doesn't grow when the clock steps back", func() {
		var t deferral.Throughput
		now := wait(&t, start, time.Second, 100*time.Millisecond)
		before := t.Forecast(now, 10, 4)
		t.ObserveWaiting(now.Add(-time.Hour))
		Expect(t.Forecast(now.Add(-time.Hour), 10, 4)).To(Equal(before))
	})
})

// BenchmarkAllows decides on one engine, which the owner of a model does for each that holds the model.
func BenchmarkAllows(b *testing.B) {
	engine := deferral.Engine{Slots: 12, Load: 7.5, ReadyFor: time.Second, UrgentTurn: 40 * time.Millisecond}
	allowed := 0
	b.ReportAllocs()
	for b.Loop() {
		if deferral.HeadroomOf(time.Second, objective).Allows(engine) {
			allowed++
		}
	}
}

// BenchmarkForecast observes a waiting request and forecasts the wait of another.
func BenchmarkForecast(b *testing.B) {
	var t deferral.Throughput
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(4 * time.Millisecond)
		t.ObserveWaiting(now)
		t.Forecast(now, 5, 4)
	}
}
