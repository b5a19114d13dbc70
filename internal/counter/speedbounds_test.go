package counter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
)

var _ = Describe("A placement by speed", func() {
	instances := instanceAddresses(4)
	model := modelOwnedBy("pool", instances[0], instances...)
	DescribeTable("a request is granted an idle engine at once", func(slots int, objective, gap time.Duration, tokens int, factor float64) {
		pool := counter.NewUpstreamPool("here", lease)
		instance := counter.NewInstance(pool, instances[0], instances)
		instance.SetRoutes(speedRoutes(true))
		for _, name := range []string{"x", "y"} {
			engine := engineRecord(name, "here", start, model)
			engine.Announcement.Load.MaxRunning = slots
			pool.Apply(start, engine)
			pool.SetEngineFactor(start, name, factor)
		}
		got := ""
		for at := time.Duration(0); at < time.Second && got == ""; at += 4 * time.Millisecond {
			var sent []counter.SentMessage
			if at == 0 {
				request := speedRequest(1, model, tokens, objective)
				request.MaxEventGap = gap
				sent = instance.Receive(start, instances[1], request)
			}
			for _, m := range append(sent, instance.Dispatch(start.Add(at))...) {
				if _, ok := m.Message.(permit.Granted); ok {
					got = fmt.Sprint(at)
				}
			}
		}
		Expect(got).To(Equal("0s"))
	},
		Entry("unknown slots", 0, time.Second, 300*time.Millisecond, 1000, 1.0),
		Entry("unknown slots, batch", 0, 10*time.Second, 300*time.Millisecond, 1000, 1.0),
		Entry("one slot, batch", 1, 10*time.Second, 300*time.Millisecond, 1000, 1.0),
		Entry("no objective", 12, time.Duration(0), 300*time.Millisecond, 1000, 1.0),
		Entry("no gap", 12, time.Second, time.Duration(0), 1000, 1.0),
		Entry("no objective, no gap", 12, time.Duration(0), time.Duration(0), 9000, 4.0),
		Entry("long prompt on slowest engines", 12, time.Second, 300*time.Millisecond, 9000, 4.0),
		Entry("batch, long prompt on slowest engines", 12, 10*time.Second, 300*time.Millisecond, 9000, 4.0),
		Entry("gap of 1 ms", 12, time.Second, time.Millisecond, 1000, 4.0),
	)
})
