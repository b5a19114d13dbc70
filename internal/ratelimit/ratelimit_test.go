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
	named := func(limit ratelimit.Limit) ratelimit.Said { return ratelimit.Named{Limit: limit} }
	limited := ratelimit.Known{}.With(at(2), at(1), named(1.1))

	DescribeTable("follows what the upstream says last",
		func(now, sent float64, said ratelimit.Said, limit float64, inForce bool) {
			got, ok := limited.With(at(now), at(sent), said).Limit()
			Expect(ok).To(Equal(inForce))
			Expect(float64(got)).To(Equal(limit))
		},
		Entry("a later answer without it ends it", 4.0, 3.0, ratelimit.Unnamed{}, 0.0, false),
		// A long answer began before the need and ends after: it says nothing of now.
		Entry("an answer to a request from before does not", 4.0, 1.5, ratelimit.Unnamed{}, 1.1, true),
		Entry("a later answer raises it", 4.0, 3.0, named(5), 5.0, true),
		Entry("an answer to a request from before does not raise it", 4.0, 1.5, named(5), 1.1, true),
		Entry("any answer lowers it", 4.0, 1.5, named(0), 0.0, true),
		Entry("what is no limit changes nothing", 4.0, 3.0, ratelimit.Unclear{Text: "many"}, 1.1, true),
	)

	DescribeTable("takes no number for a limit that can't be one",
		func(limit float64, valid bool) { Expect(ratelimit.Limit(limit).Valid()).To(Equal(valid)) },
		Entry("0", 0.0, true), Entry("a fraction", 0.3, true), Entry("a negative one", -1.0, false),
		Entry("not a number", math.NaN(), false), Entry("1e300", 1e300, false), Entry("infinite", math.Inf(1), false),
	)
})

func sorted(times []time.Time) []time.Time {
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// most returns the most of some times that lie within one window.
func most(times []time.Time) int {
	found := 0
	for i := range times {
		count := 0
		for _, other := range times[i:] {
			if other.Sub(times[i]) < ratelimit.Window {
				count++
			}
		}
		found = max(found, count)
	}
	return found
}

var _ = Describe("The requests of all senders", func() {
	limits := []ratelimit.Limit{0, 0.3, 1.1, 200}

	It("stay within what the upstream bears, the first moment and bursts after rests included", func() {
		for _, limit := range limits {
			pace := ratelimit.NewPace(start)
			var sent []time.Time
			for millis := range 20_000 {
				now := start.Add(time.Duration(millis) * time.Millisecond)
				resting := millis > 6000 && millis < 9000
				for range 3 {
					if _, ok := pace.TakeOwned(now, limit); !resting && ok {
						sent = append(sent, now)
					}
				}
			}
			Expect(most(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), fmt.Sprint(limit))
			Expect(len(sent)).To(BeNumerically(">=", int(float64(limit)*14)), "the limit is used")
			Expect(len(sent)).To(BeNumerically(">=", 5), "the end of the need is noticed at any limit")
		}
	})

	// The owner is lost, and each sender goes on by itself.
	It("stay within it without an owner", func() {
		for _, senders := range []int{1, 3, 7, 86, 291} {
			for _, limit := range limits {
				var sent []time.Time
				for range senders {
					pace := ratelimit.NewPace(start)
					for millis := 0; millis < 12_000; millis += 20 {
						now := start.Add(time.Duration(millis) * time.Millisecond)
						if _, ok := pace.Take(now, ratelimit.Share(limit, senders)); ok {
							sent = append(sent, now)
						}
					}
				}
				Expect(most(sorted(sent))).To(BeNumerically("<=", ratelimit.Allowed(limit)), fmt.Sprint(senders, limit))
			}
		}
	})

	// The owner moves, and for a second two instances take themselves for it.
	It("stay within it when the owner changes", func() {
		for _, limit := range limits {
			before, after := ratelimit.NewPace(start), ratelimit.NewPace(at(8))
			var sent []time.Time
			for millis := range 16_000 {
				now := start.Add(time.Duration(millis) * time.Millisecond)
				for range 2 {
					if millis < 9000 {
						if _, ok := before.TakeOwned(now, limit); ok {
							sent = append(sent, now)
						}
					}
					if millis >= 8000 {
						if _, ok := after.TakeOwned(now, limit); ok {
							sent = append(sent, now)
						}
					}
				}
			}
			Expect(most(sent)).To(BeNumerically("<=", ratelimit.Allowed(limit)), fmt.Sprint(limit))
		}
	})

	It("are told when the next may be sent", func() {
		pace := ratelimit.NewPace(start)
		wait, ok := pace.TakeOwned(at(2), 1)
		Expect(ok).To(BeTrue())
		Expect(wait).To(BeZero())
		wait, ok = pace.TakeOwned(at(2.25), 1)
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 750*time.Millisecond, time.Microsecond))
		_, ok = pace.Take(at(10), 0)
		Expect(ok).To(BeFalse())
	})
})
