package concurrency_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/concurrency"
)

var _ = Describe("Divide", func() {
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
