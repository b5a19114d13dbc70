package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ticket(id uint64, service string, priority uint8, startIn time.Duration) admission.Ticket {
	return admission.Ticket{ID: id, Service: service, Pool: "m", Priority: priority, StartBy: start.Add(startIn)}
}

// takeAll returns the IDs of all waiting tickets, in the order in which they are taken.
func takeAll(q *admission.Queue, now time.Time) []uint64 {
	var ids []uint64
	for {
		t, ok := q.Take(now, admission.Priorities-1, []string{"m"})
		if !ok {
			return ids
		}
		ids = append(ids, t.ID)
	}
}

var _ = Describe("Queue", func() {
	var q *admission.Queue

	BeforeEach(func() {
		q = admission.NewQueue(admission.Options{MaxWaiting: 8})
	})

	It("takes tickets by priority, then by StartBy", func() {
		q.Offer(start, ticket(1, "drafts", 3, 3*time.Second), 0)
		q.Offer(start, ticket(2, "drafts", 3, time.Second), 0)
		q.Offer(start, ticket(3, "pings", 0, 5*time.Second), 0)
		Expect(takeAll(q, start)).To(Equal([]uint64{3, 2, 1}))
	})

	It("shares a priority fairly between services, whatever their number of requests", func() {
		// A burst of drafts waits when two summaries arrive. Without fair shares, the
		// summaries would wait for the whole burst.
		for id := range uint64(6) {
			q.Offer(start, ticket(id, "drafts", 2, time.Second), 0)
		}
		q.Offer(start, ticket(10, "summaries", 2, time.Minute), 0)
		q.Offer(start, ticket(11, "summaries", 2, time.Minute), 0)
		Expect(takeAll(q, start)[:4]).To(ConsistOf(uint64(0), uint64(1), uint64(10), uint64(11)))
	})

	It("takes one ticket in seventeen from a lower priority", func() {
		// Pings arrive continuously. With strict priorities, the draft would wait until
		// it is too late.
		q.Offer(start, ticket(1000, "drafts", 5, time.Minute), 0)
		takes := 0
		for id := uint64(0); ; id++ {
			q.Offer(start, ticket(id, "pings", 0, time.Minute), 0)
			t, ok := q.Take(start, admission.Priorities-1, []string{"m"})
			Expect(ok).To(BeTrue())
			takes++
			if t.ID == 1000 {
				break
			}
			Expect(takes).To(BeNumerically("<", 20))
		}
		Expect(takes).To(Equal(17))
	})

	It("refuses at once what the drain will not reach in time", func() {
		// The upstreams start two requests a second. The third request must start within
		// one second and can't: it is refused now, not after that second.
		Expect(q.Offer(start, ticket(1, "drafts", 2, time.Second), 2).Queued).To(BeTrue())
		Expect(q.Offer(start, ticket(2, "drafts", 2, time.Second), 2).Queued).To(BeTrue())
		result := q.Offer(start, ticket(3, "drafts", 2, time.Second), 2)
		Expect(result.Queued).To(BeFalse())
		Expect(result.Refused.Cause).To(Equal(admission.CauseTooLate))
		Expect(result.Refused.RetryAfter).To(Equal(time.Second))
	})

	It("refuses at once a ticket that an earlier one of its service makes too late", func() {
		// Two requests wait, and both can start in time. A third one arrives that must
		// start before them. One of the two can no longer start in time, and is refused
		// now, not when its StartBy has passed.
		q.Offer(start, ticket(1, "drafts", 2, 900*time.Millisecond), 2)
		q.Offer(start, ticket(2, "drafts", 2, 1100*time.Millisecond), 2)
		result := q.Offer(start, ticket(3, "drafts", 2, 600*time.Millisecond), 2)
		Expect(result.Queued).To(BeTrue())
		Expect(result.Displaced.Ticket.ID).To(Equal(uint64(1)))
		Expect(result.Displaced.Cause).To(Equal(admission.CauseTooLate))
		Expect(takeAll(q, start)).To(Equal([]uint64{3, 2}))
	})

	It("tells refused callers to come back one after the other", func() {
		// Many callers are refused at the same moment. With the same retry time, they
		// would retry in one burst, and most would be refused again.
		var last time.Duration
		for id := range uint64(20) {
			result := q.Offer(start, ticket(id, "drafts", 2, 0), 2)
			Expect(result.Refused.RetryAfter).To(BeNumerically(">=", last+500*time.Millisecond))
			last = result.Refused.RetryAfter
		}
	})

	It("displaces a ticket of the lowest priority for a higher one when full", func() {
		for id := range uint64(8) {
			q.Offer(start, ticket(id, "drafts", 3, time.Duration(id+1)*time.Second), 0)
		}
		result := q.Offer(start, ticket(100, "pings", 0, time.Second), 0)
		Expect(result.Queued).To(BeTrue())
		Expect(result.Displaced.Ticket.ID).To(Equal(uint64(7)))
		Expect(result.Displaced.Cause).To(Equal(admission.CauseFull))
		Expect(q.Offer(start, ticket(101, "drafts", 3, time.Minute), 0).Refused.Cause).To(Equal(admission.CauseFull))
		Expect(q.Size()).To(Equal(8))
	})

	It("displaces a ticket of the service that holds most of a full queue", func() {
		for id := range uint64(8) {
			q.Offer(start, ticket(id, "drafts", 3, time.Minute), 0)
		}
		result := q.Offer(start, ticket(100, "summaries", 3, time.Minute), 0)
		Expect(result.Queued).To(BeTrue())
		Expect(result.Displaced.Ticket.Service).To(Equal("drafts"))
	})

	It("refuses a waiting ticket as soon as its StartBy has passed", func() {
		q.Offer(start, ticket(1, "drafts", 2, time.Second), 0)
		q.Offer(start, ticket(2, "drafts", 2, 3*time.Second), 0)
		next, ok := q.NextExpiry()
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal(start.Add(time.Second)))
		refused := q.Expire(next, nil)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Ticket.ID).To(Equal(uint64(1)))
		Expect(q.Size()).To(Equal(1))
	})

	It("refuses tickets early when the pool drains more slowly than expected", func() {
		// The expected capacity is 100 starts a second, but the upstreams start one a
		// second. The last callers are refused after some seconds, not only when their
		// StartBy has passed.
		q = admission.NewQueue(admission.Options{})
		for id := range uint64(60) {
			q.Offer(start, ticket(id, "drafts", 2, 20*time.Second), 100)
		}
		now := start
		for range 6 {
			now = now.Add(time.Second)
			q.Take(now, admission.Priorities-1, []string{"m"})
		}
		refused := q.Expire(now, nil)
		Expect(len(refused)).To(BeNumerically(">", 20))
		Expect(q.Size()).To(BeNumerically(">=", 10))
		for _, r := range refused {
			Expect(r.RetryAfter).To(BeNumerically(">", time.Second), fmt.Sprint(r))
		}
	})

	It("removes the ticket of a caller that has disconnected", func() {
		q.Offer(start, ticket(1, "drafts", 2, time.Second), 0)
		Expect(q.Cancel("m", 1)).To(BeTrue())
		Expect(q.Cancel("m", 1)).To(BeFalse())
		Expect(takeAll(q, start)).To(BeEmpty())
	})
})

var _ = Describe("Limit", func() {
	const goal = 500 * time.Millisecond

	It("grows while first tokens come early, and shrinks at most once a round", func() {
		l := admission.NewLimit(10, 20)
		for i := range 10 {
			l = l.WithFirstToken(start.Add(time.Duration(i)), start, goal/5, goal, 10)
		}
		Expect(l.Value()).To(Equal(10))
		l = l.WithFirstToken(start.Add(10), start, goal/5, goal, 10)
		Expect(l.Value()).To(Equal(11))
		now := start.Add(time.Second)
		decreased := l.WithFirstToken(now, start, 2*goal, goal, 10)
		Expect(decreased.Value()).To(Equal(9))
		Expect(decreased.WithFirstToken(now.Add(1), start, 2*goal, goal, 10)).To(Equal(decreased))
	})

	It("does not grow while little of it is in use", func() {
		l := admission.NewLimit(10, 20)
		Expect(l.WithFirstToken(start, start, goal/5, goal, 1)).To(Equal(l))
	})

	It("reserves room for priority 0", func() {
		l := admission.NewLimit(10, 20)
		Expect(l.Allows(8, 3)).To(BeTrue())
		Expect(l.Allows(9, 3)).To(BeFalse())
		Expect(l.Allows(10, 0)).To(BeTrue())
		Expect(l.Allows(11, 0)).To(BeFalse())
		Expect(admission.NewLimit(1, 1).Allows(0, 7)).To(BeTrue())
	})
})
