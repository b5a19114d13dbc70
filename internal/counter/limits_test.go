package counter_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

// limitedUpstream states a rate limit in its responses while it has one.
type limitedUpstream struct {
	*upstream
	clock *manualClock

	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func newLimitedUpstream(c *manualClock) *limitedUpstream {
	u := &limitedUpstream{clock: c}
	u.upstream = newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		u.arrivals = append(u.arrivals, u.clock.Now())
		if u.limit != "" {
			w.Header().Set(limitHeader, u.limit)
		}
		u.mu.Unlock()
		succeed(w, r)
	})
	return u
}

func (u *limitedUpstream) setLimit(limit string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = limit
}

// arrivalsSince returns the arrival times of requests from a given time on.
func (u *limitedUpstream) arrivalsSince(at time.Time) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(u.arrivals), func(arrival time.Time) bool { return arrival.Before(at) })
}

// maxInWindow returns the maximum number of the sorted times within one window of the limit.
func maxInWindow(times []time.Time) int {
	most := 0
	for i, first := range times {
		end := i
		for end < len(times) && times[end].Sub(first) < ratelimit.Window {
			end++
		}
		most = max(most, end-i)
	}
	return most
}

var _ = Describe("An upstream that names a limit", func() {
	var group *peerGroup
	// startWithLimit starts instances and an upstream that states a rate limit.
	startWithLimit := func(count int, limit string) *limitedUpstream {
		group = newPeerGroup(count)
		u := newLimitedUpstream(group.clock)
		group.control.announce("u", u.address(), "m")
		group.waitUntilKnown(1)
		u.setLimit(limit)
		return u
	}

	// An overloaded engine received three times its limit, because each instance continued to send
	// as before.
	DescribeTable("gets no more than it takes from all instances together",
		func(instances int, limit ratelimit.Limit, path, model string) {
			u := startWithLimit(instances, fmt.Sprint(float64(limit)))
			group.send(20, path, model)
			from := group.clock.Now()
			statuses := group.send(200, path, model)
			arrivals := u.arrivalsSince(from)
			Expect(maxInWindow(arrivals)).To(BeNumerically("<=", ratelimit.MaxRequests(limit)))
			Expect(len(arrivals)).To(BeNumerically(">=", 4), "some requests are still sent")
			Expect(statuses[http.StatusServiceUnavailable]).To(BeNumerically(">=", 100), "the rest receives Retry-After")
		},
		Entry("a plain service", 3, ratelimit.Limit(1.1), "/short/", ""),
		Entry("an engine", 3, ratelimit.Limit(1.1), "/short/", "m"),
		Entry("seven instances", 7, ratelimit.Limit(1.1), "/short/", ""),
		Entry("a limit of 0", 3, ratelimit.Limit(0), "/short/", ""),
	)

	// Only one instance has seen the response. The others would continue to send until they see one
	// themselves, and would hold requests back after the limit has ended.
	It("is known at all instances at once, and so is the end of it", func() {
		u := startWithLimit(3, "1.1")
		Expect(group.send(1, "/short/", "")).To(HaveKey(http.StatusOK))
		for _, p := range group.peers {
			Eventually(p.proxy.LimitOf("u"), specTimeout).Should(Equal("1.1"))
		}
		u.setLimit("")
		group.clock.advance(5 * time.Second)
		group.send(40, "/short/", "")
		for _, p := range group.peers {
			Eventually(p.proxy.LimitOf("u"), specTimeout).Should(Equal("none"))
		}
		Expect(group.send(30, "/short/", "")).To(Equal(map[int]int{http.StatusOK: 30}))
	})

	It("is reported to the control instances", func() {
		startWithLimit(1, "0.3")
		group.send(1, "/short/", "")
		Eventually(group.control.reportedLimits, specTimeout).Should(Equal([]courier.LimitedUpstream{{Name: "u", Limit: 0.3}}))
	})

	It("leaves the rest to upstreams that take more", func() {
		group = newPeerGroup(3)
		u, free := newLimitedUpstream(group.clock), newLimitedUpstream(group.clock)
		group.control.announce("u", u.address(), "m")
		group.control.announce("v", free.address(), "m")
		group.waitUntilKnown(2)
		u.setLimit("1.1")
		group.send(40, "/short/", "")
		Expect(group.send(100, "/short/", "")).To(Equal(map[int]int{http.StatusOK: 100}))
	})

	// An overloaded engine crashes and restarts. The limit stated before does not apply to the new
	// process.
	It("is not limited by what the process before it named", func() {
		u := startWithLimit(1, "0.3")
		group.send(1, "/short/", "")
		Expect(group.peers[0].proxy.LimitOf("u")()).To(Equal("0.3"))
		group.control.announceRestart("u", u.address())
		Eventually(group.peers[0].proxy.LimitOf("u"), specTimeout).Should(Equal("none"))
	})

	// A request is answered after its upstream has been announced anew. What the old process states
	// does not apply to the new one.
	It("is not limited by a late response of the process before it", func() {
		group = newPeerGroup(1)
		arrived, answer := make(chan struct{}), make(chan struct{})
		u := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-answer
			w.Header().Set(limitHeader, "0.3")
			succeed(w, r)
		})
		group.control.announce("u", u.address(), "m")
		group.waitUntilKnown(1)
		served := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			served <- group.sendTo(0, "/look/", "")
		}()
		Eventually(arrived, specTimeout).Should(BeClosed())
		group.control.announceRestart("u", u.address())
		Eventually(group.peers[0].proxy.IncarnationOf("u"), specTimeout).Should(BeEquivalentTo(2))
		close(answer)
		Eventually(served, specTimeout).Should(Receive(Equal(http.StatusOK)))
		Expect(group.peers[0].proxy.LimitOf("u")()).To(Equal("none"))
	})

	// The owner of the limit is frozen or gone, but still listed.
	It("gets no more than it takes while nobody answers for the owner of its limit", func() {
		group = newPeerGroup(2)
		silentConn := listenPeer()
		DeferCleanup(silentConn.Close)
		silentOwner := silentConn.LocalAddr().(*net.UDPAddr).AddrPort()
		group.control.addExactEntries(silentOwner)
		name := modelOwnedBy(counter.LimitOwnerService, silentOwner, append(group.addresses(), silentOwner)...)
		u := newLimitedUpstream(group.clock)
		group.control.announce(name, u.address(), "m")
		for _, p := range group.peers {
			Eventually(p.proxy.Instances, specTimeout).Should(Equal(3))
			Eventually(p.proxy.Upstreams, specTimeout).Should(Equal(1))
		}
		u.setLimit("1.1")
		group.send(20, "/short/", "")
		from := group.clock.Now()
		group.send(160, "/short/", "")
		arrivals := u.arrivalsSince(from)
		Expect(maxInWindow(arrivals)).To(BeNumerically("<=", ratelimit.MaxRequests(1.1)))
		Expect(arrivals).NotTo(BeEmpty())
	})
})
