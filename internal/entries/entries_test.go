package entries_test

import (
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/entries"
)

var _ = Describe("Choose", func() {
	const callers = 7000

	var (
		now       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		options   = entries.Options{MaxTTL: 5 * time.Second}
		instances []entries.Instance
	)

	BeforeEach(func() {
		instances = nil
		for i, domain := range []string{"kgn-a", "kgn-b", "kgn-c", "kgn-a", "kgn-b", "kgn-c", "kgn-a"} {
			instances = append(instances, entries.Instance{Name: fmt.Sprintf("entry-%d", i), FailureDomain: domain, ActiveRequests: 10})
		}
	})

	// firsts returns the number of callers whose first instance is each one, and the first
	// instance of each caller.
	firsts := func() (counts map[string]int, byCaller []string) {
		counts = map[string]int{}
		for c := range callers {
			first := entries.Choose(now, strconv.Itoa(c), instances, options).Instances[0].Name
			counts[first]++
			byCaller = append(byCaller, first)
		}
		return counts, byCaller
	}

	It("names instances of different failure domains", func() {
		for c := range 100 {
			answer := entries.Choose(now, strconv.Itoa(c), instances, options)
			domains := map[string]bool{}
			for _, i := range answer.Instances {
				domains[i.FailureDomain] = true
			}
			Expect(domains).To(HaveLen(3))
		}
	})

	It("spreads callers evenly", func() {
		counts, _ := firsts()
		for name, count := range counts {
			Expect(count).To(BeNumerically("~", callers/7, callers/7/8), name)
		}
	})

	It("names no instance that leaves, and moves only its callers, to all others", func() {
		// An instance drains, and its 1000 callers ask again. If all of them got the same
		// other instance, or if all callers were reassigned, the reconnects would delay
		// the requests of everyone.
		_, before := firsts()
		instances[2].Leaving = true
		counts, after := firsts()
		Expect(counts).NotTo(HaveKey("entry-2"))
		moved := map[string]int{}
		for c := range after {
			if before[c] != after[c] {
				Expect(before[c]).To(Equal("entry-2"))
				moved[after[c]]++
			}
		}
		Expect(moved).To(HaveLen(6))
		for name, count := range moved {
			Expect(count).To(BeNumerically("~", callers/7/6, callers/7/6/3), name)
		}
	})

	It("sends fewer callers to an instance with more open requests", func() {
		instances[0].ActiveRequests = 100
		counts, _ := firsts()
		Expect(counts["entry-0"]).To(BeNumerically("<", callers/7*7/10))
		Expect(counts["entry-0"]).To(BeNumerically(">", callers/7*4/10))
	})

	It("spreads the times at which callers ask again", func() {
		// All callers of a lost instance ask within the same second. With the same keep
		// time, they would ask again together every five seconds.
		buckets := map[time.Duration]int{}
		for c := range 1000 {
			keep := entries.Choose(now, strconv.Itoa(c), instances, options).Keep
			Expect(keep).To(BeNumerically("<=", 5*time.Second))
			Expect(keep).To(BeNumerically(">=", 3500*time.Millisecond))
			buckets[keep.Truncate(500*time.Millisecond)]++
		}
		for _, count := range buckets {
			Expect(count).To(BeNumerically("<", 450))
		}
	})

	It("names none if all leave", func() {
		for i := range instances {
			instances[i].Leaving = true
		}
		Expect(entries.Choose(now, "c", instances, options).Instances).To(BeEmpty())
	})
})
