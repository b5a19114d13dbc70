package counter_test

import (
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// toleratedDelay and toleratedRequests are what an upstream tolerates of an instance after a
	// pushback: any requests until then, and a few later.
	toleratedDelay    = 500 * time.Millisecond
	toleratedRequests = 2
)

// arrival is a request that has reached an upstream.
type arrival struct {
	at time.Time
	// instance is the request's ID, which names the instance that sent it.
	instance string
}

// reluctantUpstream refuses the requests of some instances with a pushback, and may state that it
// is leaving.
type reluctantUpstream struct {
	*upstream
	clock *manualClock

	mu       sync.Mutex
	arrivals []arrival
	// refused are the instances whose requests are refused, with this pushback.
	refused  []string
	pushback string
	leaving  bool
	// tolerance is stated in all responses, unless it is empty. refusals are the times at which
	// requests were refused.
	tolerance string
	refusals  []time.Time
}

func newReluctantUpstream(clock *manualClock) *reluctantUpstream {
	u := &reluctantUpstream{clock: clock}
	u.upstream = newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
		instance := r.Header.Get(idHeader)
		u.mu.Lock()
		u.arrivals = append(u.arrivals, arrival{u.clock.Now(), instance})
		refused, pushback, leaving := slices.Contains(u.refused, instance), u.pushback, u.leaving
		if u.tolerance != "" {
			w.Header().Set(toleranceHeader, u.tolerance)
		}
		if refused {
			u.refusals = append(u.refusals, u.clock.Now())
		}
		u.mu.Unlock()
		if leaving {
			w.Header().Set(leavingHeader, "1")
		}
		if refused {
			w.Header().Set(pushbackHeader, pushback)
			refuseNotRun(w, r)
			return
		}
		succeed(w, r)
	})
	return u
}

// pushBack refuses the requests of some instances from now on. If there are none, it accepts all.
func (u *reluctantUpstream) pushBack(seconds string, instances ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pushback, u.refused = seconds, instances
}

// leave states the leave in all further responses.
func (u *reluctantUpstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// arrivalsOf returns how many requests of an instance arrived from a given time on.
func (u *reluctantUpstream) arrivalsOf(instance string, since time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	count := 0
	for _, a := range u.arrivals {
		if a.instance == instance && !a.at.Before(since) {
			count++
		}
	}
	return count
}

// sendFor sends requests to the given instances in turn, 50 ms apart, for a while, and returns the
// number of each status.
func (g *peerGroup) sendFor(duration time.Duration, path, model string, instances ...int) map[int]int {
	statuses := map[int]int{}
	for i := range int(duration / (50 * time.Millisecond)) {
		g.clock.advance(50 * time.Millisecond)
		statuses[g.sendTo(instances[i%len(instances)], path, model)]++
	}
	return statuses
}

// ownedBy returns a model that an instance of the group owns.
func (g *peerGroup) ownedBy(instance int) string {
	return modelOwnedBy("desk", g.peers[instance].address, g.addresses()...)
}

var _ = Describe("An upstream that pushes back", func() {
	var group *peerGroup
	// startWith starts three instances and upstreams that hold a model of the second one.
	startWith := func(names ...string) (model string, upstreams []*reluctantUpstream) {
		group = newPeerGroup(3)
		model = group.ownedBy(1)
		for _, name := range names {
			u := newReluctantUpstream(group.clock)
			group.control.announce(name, u.address(), model)
			upstreams = append(upstreams, u)
		}
		group.waitUntilKnown(len(names))
		return model, upstreams
	}

	// An overloaded engine asked an instance for 3 s without requests, and the instance went on
	// sending.
	DescribeTable("gets nothing from that instance until the time is over",
		func(engine bool, instance int) {
			model, upstreams := startWith("u")
			if !engine {
				model = ""
			}
			id, u := []string{"i0", "i1", "i2"}[instance], upstreams[0]
			u.pushBack("3", id)
			Expect(group.sendTo(instance, "/short/", model)).To(Equal(http.StatusServiceUnavailable))
			asked := group.clock.Now()
			statuses := group.sendFor(2900*time.Millisecond, "/short/", model, instance)
			Expect(u.arrivalsOf(id, asked.Add(toleratedDelay))).To(BeNumerically("<=", toleratedRequests))
			Expect(statuses).To(Equal(map[int]int{http.StatusServiceUnavailable: 58}))
			u.pushBack("")
			group.clock.advance(200 * time.Millisecond)
			Expect(group.sendFor(time.Second, "/short/", model, instance)).To(Equal(map[int]int{http.StatusOK: 20}))
		},
		Entry("a plain service", false, 0),
		Entry("an engine, at the owner of its model", true, 1),
		Entry("an engine, at another instance", true, 0),
	)

	It("serves the other instances meanwhile", func() {
		model, upstreams := startWith("u")
		upstreams[0].pushBack("3", "i0")
		group.sendFor(500*time.Millisecond, "/short/", model, 0)
		Expect(group.sendFor(time.Second, "/short/", model, 1, 2)).To(Equal(map[int]int{http.StatusOK: 20}))
	})

	It("leaves the requests to upstreams that do not", func() {
		model, upstreams := startWith("u", "v")
		upstreams[0].pushBack("3", "i0", "i2")
		group.sendFor(500*time.Millisecond, "/short/", model, 0, 2)
		asked := group.clock.Now()
		Expect(group.sendFor(2*time.Second, "/short/", model, 0, 2)).To(Equal(map[int]int{http.StatusOK: 40}))
		Expect(upstreams[0].arrivalsOf("i0", asked) + upstreams[0].arrivalsOf("i2", asked)).To(BeNumerically("<=", 2*toleratedRequests))
	})

	// The owner of the model has not received the report, or has become the owner since.
	It("gets nothing by grants of an owner that does not know", func() {
		group = newPeerGroup(1)
		owner := listenGrantingOwner()
		model := modelOwnedBy("desk", owner.address, group.peers[0].address, owner.address)
		reluctant, willing := newReluctantUpstream(group.clock), newReluctantUpstream(group.clock)
		group.control.announce("u", reluctant.address(), model)
		group.control.announce("v", willing.address(), model)
		group.control.addExactEntries(owner.address)
		Eventually(group.peers[0].proxy.Instances, specTimeout).Should(Equal(2))
		Eventually(group.peers[0].proxy.Upstreams, specTimeout).Should(Equal(2))
		owner.grantAlways("u", reluctant.address())
		reluctant.pushBack("3", "i0")
		asked := group.clock.Now()
		Expect(group.sendFor(time.Second, "/short/", model, 0)).To(Equal(map[int]int{http.StatusOK: 20}))
		Expect(reluctant.arrivalsOf("i0", asked)).To(Equal(1))
		Eventually(owner.pushbacks, specTimeout).Should(Receive(HaveField("Upstream", "u")))
		Eventually(owner.pushbacks, specTimeout).Should(Receive(), "the owner is told again when it grants the upstream")
	})

	// A crashed engine restarts under its name.
	It("gets requests at once as a new process", func() {
		_, upstreams := startWith("u")
		upstreams[0].pushBack("60", "i0")
		group.sendTo(0, "/short/", "")
		Expect(group.sendTo(0, "/short/", "")).To(Equal(http.StatusServiceUnavailable))
		upstreams[0].pushBack("")
		group.control.announceRestart("u", upstreams[0].address())
		Eventually(func() int { return group.sendTo(0, "/short/", "") }, specTimeout).Should(Equal(http.StatusOK))
	})
})
