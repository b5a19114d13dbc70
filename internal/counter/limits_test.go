package counter_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

// manualClock is a clock that specs advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

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
	var (
		clock *manualClock
		peers []peer
		c     *fakeControl
	)

	startPeers := func(count int) {
		clock, c, peers = &manualClock{now: time.Now()}, newFakeControl(), nil
		var addresses []netip.AddrPort
		for range count {
			p := startPeerWithClock(c, clock.Now)
			peers = append(peers, p)
			addresses = append(addresses, p.address)
		}
		c.addExactEntries(addresses...)
	}
	waitUntilKnown := func(upstreams int) {
		for _, p := range peers {
			Eventually(p.proxy.Instances, specTimeout).Should(Equal(len(peers)))
			Eventually(p.proxy.Upstreams, specTimeout).Should(Equal(upstreams))
		}
	}
	// startWithLimit starts instances and an upstream that states a rate limit.
	startWithLimit := func(count int, limit string) *limitedUpstream {
		startPeers(count)
		u := newLimitedUpstream(clock)
		c.announce("u", u.address(), "m")
		waitUntilKnown(1)
		u.setLimit(limit)
		return u
	}
	// send sends requests to the instances in turn, 50 ms apart, and returns the number of each
	// status.
	send := func(count int, path, model string) map[int]int {
		statuses := map[int]int{}
		for i := range count {
			clock.advance(50 * time.Millisecond)
			request := httptest.NewRequest(http.MethodPost, "http://spec.test"+path, nil)
			request.Header.Set(idHeader, "r1")
			recorder := httptest.NewRecorder()
			call := counter.Call{ID: "r1", Timeout: 400 * time.Millisecond, Model: model}
			peers[i%len(peers)].proxy.ServeRequest(recorder, request, call)
			statuses[recorder.Code]++
			if recorder.Code == http.StatusServiceUnavailable {
				Expect(recorder.Header().Get("Retry-After")).NotTo(BeEmpty())
			}
		}
		return statuses
	}

	// An overloaded engine received three times its limit, because each instance continued to send
	// as before.
	DescribeTable("gets no more than it takes from all instances together",
		func(instances int, limit ratelimit.Limit, path, model string) {
			u := startWithLimit(instances, fmt.Sprint(float64(limit)))
			send(20, path, model)
			from := clock.Now()
			statuses := send(200, path, model)
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
		Expect(send(1, "/short/", "")).To(HaveKey(http.StatusOK))
		for _, p := range peers {
			Eventually(p.proxy.LimitOf("u"), specTimeout).Should(Equal("1.1"))
		}
		u.setLimit("")
		clock.advance(5 * time.Second)
		send(40, "/short/", "")
		for _, p := range peers {
			Eventually(p.proxy.LimitOf("u"), specTimeout).Should(Equal("none"))
		}
		Expect(send(30, "/short/", "")).To(Equal(map[int]int{http.StatusOK: 30}))
	})

	It("is reported to the control instances", func() {
		startWithLimit(1, "0.3")
		send(1, "/short/", "")
		Eventually(c.reportedLimits, specTimeout).Should(Equal([]courier.LimitedUpstream{{Name: "u", Limit: 0.3}}))
	})

	It("leaves the rest to upstreams that take more", func() {
		startPeers(3)
		u, free := newLimitedUpstream(clock), newLimitedUpstream(clock)
		c.announce("u", u.address(), "m")
		c.announce("v", free.address(), "m")
		waitUntilKnown(2)
		u.setLimit("1.1")
		send(40, "/short/", "")
		Expect(send(100, "/short/", "")).To(Equal(map[int]int{http.StatusOK: 100}))
	})

	// An overloaded engine crashes and restarts. The limit stated before does not apply to the new
	// process.
	It("is not limited by what the process before it named", func() {
		u := startWithLimit(1, "0.3")
		send(1, "/short/", "")
		Expect(peers[0].proxy.LimitOf("u")()).To(Equal("0.3"))
		c.announceRestart("u", u.address())
		Eventually(peers[0].proxy.LimitOf("u"), specTimeout).Should(Equal("none"))
	})

	// The owner of the limit is frozen or gone, but still listed.
	It("gets no more than it takes while nobody answers for the owner of its limit", func() {
		startPeers(2)
		silentConn := listenPeer()
		DeferCleanup(silentConn.Close)
		silentOwner := silentConn.LocalAddr().(*net.UDPAddr).AddrPort()
		c.addExactEntries(silentOwner)
		name := modelOwnedBy(counter.LimitOwnerService, silentOwner, append(addressesOf(peers), silentOwner)...)
		u := newLimitedUpstream(clock)
		c.announce(name, u.address(), "m")
		for _, p := range peers {
			Eventually(p.proxy.Instances, specTimeout).Should(Equal(3))
			Eventually(p.proxy.Upstreams, specTimeout).Should(Equal(1))
		}
		u.setLimit("1.1")
		send(20, "/short/", "")
		from := clock.Now()
		send(160, "/short/", "")
		arrivals := u.arrivalsSince(from)
		Expect(maxInWindow(arrivals)).To(BeNumerically("<=", ratelimit.MaxRequests(1.1)))
		Expect(arrivals).NotTo(BeEmpty())
	})
})

func addressesOf(peers []peer) []netip.AddrPort {
	var all []netip.AddrPort
	for _, p := range peers {
		all = append(all, p.address)
	}
	return all
}
