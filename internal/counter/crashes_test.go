package counter_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// identityOf returns the identity of a request sent by these specs.
func identityOf(method, target, body string) quarantine.Identity {
	return quarantine.Identity{Method: method, Host: "spec.test", Target: target, Body: []byte(body)}
}

// setQuarantined makes the control instance report requests as quarantined, and waits until the
// entry instance has applied it.
func (p *testProxy) setQuarantined(ctx context.Context, requests ...quarantine.Identity) {
	GinkgoHelper()
	var entries []quarantine.Entry
	for _, request := range requests {
		entries = append(entries, quarantine.Entry{Digest: request.Digest()})
	}
	p.setEntries(ctx, entries...)
}

// setEntries is setQuarantined for any entries.
func (p *testProxy) setEntries(ctx context.Context, entries ...quarantine.Entry) {
	GinkgoHelper()
	p.setNews(ctx, quarantine.News{Revision: 1, Mark: 1, Quarantined: entries})
}

// setNews is setQuarantined for any news with the mark 1.
func (p *testProxy) setNews(ctx context.Context, news quarantine.News) {
	GinkgoHelper()
	p.control.mu.Lock()
	p.control.quarantine = &news
	p.control.mu.Unlock()
	Eventually(ctx, func() uint64 {
		p.control.mu.Lock()
		defer p.control.mu.Unlock()
		return p.control.syncs[len(p.control.syncs)-1].Quarantine
	}).Should(Equal(uint64(1)))
}

// crashReports returns the reported crashes.
func (c *fakeControl) crashReports() []quarantine.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reported.Reports
}

// crashOn makes an upstream crash when it receives a body, and succeed otherwise.
func crashOn(u *upstream, body string) {
	u.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		u.mu.Lock()
		u.arrivals = append(u.arrivals, r.Header.Get(idHeader))
		u.mu.Unlock()
		if string(text) == body {
			u.server.Listener.Close()
			closeWithoutResponse(w, r)
			return
		}
		w.Header().Set(idHeader, r.Header.Get(idHeader))
	})
}

var _ = Describe("A request in quarantine", func() {
	It("is refused immediately, without Retry-After", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.setQuarantined(ctx, identityOf(http.MethodPost, "/write/x", "crash"), identityOf(http.MethodGet, "/look/x?page=1", ""))
		response, text, err := p.send(ctx, http.MethodPost, "/write/x", "crash")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(response.Header.Get(quarantine.ReasonHeader)).To(Equal(quarantine.Reason))
		Expect(response.Header.Get("Lovagelift-Outcome")).To(Equal("not-run"))
		Expect(response.Header.Get("Retry-After")).To(BeEmpty())
		Expect(text).To(Equal("upstreams end that run this request\n"))
		response, _, err = p.send(ctx, http.MethodGet, "/look/x?page=1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest), "a request without a body")
		Expect(p.arrivals()).To(BeZero())
	}, SpecTimeout(specTimeout))

	// A retry by the caller has another id and other headers, and its body may be chunked.
	It("is recognized with another id, other headers and a chunked body", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.setQuarantined(ctx, identityOf(http.MethodPost, "/write/x", "crash"))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.server.URL+"/write/x", io.MultiReader(
			strings.NewReader("cra"), strings.NewReader("sh")))
		Expect(err).NotTo(HaveOccurred())
		request.Host = "spec.test"
		request.ContentLength = -1
		request.Header.Set(idHeader, "another")
		request.Header.Set("Last-Event-Id", "7")
		response, err := http.DefaultTransport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	}, SpecTimeout(specTimeout))

	It("does not match a request with another path, method or body", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.setQuarantined(ctx, identityOf(http.MethodPost, "/write/x", "crash"))
		for _, other := range [][3]string{
			{http.MethodPost, "/write/y", "crash"},
			{http.MethodPut, "/write/x", "crash"},
			{http.MethodPost, "/write/x", "crash "},
			{http.MethodPost, "/write/x", ""},
		} {
			response, _, err := p.send(ctx, other[0], other[1], other[2])
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK), "%v", other)
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A request with a part in quarantine", func() {
	const partOfSpec = "dead"

	It("is refused for good if it is certain, whatever else it holds", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.setEntries(ctx, quarantine.Entry{Digest: quarantine.PartDigest(partOfSpec), Part: true, TrialIn: time.Hour})
		for _, body := range []string{"one", "two"} {
			response, _, err := p.sendPrompt(ctx, body, "system", partOfSpec)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
			Expect(response.Header.Get("Lovagelift-Outcome")).To(Equal("not-run"))
			Expect(response.Header.Get("Retry-After")).To(BeEmpty())
		}
		response, _, err := p.sendPrompt(ctx, "three", "system")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}, SpecTimeout(specTimeout))

	It("is told to come back if it is not certain", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.setEntries(ctx, quarantine.Entry{Digest: quarantine.PartDigest(partOfSpec), Part: true, TrialIn: time.Hour, Suspected: true})
		response, _, err := p.sendPrompt(ctx, "one", partOfSpec)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(quarantine.ReasonHeader)).To(Equal(quarantine.ReasonSuspected))
		Expect(response.Header.Get("Retry-After")).To(Equal("1.000"))
		Expect(p.arrivals()).To(BeZero())
	}, SpecTimeout(specTimeout))

	Describe("that has some of the parts", func() {
		var p *testProxy
		send := func(ctx context.Context) map[int]int {
			statuses := map[int]int{}
			for n := range 3 {
				response, _, err := p.sendPrompt(ctx, fmt.Sprint(n), "beside")
				Expect(err).NotTo(HaveOccurred())
				statuses[response.StatusCode]++
			}
			return statuses
		}

		BeforeEach(func(ctx SpecContext) {
			p = newTestProxy(newFakeUpstream(succeed))
			p.setEntries(ctx, quarantine.Entry{
				Digest: quarantine.PartDigest(partOfSpec), Also: []quarantine.Digest{quarantine.PartDigest("beside")}, Part: true, TrialIn: time.Hour,
			})
		}, NodeTimeout(specTimeout))

		// Of requests with only some of the parts, one is sent to show which of them crashes upstreams.
		It("is sent once as a trial", func(ctx SpecContext) {
			p.clockOffset.Store(int64(quarantine.TrialInterval))
			Expect(send(ctx)).To(Equal(map[int]int{http.StatusOK: 1, http.StatusServiceUnavailable: 2}))
		}, SpecTimeout(specTimeout))

		// Guards against further crashes: the process before may have allowed a trial whose result is unknown.
		It("is not sent as a trial by an instance that has just started", func(ctx SpecContext) {
			Expect(send(ctx)).To(Equal(map[int]int{http.StatusServiceUnavailable: 3}))
		}, SpecTimeout(specTimeout))
	})
})

var _ = Describe("The instance that decides on trials", func() {
	trial := quarantine.Trial{ID: 7}
	instances := instanceAddresses(5)
	ranked := permit.NewOwners(instances)
	owner, _ := ranked.Of("\x00trial", "7", func(netip.AddrPort) bool { return true })
	next, _ := ranked.Of("\x00trial", "7", func(a netip.AddrPort) bool { return a != owner })
	others := slices.DeleteFunc(slices.Clone(instances), func(a netip.AddrPort) bool { return a == owner })
	lastID := permit.ID(0)

	ask := func(instance counter.Instance, now time.Time) permit.Message {
		lastID++
		return instance.Receive(now, instances[0], permit.TrialRequest{ID: lastID, Trial: trial})[0].Message
	}

	It("allows one", func() {
		instance := counter.NewInstance(counter.NewUpstreamPool("here", lease), owner, instances)
		Expect(ask(instance, start)).To(Equal(permit.SendAllowed{ID: lastID}))
	})

	// Guards against further crashes: an instance that knows fewer others would decide beside the owner.
	It("allows none that another one decides on", func() {
		instance := counter.NewInstance(counter.NewUpstreamPool("here", lease), next, instances)
		Expect(ask(instance, start)).To(BeAssignableToTypeOf(permit.SendDelayed{}))
	})

	// Guards against further crashes: the former owner may have allowed one just before it was lost.
	It("allows none while the result of one that its predecessor allowed may be unknown", func() {
		instance := counter.NewInstance(counter.NewUpstreamPool("here", lease), next, instances)
		instance.SetInstances(start, others)
		Expect(ask(instance, start.Add(quarantine.TrialInterval-time.Millisecond))).To(BeAssignableToTypeOf(permit.SendDelayed{}))
		Expect(ask(instance, start.Add(quarantine.TrialInterval))).To(Equal(permit.SendAllowed{ID: lastID}))
	})

	Describe("of a request on probation", func() {
		digest := identityOf(http.MethodPost, "/write/x", "a").Digest()
		first := quarantine.Ruling{Digests: []quarantine.Digest{digest}, Crashes: 1}.Trial()
		second := quarantine.Trial{ID: first.ID, Crashes: 2}
		key := strconv.FormatUint(uint64(first.ID), 16)
		owner, _ := ranked.Of("\x00trial", key, func(netip.AddrPort) bool { return true })
		next, _ := ranked.Of("\x00trial", key, func(a netip.AddrPort) bool { return a != owner })
		var now time.Time

		startAt := func(address netip.AddrPort) counter.Instance {
			now = start
			instance := counter.NewInstance(counter.NewUpstreamPool("here", lease), address, instances)
			DeferCleanup(instance.FollowNews(func() time.Time { return now }))
			instance.ApplyNews(quarantine.News{Revision: 1, Mark: 1})
			return instance
		}
		setCrashes := func(instance counter.Instance, crashes int) {
			instance.ApplyNews(quarantine.News{
				Revision: uint64(crashes), Mark: uint64(crashes) + 1, OnProbation: []quarantine.Probation{{Digest: digest, Crashes: crashes}},
			})
		}
		allows := func(instance counter.Instance, trial quarantine.Trial) bool {
			lastID++
			_, allowed := instance.Receive(now, next, permit.TrialRequest{ID: lastID, Trial: trial})[0].Message.(permit.SendAllowed)
			return allowed
		}

		It("allows one after each crash, which it may know before the others or after them", func() {
			instance := startAt(owner)
			setCrashes(instance, 1)
			Expect(allows(instance, first)).To(BeTrue())
			Expect(allows(instance, first)).To(BeFalse())
			Expect(allows(instance, second)).To(BeTrue(), "after")
			setCrashes(instance, 2)
			Expect(allows(instance, second)).To(BeFalse())
			setCrashes(instance, 3)
			Expect(allows(instance, second)).To(BeTrue(), "before")
			Expect(allows(instance, quarantine.Trial{ID: first.ID, Crashes: 3})).To(BeFalse())
		})

		It("allows the next one when one has ended without a crash", func() {
			instance := startAt(owner)
			Expect(allows(instance, first)).To(BeTrue())
			instance.Receive(now, next, permit.TrialEnded{Trial: first})
			Expect(allows(instance, first)).To(BeTrue())
		})

		// The owner before may have allowed one after the first crash, but not after the second.
		It("allows one at once after a crash since it has become the owner", func() {
			instance := startAt(next)
			setCrashes(instance, 1)
			instance.SetInstances(now, slices.DeleteFunc(slices.Clone(instances), func(a netip.AddrPort) bool { return a == owner }))
			now = now.Add(2 * time.Second)
			Expect(allows(instance, first)).To(BeFalse())
			setCrashes(instance, 2)
			Expect(allows(instance, second)).To(BeTrue())
		})
	})
})

var _ = Describe("A request that was at a crash", func() {
	It("is sent one copy at a time", func(ctx SpecContext) {
		hold := make(chan struct{})
		p := newTestProxy(newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			<-hold
			succeed(w, r)
		}))
		p.setNews(ctx, quarantine.News{
			Revision: 1, Mark: 1, OnProbation: []quarantine.Probation{{Digest: identityOf(http.MethodPost, "/write/x", "a").Digest(), Crashes: 1}},
		})
		// An instance that has just started decides on no trial.
		p.clockOffset.Store(int64(quarantine.TrialInterval))
		statuses := make(chan int, 3)
		for range 3 {
			go func() {
				defer GinkgoRecover()
				response, _, err := p.send(ctx, http.MethodPost, "/write/x", "a")
				Expect(err).NotTo(HaveOccurred())
				statuses <- response.StatusCode
			}()
		}
		Eventually(ctx, statuses).Should(Receive(Equal(http.StatusServiceUnavailable)))
		Eventually(ctx, statuses).Should(Receive(Equal(http.StatusServiceUnavailable)))
		close(hold)
		Eventually(ctx, statuses).Should(Receive(Equal(http.StatusOK)))
		Expect(p.arrivals()).To(Equal(1))
		response, _, err := p.send(ctx, http.MethodPost, "/write/x", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK), "it has succeeded")
	}, SpecTimeout(specTimeout))

	// The trial must not be lost at an upstream that is full, or that is the one which has ended.
	It("is sent to the next upstream if the first one did not run it", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(refuseNotRun), newFakeUpstream(succeed))
		news := quarantine.News{Revision: 1, Mark: 1}
		for n := range 6 {
			news.OnProbation = append(news.OnProbation, quarantine.Probation{Digest: identityOf(http.MethodPost, "/write/x", fmt.Sprint(n)).Digest(), Crashes: 1})
		}
		p.setNews(ctx, news)
		p.clockOffset.Store(int64(quarantine.TrialInterval))
		for n := range 6 {
			response, _, err := p.send(ctx, http.MethodPost, "/write/x", fmt.Sprint(n))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A crashed upstream", func() {
	It("is reported with the digests of its requests", func(ctx SpecContext) {
		u := newFakeUpstream(succeed)
		crashOn(u, "crash")
		p := newTestProxy(u)
		response, _, err := p.send(ctx, http.MethodPost, "/book/x", "crash")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(ctx, p.control.crashReports).Should(Equal([]quarantine.Report{{
			Lifetime: quarantine.Lifetime{Upstream: "u0", Incarnation: 1},
			Suspects: []quarantine.Suspect{{Digest: identityOf(http.MethodPost, "/book/x", "crash").Digest(), Request: "r1"}},
		}}))
	}, SpecTimeout(specTimeout))

	// A reset connection or a truncated response is not a crash: the upstream still listens.
	It("is distinguished from one that breaks off a response", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(closeWithoutResponse))
		for n := range 5 {
			_, _, err := p.send(ctx, http.MethodPost, "/book/x", fmt.Sprint(n))
			Expect(err).NotTo(HaveOccurred())
		}
		Consistently(p.control.crashReports).WithTimeout(500 * time.Millisecond).Should(BeEmpty())
	}, SpecTimeout(specTimeout))
})
