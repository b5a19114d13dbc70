package ratelimit_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

func TestRatelimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ratelimit")
}

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

var _ = Describe("Known", func() {
	named := func(limit ratelimit.Limit) ratelimit.Observation { return ratelimit.NamedLimit{Limit: limit} }
	state := ratelimit.State{}.With(at(2), at(1), named(1.1))

	DescribeTable("follows what the upstream says last",
		func(now, sent float64, observation ratelimit.Observation, limit float64, inForce bool) {
			got, ok := state.With(at(now), at(sent), observation).Limit()
			Expect(ok).To(Equal(inForce))
			Expect(float64(got)).To(Equal(limit))
		},
		Entry("a later answer without a limit ends it", 4.0, 3.0, ratelimit.NoLimit{}, 0.0, false),
		// A long response may start before the limit is set and end after that. It says
		// nothing about the current limit.
		Entry("an answer to an earlier request does not end it", 4.0, 1.5, ratelimit.NoLimit{}, 1.1, true),
		Entry("a later answer raises it", 4.0, 3.0, named(5), 5.0, true),
		Entry("an answer to an earlier request does not raise it", 4.0, 1.5, named(5), 1.1, true),
		Entry("any answer lowers it", 4.0, 1.5, named(0), 0.0, true),
		Entry("an invalid limit changes nothing", 4.0, 3.0, ratelimit.InvalidLimit{Text: "many"}, 1.1, true),
	)

	DescribeTable("accepts only plausible limits",
		func(limit float64, valid bool) { Expect(ratelimit.Limit(limit).Valid()).To(Equal(valid)) },
		Entry("0", 0.0, true), Entry("a fraction", 0.3, true), Entry("a negative number", -1.0, false),
		Entry("not a number", math.NaN(), false), Entry("1e300", 1e300, false), Entry("infinite", math.Inf(1), false),
	)
})

func sorted(times []time.Time) []time.Time {
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// maxInWindow returns the largest number of times within one Window.
func maxInWindow(times []time.Time) int {
	highest := 0
	for i := range times {
		count := 0
		for _, other := range times[i:] {
			if other.Sub(times[i]) < ratelimit.Window {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

var _ = Describe("The requests of all senders", func() {
	limits := []ratelimit.Limit{0, 0.3, 1.1, 200}

	It("stay within what the upstream bears, the first moment and bursts after rests included", func() {
		for _, limit := range limits {
			bucket := ratelimit.NewTokenBucket(start)
			var sent []time.Time
			for ms := range 20_000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				paused := ms > 6000 && ms < 9000
				for range 3 {
					if _, ok := bucket.TakeAtLimit(now, limit); !paused && ok {
						sent = append(sent, now)
					}
				}
			}
			Expect(maxInWindow(sent)).To(BeNumerically("<=", ratelimit.MaxRequests(limit)), fmt.Sprint(limit))
			Expect(len(sent)).To(BeNumerically(">=", int(float64(limit)*14)), "the limit is used")
			Expect(len(sent)).To(BeNumerically(">=", 5), "requests are sent at any limit, so that its end is noticed")
		}
	})

	// The owner is lost, and each sender continues alone.
	It("stay within it without an owner", func() {
		for _, senders := range []int{1, 3, 7, 86, 291} {
			for _, limit := range limits {
				var sent []time.Time
				for range senders {
					bucket := ratelimit.NewTokenBucket(start)
					for ms := 0; ms < 12_000; ms += 20 {
						now := start.Add(time.Duration(ms) * time.Millisecond)
						if _, ok := bucket.Take(now, ratelimit.ShareRate(limit, senders)); ok {
							sent = append(sent, now)
						}
					}
				}
				Expect(maxInWindow(sorted(sent))).To(BeNumerically("<=", ratelimit.MaxRequests(limit)), fmt.Sprint(senders, limit))
			}
		}
	})

	// Ownership moves, and for a second two instances both act as the owner.
	It("stay within it when the owner changes", func() {
		for _, limit := range limits {
			oldOwner, newOwner := ratelimit.NewTokenBucket(start), ratelimit.NewTokenBucket(at(8))
			var sent []time.Time
			for ms := range 16_000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				for range 2 {
					if ms < 9000 {
						if _, ok := oldOwner.TakeAtLimit(now, limit); ok {
							sent = append(sent, now)
						}
					}
					if ms >= 8000 {
						if _, ok := newOwner.TakeAtLimit(now, limit); ok {
							sent = append(sent, now)
						}
					}
				}
			}
			Expect(maxInWindow(sent)).To(BeNumerically("<=", ratelimit.MaxRequests(limit)), fmt.Sprint(limit))
		}
	})

	It("get the time until the next one may be sent", func() {
		bucket := ratelimit.NewTokenBucket(start)
		wait, ok := bucket.TakeAtLimit(at(2), 1)
		Expect(ok).To(BeTrue())
		Expect(wait).To(BeZero())
		wait, ok = bucket.TakeAtLimit(at(2.25), 1)
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 750*time.Millisecond, time.Microsecond))
		_, ok = bucket.Take(at(10), 0)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Pushbacks", func() {
	pushbacks := ratelimit.Pushbacks[string]{}.With(at(1), "a", 3*time.Second)

	It("hold for the sender that was asked, until the time is over", func() {
		Expect(pushbacks.Until("a")).To(Equal(at(4)))
		Expect(pushbacks.Until("b")).To(BeZero())
		Expect(ratelimit.Pushbacks[string]{}.Until("a")).To(BeZero())
	})

	// Responses arrive out of order, and each asks for a time of its own.
	It("are not shortened by a later response", func() {
		Expect(pushbacks.With(at(2), "a", time.Second).Until("a")).To(Equal(at(4)))
		Expect(pushbacks.With(at(2), "a", 5*time.Second).Until("a")).To(Equal(at(7)))
		Expect(pushbacks.Until("a")).To(Equal(at(4)), "values are immutable")
	})

	It("are forgotten for one key alone", func() {
		both := pushbacks.With(at(2), "b", time.Second)
		Expect(both.Without("a").Until("a")).To(BeZero())
		Expect(both.Without("a").Until("b")).To(Equal(at(3)))
		Expect(both.Until("a")).To(Equal(at(4)), "values are immutable")
	})

	It("are dropped when they have ended", func() {
		later := pushbacks.With(at(4), "b", time.Second)
		Expect(later.Until("a")).To(BeZero())
		Expect(later.Until("b")).To(Equal(at(5)))
	})

	DescribeTable("are parsed from a number of seconds",
		func(value string, length time.Duration) { Expect(ratelimit.ParsePushback(value)).To(Equal(length)) },
		Entry("a whole number", "3", 3*time.Second), Entry("a fraction", " 0.25 ", 250*time.Millisecond),
		Entry("none", "", time.Duration(0)), Entry("0", "0", time.Duration(0)), Entry("a negative number", "-3", time.Duration(0)),
		Entry("a date", "Thu, 03 Dec 2026 18:00:00 GMT", time.Duration(0)), Entry("not a number", "NaN", time.Duration(0)),
		Entry("infinite", "Inf", ratelimit.MaxPushback), Entry("a year", "31536000", ratelimit.MaxPushback),
	)
})
