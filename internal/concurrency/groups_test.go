package concurrency_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/concurrency"
)

var _ = Describe("Divide", func() {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("upstream-", i))
	}

	It("makes as few groups of at most four as possible", func() {
		for count := 1; count <= 40; count++ {
			sizes := map[int]int{}
			for _, group := range concurrency.Divide(names[:count]) {
				sizes[group]++
			}
			Expect(sizes).To(HaveLen((count+3)/4), "%d upstreams", count)
			Expect(slices.Max(slices.Collect(maps.Values(sizes)))).To(BeNumerically("<=", concurrency.MaxGroupSize))
		}
	})

	// A change of the group changes the owner, which knows nothing of what is in flight.
	It("leaves most upstreams in their groups when one leaves, in whatever order they are listed", func() {
		before, after := concurrency.Divide(names[:12]), concurrency.Divide(names[1:12])
		moved := 0
		for i, group := range after {
			if group != before[i+1] {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<=", 4))
		slices.Reverse(names)
		reversed := concurrency.Divide(names[28:])
		slices.Reverse(reversed)
		Expect(reversed).To(Equal(before))
	})

	// A group of one upstream has no alternative while that fails, and no capacity for bursts.
	It("divides into groups whose sizes differ by one at most", func() {
		for n := 1; n <= 60; n++ {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("u", i)
			}
			sizes := map[int]int{}
			for _, g := range concurrency.Divide(names) {
				sizes[g]++
			}
			smallest, largest := n, 0
			for _, s := range sizes {
				smallest, largest = min(smallest, s), max(largest, s)
			}
			Expect(largest-smallest).To(BeNumerically("<=", 1), "%d upstreams: %v", n, sizes)
		}
	})
})

func BenchmarkDivide(b *testing.B) {
	for _, n := range []int{4, 40, 400} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("u", i)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				concurrency.Divide(names)
			}
		})
	}
}
