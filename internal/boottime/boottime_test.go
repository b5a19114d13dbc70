package boottime_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/boottime"
)

var _ = Describe("Clock", func() {
	It("starts at the time of day it was given and never goes back", func() {
		start := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
		clock := boottime.New(start)
		first := clock.Now()
		Expect(first).To(BeTemporally(">=", start))
		Expect(clock.Now()).To(BeTemporally(">=", first))
	})

	// A machine is suspended for seconds. Times with a monotonic part would be
	// compared by a clock that stood still meanwhile, and a lease that ran out
	// would still look held.
	It("gives times without a monotonic part", func() {
		now := boottime.New(time.Now()).Now()
		Expect(now).To(Equal(now.Round(0)))
	})
})
