package counter_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
)

// concurrently calls a function for each number below count at the same time, and returns the results in order.
func concurrently[T any](count int, call func(i int) T) []T {
	results := make([]T, count)
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			defer GinkgoRecover()
			results[i] = call(i)
		})
	}
	calls.Wait()
	return results
}
