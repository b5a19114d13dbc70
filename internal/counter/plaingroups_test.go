package counter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/permit"
)

var _ = Describe("The owner of a group of plain upstreams", func() {
	// Requests of 2.5 s run longer than their permits last. The owner would send twice as many as the
	// upstreams have slots, and learn no work time, since the releases come after the permits expired.
	It("counts requests that run for longer than 2 s", func() {
		owner := newPlainOwner()
		long := func(m *permit.Request) { m.Objective, m.Remaining = 3*time.Second, 10*time.Second }
		for id := permit.ID(1); id <= 28; id++ {
			owner.request(id, long)
		}
		owner.ExpirePermits(start.Add(2100 * time.Millisecond))
		Expect(owner.request(101, long)[0].Message).To(BeAssignableToTypeOf(permit.Queued{}))
	})

	// The expected time of each request is added to the prefill backlog of the upstream, which does not
	// shrink. It is sent with each grant, and a duration above the maximum makes the message invalid.
	It("sends grants that can be decoded after hours of load", func() {
		owner := newPlainOwner()
		now := start
		for id := permit.ID(1); id <= 300_000; id++ {
			now = now.Add(10 * time.Millisecond)
			if sent := owner.requestAt(now, id); len(sent) != 1 {
				Fail(fmt.Sprintf("the grant of request %d cannot be decoded", id))
			}
			owner.releaseAt(now.Add(5*time.Millisecond), id, permit.Succeeded)
		}
	})

	// A request that this instance places by its share, all of which is used, would keep those of peers,
	// for which this instance is the owner, from free upstreams.
	It("grants a peer's request while one of its own waits for its share", func() {
		owner := newPlainOwner()
		for id := permit.ID(1); id <= 16; id++ {
			owner.request(id)
		}
		owner.EnqueuePlainAlone(start, plainObjective/2)
		sent := append(owner.request(101), owner.Dispatch(start.Add(4*time.Millisecond))...)
		Expect(sent[len(sent)-1].Message).To(BeAssignableToTypeOf(permit.Granted{}))
	})
})
