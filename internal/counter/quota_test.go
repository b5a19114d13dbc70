package counter_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quota"
)

// quotaService is the service name under which quotas have owners.
const quotaService = "\x00quota"

var _ = Describe("The instance that owns a quota", func() {
	instances := instanceAddresses(71)
	owner, peer := instances[7], instances[9]
	name := modelOwnedBy(quotaService, owner, instances...)
	var instance counter.Instance

	BeforeEach(func() {
		instance = counter.NewInstance(counter.NewUpstreamPool("here", lease), owner, instances)
	})

	// ask requests units of a quota of 1,000 a second and a burst of 1,000.
	ask := func(now time.Time, from netip.AddrPort, id permit.ID, need float64) permit.Message {
		GinkgoHelper()
		sent := instance.Receive(now, from, permit.QuotaRequest{
			ID: id, Workspace: name, PerSecond: 1000, Burst: 1000, Need: need,
		})
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].To).To(Equal(from))
		return sent[0].Message
	}

	It("grants to all instances together no more than the quota", func() {
		now := start
		total := 0.0
		for i := range 8000 {
			now = now.Add(time.Millisecond)
			if m, ok := ask(now, instances[10+i%60], permit.ID(i), 100).(permit.QuotaGranted); ok {
				total += m.Units
			}
		}
		// A new owner starts with 450 units: half of a tenth of 9,000.
		Expect(total).To(BeNumerically("~", 8450, 100))
	})

	// Guards against charging a request twice whose answer was lost.
	It("repeats its decision", func() {
		Expect(ask(start, peer, 1, 300)).To(Equal(permit.QuotaGranted{ID: 1, Units: 300, Scarce: true}))
		Expect(ask(start.Add(40*time.Millisecond), peer, 1, 300)).To(Equal(permit.QuotaGranted{ID: 1, Units: 300, Scarce: true}))
		Expect(ask(start.Add(40*time.Millisecond), peer, 2, 190)).To(Equal(permit.QuotaGranted{ID: 2, Units: 190, Scarce: true}))
	})

	It("tells when to come back", func() {
		ask(start, peer, 1, 450)
		Expect(ask(start, peer, 2, 200)).To(Equal(permit.QuotaDenied{ID: 2, Wait: 200 * time.Millisecond}))
		Expect(ask(start.Add(200*time.Millisecond), peer, 3, 200)).To(Equal(permit.QuotaGranted{ID: 3, Units: 200, Scarce: true}))
	})

	It("sends others to its successor while it drains", func() {
		instance.Drain()
		Expect(ask(start, peer, 1, 100)).To(Equal(permit.ShuttingDown{ID: 1}))
	})

	// Guards against twice the quota: a former owner's bucket fills while its successor grants.
	It("starts anew if it becomes the owner again", func() {
		ask(start, peer, 1, 450)
		others := append([]netip.AddrPort{}, instances[:7]...)
		others = append(others, instances[8:]...)
		instance.SetInstances(start, others)
		later := start.Add(10 * time.Second)
		instance.SetInstances(later, instances)
		Expect(ask(later, peer, 2, 451)).To(BeAssignableToTypeOf(permit.QuotaDenied{}))
		Expect(ask(later, peer, 3, 450)).To(Equal(permit.QuotaGranted{ID: 3, Units: 450, Scarce: true}))
	})

	// Guards against more than the quota: another instance grants while the owner stands still.
	DescribeTable("grants nothing for the time in which it stood still, whoever asks first",
		func(wake func(time.Time)) {
			instance.Wake(start)
			ask(start, peer, 1, 450)
			later := start.Add(time.Second)
			wake(later)
			Expect(ask(later, peer, 2, 1)).To(BeAssignableToTypeOf(permit.QuotaDenied{}))
			instance.Wake(later)
			Expect(ask(later.Add(200*time.Millisecond), peer, 3, 200)).To(Equal(permit.QuotaGranted{ID: 3, Units: 200, Scarce: true}))
		},
		Entry("a caller", func(time.Time) {}),
		Entry("nobody before it wakes", func(now time.Time) { instance.Wake(now) }),
	)

	It("grants the quota although it wakes late", func() {
		instance.Wake(start)
		ask(start, peer, 1, 450)
		now := start
		for id := permit.ID(2); id < 10; id++ {
			now = now.Add(200 * time.Millisecond)
			instance.Wake(now)
			Expect(ask(now, peer, id, 200)).To(Equal(permit.QuotaGranted{ID: id, Units: 200, Scarce: true}))
		}
	})

	// Guards against more than the quota: the owner, which does not answer now and then, grants the
	// whole rate to the others.
	It("grants no more than the tolerated excess however often it stands in for the owner", func() {
		stranger := modelOwnedBy(quotaService, instances[3], instances...)
		total := 0.0
		now := start
		for id := permit.ID(1); now.Sub(start) < 8*time.Second; id++ {
			request := permit.QuotaRequest{ID: id, Workspace: stranger, PerSecond: 1000, Burst: 1000, Need: 50}
			if m, ok := instance.Receive(now, peer, request)[0].Message.(permit.QuotaGranted); ok {
				total += m.Units
			}
			now = now.Add(20 * time.Millisecond)
			if id%10 == 0 {
				now = now.Add(time.Second)
			}
		}
		Expect(total).To(BeNumerically("<=", 900), "a tenth of 8 s and the burst")
	})

	// Guards against twice the quota: a peer that doesn't reach the owner asks the next one.
	It("starts anew each time that it stands in for the owner", func() {
		stranger := modelOwnedBy(quotaService, instances[3], instances...)
		request := permit.QuotaRequest{ID: 1, Workspace: stranger, PerSecond: 1000, Burst: 1000, Need: 450}
		granted := instance.Receive(start, peer, request)[0].Message
		Expect(granted).To(Equal(permit.QuotaGranted{ID: 1, Units: 450, Scarce: true}))
		request.ID, request.Need = 2, 1000
		denied := instance.Receive(start.Add(10*time.Second), peer, request)[0].Message
		Expect(denied).To(BeAssignableToTypeOf(permit.QuotaDenied{}))
	})
})

var _ = Describe("The instances that share a quota", func() {
	instances := instanceAddresses(8)
	owner := instances[2]
	name := modelOwnedBy(quotaService, owner, instances...)
	limit := quota.Limit{PerSecond: 1000, Burst: 1000}
	const (
		window = 8 * time.Second
		need   = 50
		// pressInterval is the time between two requests, which is a fifth of the time that the quota allows.
		pressInterval = 10 * time.Millisecond
		// tolerated is the quota of a window and a tenth more.
		tolerated = 9900
	)
	var network *counter.QuotaNetwork

	// pressAt requests more than the quota for a while, at some instances in turn, and returns the granted units.
	pressAt := func(ctx context.Context, length time.Duration, pressed ...netip.AddrPort) float64 {
		total := 0.0
		for i := range int(length / pressInterval) {
			if network.Take(ctx, pressed[i%len(pressed)], name, limit, need) {
				total += need
			}
			network.Advance(pressInterval)
		}
		return total
	}
	press := func(ctx context.Context, length time.Duration) float64 { return pressAt(ctx, length, instances...) }

	BeforeEach(func(ctx SpecContext) {
		network = counter.NewQuotaNetwork(start, instances)
		Expect(network.Take(ctx, instances[0], name, limit, need)).To(BeTrue())
		network.Advance(window)
	}, NodeTimeout(specTimeout))

	It("grant the quota and what was left of its burst", func(ctx SpecContext) {
		Expect(press(ctx, window)).To(BeNumerically("~", 9000, 200))
	}, NodeTimeout(specTimeout))

	// Guards against more than the quota: the owner starts anew with each restart, as does each instance that
	// stands in for it, and none knows what the one before granted.
	DescribeTable("grant no more than the tolerated excess although the owner restarts",
		func(ctx SpecContext, restarts int, down time.Duration) {
			up := window/time.Duration(restarts) - down
			total := 0.0
			for range restarts {
				total += press(ctx, up/2)
				network.Kill(owner)
				total += press(ctx, down)
				network.Start(owner)
				total += press(ctx, up/2)
			}
			Expect(total).To(BeNumerically("<=", tolerated))
			Expect(total).To(BeNumerically(">=", 8000), "most of the quota is granted")
		},
		Entry("once", SpecTimeout(specTimeout), 1, 500*time.Millisecond),
		Entry("once, after a while", SpecTimeout(specTimeout), 1, 2*time.Second),
		Entry("again and again", SpecTimeout(specTimeout), 4, 500*time.Millisecond),
	)

	// setListed sets whether the others have the owner in their lists.
	others := slices.DeleteFunc(slices.Clone(instances), func(a netip.AddrPort) bool { return a == owner })
	setListed := func(listed bool) {
		all := others
		if listed {
			all = instances
		}
		for _, at := range others {
			network.SetInstances(at, all)
		}
	}

	// The owner does not know that another instance granted meanwhile until somebody asks it again.
	DescribeTable("grant no more than the tolerated excess although the owner stands still",
		func(ctx SpecContext, pauses int, length time.Duration, listed bool) {
			up := window/time.Duration(pauses) - length
			total := 0.0
			for range pauses {
				total += press(ctx, up/2)
				network.Freeze(owner)
				setListed(listed)
				total += pressAt(ctx, length, instances[:3]...)
				network.Thaw(owner)
				total += press(ctx, up/4)
				setListed(true)
				total += press(ctx, up/4)
			}
			Expect(total).To(BeNumerically("<=", tolerated))
		},
		Entry("once", SpecTimeout(specTimeout), 1, 500*time.Millisecond, true),
		Entry("for so long that the others do not list it", SpecTimeout(specTimeout), 1, 4*time.Second, false),
		Entry("again and again", SpecTimeout(specTimeout), 4, 500*time.Millisecond, false),
	)

	// The others grant the quota meanwhile.
	DescribeTable("grant while one of them is cut off no more to its callers than",
		func(ctx SpecContext, isolated netip.AddrPort, granted float64) {
			network.SetCutOff(isolated, true)
			Expect(pressAt(ctx, time.Second, isolated)).To(BeNumerically("<=", granted))
		},
		Entry("the quota at the owner", SpecTimeout(specTimeout), owner, limit.Burst+limit.PerSecond),
		Entry("half of the tolerated excess and a share of the quota at another", SpecTimeout(specTimeout), instances[0], 450*9.0/8+limit.PerSecond/8),
	)
})

var _ = Describe("A request of a workspace", func() {
	status := func(ctx SpecContext, p *testProxy, key, path string) int {
		response, _, err := p.sendWithKey(ctx, key, http.MethodPost, path, "")
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}
	var workspaces chan string
	var p *testProxy

	BeforeEach(func(ctx SpecContext) {
		workspaces = make(chan string, 8)
		p = newTestProxy(newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			workspaces <- r.Header.Get("Spec-Workspace")
			succeed(w, r)
		}))
		p.control.commit(withKeys)
		Eventually(func() int { return status(ctx, p, "nobody's", "/book/7") }).WithTimeout(specTimeout).Should(Equal(http.StatusUnauthorized))
		for len(workspaces) > 0 {
			<-workspaces
		}
	}, NodeTimeout(2*specTimeout))

	It("runs under its name, and not beyond its quota", func(ctx SpecContext) {
		Expect(status(ctx, p, "clerk-key", "/book/7")).To(Equal(http.StatusOK))
		Expect(workspaces).To(Receive(Equal("clerks")))
		response, _, err := p.sendWithKey(ctx, "clerk-key", http.MethodPost, "/book/7", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(workspaces).To(BeEmpty())
	}, NodeTimeout(specTimeout))

	// Guards against worth lost below the quota: a refused request comes back and is charged again.
	It("costs nothing if no upstream runs it", func(ctx SpecContext) {
		Expect(status(ctx, p, "clerk-key", "/empty/7")).To(Equal(http.StatusServiceUnavailable))
		Expect(status(ctx, p, "clerk-key", "/book/7")).To(Equal(http.StatusOK))
	}, NodeTimeout(specTimeout))

	// Guards against more than the quota: the upstream goes on with a request whose caller has left.
	It("costs its quota if its caller leaves while an upstream has it", func(ctx SpecContext) {
		reached := make(chan struct{})
		p.upstreams[0].server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			close(reached)
			<-r.Context().Done()
		})
		calling, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(left)
			_, _, err := p.sendWithKey(calling, "clerk-key", http.MethodPost, "/book/7", "")
			Expect(err).To(HaveOccurred())
		}()
		Eventually(ctx, reached).Should(BeClosed())
		leave()
		Eventually(ctx, left).Should(BeClosed())
		Eventually(ctx, p.proxy.ActiveRequests).Should(BeZero())
		Expect(status(ctx, p, "clerk-key", "/book/7")).To(Equal(http.StatusTooManyRequests))
	}, NodeTimeout(specTimeout))

	It("needs no key for a public route", func(ctx SpecContext) {
		Expect(status(ctx, p, "", "/look/7")).To(Equal(http.StatusOK))
		Expect(workspaces).To(Receive(BeEmpty()))
	}, NodeTimeout(specTimeout))

	// Guards against a final denial by an instance that lags: the key may have been added since.
	It("is not denied for good by routes that may be old", func(ctx SpecContext) {
		p.control.setHasLeader(false)
		Eventually(func() int { return status(ctx, p, "new-key", "/book/7") }).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))
		p.control.commit(withNewKeys)
		p.control.setHasLeader(true)
		Eventually(func() int { return status(ctx, p, "new-key", "/book/7") }).WithTimeout(specTimeout).Should(Equal(http.StatusOK))
		Expect(status(ctx, p, "clerk-key", "/book/7")).To(Equal(http.StatusUnauthorized), "the key was removed")
	}, NodeTimeout(3*specTimeout))

	// Guards against a removed key that an instance accepts after it was frozen.
	It("is not run with a key that was removed while the instance was frozen", func(ctx SpecContext) {
		p.control.commit(withNewKeys)
		p.clockOffset.Store(int64(10 * time.Second))
		Expect(status(ctx, p, "clerk-key", "/book/7")).To(Equal(http.StatusUnauthorized))
		Expect(workspaces).To(BeEmpty())
	}, NodeTimeout(specTimeout))
})
