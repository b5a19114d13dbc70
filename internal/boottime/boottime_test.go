package boottime_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/boottime"
)

var _ = Describe("Clock", func() {
	It("starts at the given time and never goes back", func() {
		start := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
		clock := boottime.New(start)
		first := clock.Now()
		Expect(first).To(BeTemporally(">=", start))
		Expect(clock.Now()).To(BeTemporally(">=", first))
	})

	// A machine is suspended for seconds. Times with a monotonic reading would be compared by a
	// clock that stopped in the meantime, and an expired lease would still look valid.
	It("returns times without a monotonic reading", func() {
		now := boottime.New(time.Now()).Now()
		Expect(now).To(Equal(now.Round(0)))
	})
})
