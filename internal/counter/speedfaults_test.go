package counter_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
)

var _ = Describe("The learned speed of engines", func() {
	instances := instanceAddresses(4)
	model := modelOwnedBy("pool", instances[0], instances...)
	const long, short = 4500, 300
	var pool counter.UpstreamPool
	var instance counter.Instance

	setUp := func(engines ...string) {
		pool, instance = speedOwner(true, instances, []string{model}, engines...)
	}
	ask := func(now time.Time, from netip.AddrPort, id permit.ID, tokens int, priority uint8, objective time.Duration) []counter.SentMessage {
		request := speedRequest(id, model, tokens, objective)
		request.Priority = priority
		return instance.Receive(now, from, request)
	}

	// Requests that wait for a suitable engine and requests that no longer do share the cached result.
	DescribeTable("takes an idle slow engine after half of its objective, whatever waits for the fast one", func(urgent bool) {
		setUp("fast", "slow")
		grants := map[permit.ID]string{}
		note := func(now time.Time, sent []counter.SentMessage) {
			for _, m := range sent {
				switch m := m.Message.(type) {
				case permit.Granted:
					grants[m.ID] = fmt.Sprint(m.Upstream, " at ", now.Sub(start))
				case permit.Rejected:
					grants[m.ID] = fmt.Sprint("rejected at ", now.Sub(start))
				}
			}
		}
		next := permit.ID(100)
		newcomer := func(now time.Time) {
			if urgent {
				note(now, ask(now, instances[1], next, long, 0, time.Second))
				next++
			}
		}
		note(start, ask(start, instances[1], 99, long, 0, time.Second))
		note(start, ask(start, instances[2], 1, long, 1, 2*time.Second))
		for at := 4 * time.Millisecond; at < 2900*time.Millisecond; at += 4 * time.Millisecond {
			now := start.Add(at)
			if at%(100*time.Millisecond) == 0 {
				// The owner of another model keeps the fast engine busy.
				pool.PeerSent(now, "fast", long/2, 1)
			}
			if at >= 900*time.Millisecond && (at-900*time.Millisecond)%(300*time.Millisecond) == 0 {
				newcomer(now)
			}
			if at >= 1200*time.Millisecond && (at-940*time.Millisecond)%(300*time.Millisecond) == 0 {
				// The earlier one is served elsewhere, or its caller leaves.
				instance.Receive(now, instances[1], permit.Release{ID: next - 2})
			}
			note(now, instance.Dispatch(now))
		}
		AddReportEntry("grants", fmt.Sprint(grants))
		GinkgoWriter.Println(grants)
		Expect(grants[1]).To(HavePrefix("slow at "))
	}, Entry("alone, while the fast one is busy", false), Entry("beside urgent requests", true))

	// The permits of instances that are gone must not make a healthy engine count as slow.
	It("keeps the factor of a healthy engine when two instances are lost", func() {
		setUp("mean")
		ask(start, instances[1], 1, short, 0, time.Second)
		ask(start.Add(50*time.Millisecond), instances[2], 1, short, 0, time.Second)
		instance.SetInstances(start.Add(100*time.Millisecond), []netip.AddrPort{instances[0], instances[3]})
		for i := range 40 {
			now := start.Add(time.Duration(i+2) * 200 * time.Millisecond)
			ask(now, instances[3], permit.ID(i+10), short, 0, time.Second)
			instance.Receive(now.Add(time.Second), instances[3], permit.Release{
				ID: permit.ID(i + 10), Outcome: permit.Succeeded, FirstEventTime: 40 * time.Millisecond, RunTime: 900 * time.Millisecond, Events: 25, StreamTime: 860 * time.Millisecond,
			})
			instance.ExpirePermits(now.Add(time.Second))
			GinkgoWriter.Println(now.Sub(start), pool.EngineFactor(now.Add(time.Second), "mean"))
		}
		Expect(pool.EngineFactor(start.Add(9500*time.Millisecond), "mean")).To(BeNumerically("<", 1.5))
	})

	// Callers need not declare the length of the answer.
	It("keeps the factor of an engine whose requests declare no answer tokens", func() {
		setUp("mean")
		for n, from := range instances[1:3] {
			request := speedRequest(1, model, 100, time.Second)
			request.AnswerTokens = 0
			instance.Receive(start, from, request)
			instance.Dispatch(start.Add(time.Duration(n+1) * 100 * time.Millisecond))
		}
		now := start.Add(900 * time.Millisecond)
		instance.ExpirePermits(now)
		Expect(pool.EngineFactor(now, "mean")).To(BeNumerically("<", 1.5))
	})

	// A batch request holds for an engine without headroom for it, and that counts as lack of capacity.
	It("does not reject batch requests while a slow engine has headroom", func() {
		setUp("fast", "slow")
		outcome := map[permit.ID]string{}
		for at := time.Duration(0); at < 9*time.Second; at += 4 * time.Millisecond {
			now := start.Add(at)
			var sent []counter.SentMessage
			if at%(100*time.Millisecond) == 0 {
				pool.PeerActive(now, "fast", 10, 1)
				pool.PeerActive(now, "slow", 4, 1)
			}
			if at%(500*time.Millisecond) == 0 {
				sent = ask(now, instances[1], permit.ID(at/(500*time.Millisecond)+1), long, 1, 10*time.Second)
			}
			for _, m := range append(sent, instance.Dispatch(now)...) {
				switch m := m.Message.(type) {
				case permit.Granted:
					outcome[m.ID] = fmt.Sprint(m.Upstream, " at ", at)
				case permit.Rejected:
					outcome[m.ID] = fmt.Sprint("rejected at ", at)
				}
			}
		}
		GinkgoWriter.Println(outcome)
		Expect(outcome).NotTo(ContainElement(HavePrefix("rejected")))
	})
})
