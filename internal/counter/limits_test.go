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

// clock is a clock that specs move.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) move(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

// limitedUpstream names a limit in its answers while it has one.
type limitedUpstream struct {
	*upstream
	clock *clock

	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func newLimitedUpstream(c *clock) *limitedUpstream {
	u := &limitedUpstream{clock: c}
	u.upstream = newUpstream(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		u.arrivals = append(u.arrivals, u.clock.Now())
		if u.limit != "" {
			w.Header().Set(limitHeader, u.limit)
		}
		u.mu.Unlock()
		good(w, r)
	})
	return u
}

func (u *limitedUpstream) names(limit string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = limit
}

// since returns when requests have come since a time.
func (u *limitedUpstream) since(at time.Time) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(u.arrivals), func(came time.Time) bool { return came.Before(at) })
}

// mostInWindow returns the most of some times, in order, within one window of the limit.
func mostInWindow(times []time.Time) int {
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
		now   *clock
		peers []peer
		c     *control
	)

	startPeers := func(count int) {
		now, c, peers = &clock{now: time.Now()}, newControl(), nil
		var addresses []netip.AddrPort
		for range count {
			p := startPeerAt(c, now.Now)
			peers = append(peers, p)
			addresses = append(addresses, p.address)
		}
		c.instances(addresses...)
	}
	known := func(upstreams int) {
		for _, p := range peers {
			Eventually(p.counter.Instances, specTimeout).Should(Equal(len(peers)))
			Eventually(p.counter.Upstreams, specTimeout).Should(Equal(upstreams))
		}
	}
	// startWith starts instances before an upstream that names a limit.
	startWith := func(count int, limit string) *limitedUpstream {
		startPeers(count)
		u := newLimitedUpstream(now)
		c.announce("u", u.address(), "m")
		known(1)
		u.names(limit)
		return u
	}
	// send has the instances serve a request each 50 ms in turn, and returns the statuses.
	send := func(count int, path, model string) map[int]int {
		statuses := map[int]int{}
		for i := range count {
			now.move(50 * time.Millisecond)
			request := httptest.NewRequest(http.MethodPost, "http://spec.test"+path, nil)
			request.Header.Set(idHeader, "r1")
			recorder := httptest.NewRecorder()
			call := counter.Call{ID: "r1", Patience: 400 * time.Millisecond, Model: model}
			peers[i%len(peers)].counter.Serve(recorder, request, call)
			statuses[recorder.Code]++
			if recorder.Code == http.StatusServiceUnavailable {
				Expect(recorder.Header().Get("Retry-After")).NotTo(BeEmpty())
			}
		}
		return statuses
	}

	// An engine in need got three times what it takes, as each instance sent on as before.
	DescribeTable("gets no more than it takes from all instances together",
		func(instances int, limit ratelimit.Limit, path, model string) {
			u := startWith(instances, fmt.Sprint(float64(limit)))
			send(20, path, model)
			from := now.Now()
			statuses := send(200, path, model)
			came := u.since(from)
			Expect(mostInWindow(came)).To(BeNumerically("<=", ratelimit.Allowed(limit)))
			Expect(len(came)).To(BeNumerically(">=", 4), "it is asked on")
			Expect(statuses[http.StatusServiceUnavailable]).To(BeNumerically(">=", 100), "the rest is told when to come back")
		},
		Entry("a plain service", 3, ratelimit.Limit(1.1), "/short/", ""),
		Entry("an engine", 3, ratelimit.Limit(1.1), "/short/", "m"),
		Entry("seven instances", 7, ratelimit.Limit(1.1), "/short/", ""),
		Entry("a limit of 0", 3, ratelimit.Limit(0), "/short/", ""),
	)

	// One instance has seen the answer. The others would send on until they have seen one
	// themselves, and after the need is over hold back until then.
	It("is known at all instances at once, and so is the end of it", func() {
		u := startWith(3, "1.1")
		Expect(send(1, "/short/", "")).To(HaveKey(http.StatusOK))
		for _, p := range peers {
			Eventually(p.counter.LimitOf("u"), specTimeout).Should(Equal("1.1"))
		}
		u.names("")
		now.move(5 * time.Second)
		send(40, "/short/", "")
		for _, p := range peers {
			Eventually(p.counter.LimitOf("u"), specTimeout).Should(Equal("none"))
		}
		Expect(send(30, "/short/", "")).To(Equal(map[int]int{http.StatusOK: 30}))
	})

	It("is told to the control instances", func() {
		startWith(1, "0.3")
		send(1, "/short/", "")
		Eventually(c.limited, specTimeout).Should(Equal([]courier.LimitedUpstream{{Name: "u", Limit: 0.3}}))
	})

	It("leaves the rest to upstreams that take more", func() {
		startPeers(3)
		u, free := newLimitedUpstream(now), newLimitedUpstream(now)
		c.announce("u", u.address(), "m")
		c.announce("v", free.address(), "m")
		known(2)
		u.names("1.1")
		send(40, "/short/", "")
		Expect(send(100, "/short/", "")).To(Equal(map[int]int{http.StatusOK: 100}))
	})

	// An engine crashes in its need and starts again: what it named before says nothing of it.
	It("is not limited by what the process before it named", func() {
		u := startWith(1, "0.3")
		send(1, "/short/", "")
		Expect(peers[0].counter.LimitOf("u")()).To(Equal("0.3"))
		c.reborn("u", u.address())
		Eventually(peers[0].counter.LimitOf("u"), specTimeout).Should(Equal("none"))
	})

	// The owner of the limit is frozen or gone, and its address is in the lists still.
	It("gets no more than it takes while nobody answers for the owner of its limit", func() {
		startPeers(2)
		silent := listenPeer()
		DeferCleanup(silent.Close)
		gone := silent.LocalAddr().(*net.UDPAddr).AddrPort()
		c.instances(gone)
		name := modelOf(counter.LimitOwnerService, gone, append(addressesOf(peers), gone)...)
		u := newLimitedUpstream(now)
		c.announce(name, u.address(), "m")
		for _, p := range peers {
			Eventually(p.counter.Instances, specTimeout).Should(Equal(3))
			Eventually(p.counter.Upstreams, specTimeout).Should(Equal(1))
		}
		u.names("1.1")
		send(20, "/short/", "")
		from := now.Now()
		send(160, "/short/", "")
		came := u.since(from)
		Expect(mostInWindow(came)).To(BeNumerically("<=", ratelimit.Allowed(1.1)))
		Expect(came).NotTo(BeEmpty())
	})
})

func addressesOf(peers []peer) []netip.AddrPort {
	var all []netip.AddrPort
	for _, p := range peers {
		all = append(all, p.address)
	}
	return all
}
