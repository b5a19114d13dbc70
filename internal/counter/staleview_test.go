package counter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

// cutOff is the isolation of an instance that neither hears of others nor is heard.
var cutOff = isolation{calls: true, sent: true, received: true}

// sendPart sends a request with a part in its prompt to one instance and returns the status.
func (g *peerGroup) sendPart(instance int, body, part string) int {
	request := httptest.NewRequest(http.MethodPost, "http://spec.test/write/x", strings.NewReader(body))
	request.Header.Set(idHeader, "r1")
	recorder := httptest.NewRecorder()
	g.peers[instance].proxy.ServeRequest(recorder, request, counter.Call{ID: "r1", Timeout: 5 * time.Second, PromptParts: []string{part}})
	return recorder.Code
}

// partsTriedBy returns two parts on whose trials one of the given instances decides.
func partsTriedBy(owner netip.AddrPort, among ...netip.AddrPort) (part, other string) {
	owners := permit.NewOwners(among)
	for i := 0; ; i++ {
		part, other = fmt.Sprint("part-", i), fmt.Sprint("other-", i)
		trial := quarantine.Ruling{Digests: []quarantine.Digest{quarantine.PartDigest(part), quarantine.PartDigest(other)}}.Trial()
		if found, _ := owners.Of("\x00trial", fmt.Sprintf("%x", uint64(trial.ID)), func(netip.AddrPort) bool { return true }); found == owner {
			return part, other
		}
	}
}

// announceQuarantine makes the control instance report an entry, and waits until all instances have applied it.
func (g *peerGroup) announceQuarantine(entry quarantine.Entry) {
	GinkgoHelper()
	g.control.mu.Lock()
	g.control.quarantine = &quarantine.News{Revision: 1, Mark: 1, Quarantined: []quarantine.Entry{entry}}
	g.control.mu.Unlock()
	for _, p := range g.peers {
		Eventually(func() uint64 { return g.control.quarantineMarkOf(p.address) }, specTimeout).Should(Equal(uint64(1)))
	}
}

// newTrialGroup starts two instances and an upstream, and returns a part in quarantine whose requests are sent as
// trials on which one of the instances decides.
func newTrialGroup(owner int) (g *peerGroup, u *upstream, part string) {
	GinkgoHelper()
	g, u = newPeerGroup(2), newFakeUpstream(succeed)
	g.control.announce("u", u.address())
	g.waitUntilKnown(1)
	part, other := partsTriedBy(g.peers[owner].address, g.addresses()...)
	g.announceQuarantine(quarantine.Entry{
		Digest: quarantine.PartDigest(part), Also: []quarantine.Digest{quarantine.PartDigest(other)}, Part: true, TrialIn: time.Hour,
	})
	return g, u, part
}

// quarantineMarkOf returns the mark of the news that an instance stated in its latest sync.
func (c *fakeControl) quarantineMarkOf(instance netip.AddrPort) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sync := range slices.Backward(c.syncs) {
		if sync.From.Name == instance.String() {
			return sync.Quarantine
		}
	}
	return 0
}

var _ = Describe("An instance that stood still", func() {
	It("refuses a request that was quarantined meanwhile", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.control.mu.Lock()
		p.control.quarantine = &quarantine.News{Revision: 1, Mark: 1, Quarantined: []quarantine.Entry{
			{Digest: identityOf(http.MethodPost, "/book/x", "crash").Digest()},
		}}
		p.clockOffset.Store(int64(longerThanLease))
		p.control.mu.Unlock()
		response, _, err := p.send(ctx, http.MethodPost, "/book/x", "crash")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(p.arrivals()).To(BeZero())
	}, SpecTimeout(specTimeout))

	It("sends a suspected request only as a trial that its owner allows", func() {
		g, u, part := newTrialGroup(1)
		g.control.ignore(g.peers[0].address)
		g.clock.advance(longerThanLease)
		Eventually(func() int { return g.sendPart(0, "one", part) }, specTimeout).Should(Equal(http.StatusOK), "once the owner has synced")
		Expect(g.sendPart(0, "two", part)).To(Equal(http.StatusServiceUnavailable))
		g.peers[0].apply(cutOff)
		g.clock.advance(quarantine.TrialInterval)
		Expect(g.sendPart(0, "three", part)).To(Equal(http.StatusServiceUnavailable))
		Expect(u.count()).To(Equal(1))
	})

	// Another one may own the trial by now, and the result of an earlier trial may be unknown here.
	It("and owns a trial allows none while no control instance answers", func() {
		g, u, part := newTrialGroup(0)
		g.peers[0].apply(isolation{calls: true})
		g.clock.advance(longerThanLease)
		for n := range g.peers {
			Expect(g.sendPart(n, "one", part)).To(Equal(http.StatusServiceUnavailable), "at %d", n)
		}
		Expect(u.count()).To(BeZero())
	})

	// Its reports wait for a control instance, and nothing is refused by them.
	It("sends a request that crashes upstreams to no more than three while it is cut off", func() {
		g := newPeerGroup(1)
		for _, name := range []string{"u1", "u2", "u3", "u4", "u5"} {
			u := newFakeUpstream(succeed)
			crashOn(u, "crash")
			g.control.announce(name, u.address())
		}
		g.waitUntilKnown(5)
		g.peers[0].apply(cutOff)
		g.clock.advance(longerThanLease)
		ran := 0
		for range 5 {
			if g.sendPart(0, "crash", "part") == http.StatusBadGateway {
				ran++
			}
			g.clock.advance(time.Second)
		}
		Expect(ran).To(BeNumerically("<=", 3))
	})

	It("reports a crash once a control instance answers", func() {
		g := newPeerGroup(1)
		u := newFakeUpstream(succeed)
		crashOn(u, "crash")
		g.control.announce("u", u.address())
		g.waitUntilKnown(1)
		g.peers[0].apply(cutOff)
		Expect(g.sendPart(0, "crash", "part")).To(Equal(http.StatusBadGateway))
		g.clock.advance(longerThanLease)
		Consistently(g.control.crashReports).WithTimeout(150 * time.Millisecond).Should(BeEmpty())
		g.peers[0].apply(isolation{})
		Eventually(g.control.crashReports, specTimeout).Should(HaveLen(1))
	})

	It("reports a process that was replaced less than 10 s after a response broke off", func() {
		g := newPeerGroup(1)
		u := newFakeUpstream(closeWithoutResponse)
		g.control.announce("u", u.address())
		g.waitUntilKnown(1)
		Expect(g.sendPart(0, "crash", "part")).To(Equal(http.StatusBadGateway))
		g.peers[0].apply(cutOff)
		g.control.announceRestart("u", u.address())
		g.clock.advance(9 * time.Second)
		g.peers[0].apply(isolation{})
		Eventually(g.control.crashReports, specTimeout).Should(HaveLen(1))
	})

	It("exceeds a limit that was stated to others by its requests until the first response", func() {
		g := newPeerGroup(2)
		u := newLimitedUpstream(g.clock)
		g.control.announce("u", u.address())
		g.waitUntilKnown(1)
		g.peers[0].apply(cutOff)
		u.setLimit("0")
		Expect(g.sendTo(1, "/short/", "")).To(Equal(http.StatusOK))
		g.clock.advance(longerThanLease)
		from := g.clock.Now()
		Expect(g.sendFor(500*time.Millisecond, "/short/", "", 0)).To(Equal(map[int]int{http.StatusOK: 1, http.StatusServiceUnavailable: 9}))
		Expect(u.arrivalsSince(from)).To(HaveLen(1))
	})

	It("keeps a limit that has ended until the first response", func() {
		g := newPeerGroup(2)
		u := newLimitedUpstream(g.clock)
		g.control.announce(modelOwnedBy(counter.LimitOwnerService, g.peers[0].address, g.addresses()...), u.address())
		g.waitUntilKnown(1)
		u.setLimit("1.1")
		Expect(g.sendTo(0, "/short/", "")).To(Equal(http.StatusOK))
		g.peers[0].apply(cutOff)
		u.setLimit("")
		g.clock.advance(longerThanLease)
		g.sendFor(3*time.Second, "/short/", "", 0)
		Expect(g.sendFor(500*time.Millisecond, "/short/", "", 0)).To(Equal(map[int]int{http.StatusOK: 10}))
	})

	It("and owns a limit allows at once what it allows at any time", func() {
		instances := instanceAddresses(3)
		pool := counter.NewUpstreamPool("here", lease)
		instance := counter.NewInstance(pool, instances[0], instances)
		addSmallEngine(pool, "e")
		const limit = 5
		id := permit.ID(0)
		allow := func(from time.Time) (allowed int) {
			for now := from; now.Before(from.Add(ratelimit.Window)); now = now.Add(20 * time.Millisecond) {
				id++
				sent := instance.Receive(now, instances[1], permit.SendRequest{ID: id, Upstream: "e", Limit: limit})
				if _, ok := sent[0].Message.(permit.SendAllowed); ok {
					allowed++
				}
			}
			return allowed
		}
		allow(start)
		Expect(allow(start.Add(longerThanLease))).To(BeNumerically("<=", limit*ratelimit.Window.Seconds()+1))
	})

	It("and owns a model grants each slot at most once more when its permits have expired", func() {
		const slots = 12
		instances := instanceAddresses(3)
		model := modelOwnedBy("pool", instances[0], instances...)
		pool := counter.NewUpstreamPool("here", lease)
		instance := counter.NewInstance(pool, instances[0], instances)
		addSmallEngine(pool, "e", model)
		grant := func(now time.Time, from netip.AddrPort) (granted int) {
			for id := range permit.ID(2 * slots) {
				sent := instance.Receive(now, from, askMessage(id, model))
				if _, ok := sent[len(sent)-1].Message.(permit.Granted); ok {
					granted++
				}
			}
			return granted
		}
		Expect(grant(start, instances[1])).To(Equal(slots))
		later := start.Add(longerThanLease)
		instance.ExpirePermits(later)
		Expect(grant(later, instances[2])).To(Equal(slots))
		for id := range permit.ID(slots) {
			instance.Receive(later, instances[1], permit.Release{ID: id, Outcome: permit.Succeeded})
		}
		Expect(pool.Load(later, "e")).To(BeNumerically("~", slots, 0.01), "late returns free nothing")
	})

	It("avoids no upstream for what happened before", func() {
		instances := instanceAddresses(2)
		model := modelOwnedBy("pool", instances[0], instances...)
		pool := counter.NewUpstreamPool("here", lease)
		instance := counter.NewInstance(pool, instances[0], instances)
		addSmallEngine(pool, "e", model)
		isGranted := func(now time.Time, id permit.ID) bool {
			return slices.ContainsFunc(instance.Receive(now, instances[1], askMessage(id, model)), func(sent counter.SentMessage) bool {
				_, granted := sent.Message.(permit.Granted)
				return granted
			})
		}
		for range 10 {
			pool.Fail(start, "e")
		}
		instance.Receive(start, instances[1], permit.RefusalReport{Upstream: "e", Tolerance: 1})
		Expect(isGranted(start, 1)).To(BeFalse())
		later := start.Add(longerThanLease)
		_, _, _, avoided := pool.Survey(later, "pool", model, "e")
		Expect(avoided).To(BeZero())
		Expect(isGranted(later, 2)).To(BeTrue())
	})

	It("has a request served whose engine has lost the model", func() {
		g := newPeerGroup(3)
		model := g.ownedBy(1)
		former, holder := newFakeUpstream(misdirect), newFakeUpstream(succeed)
		g.control.announce("former", former.address(), model)
		g.control.announce("holder", holder.address(), model)
		g.waitUntilKnown(2)
		for n, p := range g.peers {
			p.apply(isolation{calls: true})
			g.clock.advance(longerThanLease)
			Expect(g.sendFor(500*time.Millisecond, "/book/", model, n)).To(Equal(map[int]int{http.StatusOK: 10}), "at %d", n)
		}
		Expect(former.count()).To(Equal(1))
	})

	DescribeTable("has a request served whose upstream is gone",
		func(successor http.HandlerFunc) {
			g := newPeerGroup(2)
			u, v := newFakeUpstream(succeed), newFakeUpstream(succeed)
			g.control.announce("u", u.address())
			g.control.announce("v", v.address())
			g.waitUntilKnown(2)
			g.peers[0].apply(cutOff)
			g.clock.advance(longerThanLease)
			if successor == nil {
				u.server.Close()
			} else {
				u.server.Config.Handler = successor
			}
			Expect(g.sendFor(500*time.Millisecond, "/book/", "", 0)).To(Equal(map[int]int{http.StatusOK: 10}))
			Expect(v.count()).To(Equal(10))
		},
		Entry("and nothing listens there", nil),
		Entry("and a process under another name listens there", http.HandlerFunc(misdirect)),
	)

	It("sends at once after a pushback, and nothing after the next", func() {
		g := newPeerGroup(2)
		u := newReluctantUpstream(g.clock)
		g.control.announce("u", u.address())
		g.waitUntilKnown(1)
		u.pushBack("3", "i0")
		Expect(g.sendTo(0, "/short/", "")).To(Equal(http.StatusServiceUnavailable))
		g.peers[0].apply(cutOff)
		g.clock.advance(longerThanLease)
		from := g.clock.Now()
		g.sendFor(time.Second, "/short/", "", 0)
		Expect(u.arrivalsOf("i0", from)).To(Equal(1))
		u.pushBack("")
		g.clock.advance(longerThanLease)
		Expect(g.sendTo(0, "/short/", "")).To(Equal(http.StatusOK))
	})

	It("does not send a stream whose caller's time has ended, by records that were proven before", func(ctx SpecContext) {
		g, u, owner := newGroupOwnedElsewhere(ctx)
		owner.grantAfter(func() { g.clock.advance(longerThanLease) }, "e1", u.address())
		status, _ := g.resume(ctx, 0, "begun-at-the-only-version")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(u.count()).To(BeZero())
		Eventually(ctx, owner.releases).Should(Receive())
	}, SpecTimeout(specTimeout))

	It("tells callers the entry instances of its last sync", func() {
		p := newTestProxy()
		Eventually(p.firstSynced, specTimeout).Should(BeTrue())
		p.control.setHasLeader(false)
		p.clockOffset.Store(int64(longerThanLease))
		Expect(p.proxy.OpenEntries(p.now())).To(Equal(openEntries))
	})
})

// misdirect refuses a request for another process, or for a model that is not loaded.
func misdirect(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}
