package counter_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// An operator adds a route and is told that it is in force. A caller uses it at an
// instance that has not heard of it, since the control instance is late with its news.
// Told that there is no route, the caller goes away for good; so it waits for the news.
var _ = Describe("A request without a known route", func() {
	status := func(ctx SpecContext, e *entry) func() int {
		return func() int {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.server.URL+"/nowhere/1", nil)
			Expect(err).NotTo(HaveOccurred())
			request.Host = "spec.test"
			request.Header.Set(idHeader, "r1")
			response, err := http.DefaultTransport.RoundTrip(request)
			Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
			return response.StatusCode
		}
	}

	It("is refused for good by routes that are fresh alone", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		Expect(status(ctx, e)()).To(Equal(http.StatusNotFound))

		By("coming back while nobody tells news")
		e.control.lead(false)
		Eventually(status(ctx, e)).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))

		By("being answered once there are news again")
		e.control.lead(true)
		Eventually(status(ctx, e)).WithTimeout(specTimeout).Should(Equal(http.StatusNotFound))
	}, NodeTimeout(2*specTimeout))

	// All control instances were killed right after a change was acknowledged: one that has
	// started again names the leader before it has applied its log.
	It("is not refused for good on the word of a control instance that has not caught up", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		Expect(status(ctx, e)()).To(Equal(http.StatusNotFound))
		e.control.fallBehind(true)
		Eventually(status(ctx, e)).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))

		By("being answered once it has caught up")
		e.control.fallBehind(false)
		Eventually(status(ctx, e)).WithTimeout(specTimeout).Should(Equal(http.StatusNotFound))
	}, NodeTimeout(3*specTimeout))

	It("is served by a route that comes while it waits", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		e.control.lead(false)
		Eventually(status(ctx, e)).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			answered <- status(ctx, e)()
		}()
		e.control.lead(true)
		Eventually(answered).WithTimeout(specTimeout).Should(Receive(Equal(http.StatusNotFound)), "it waited for the news")
	}, NodeTimeout(2*specTimeout))

	It("waits for no more than a second", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		e.control.lead(false)
		Eventually(status(ctx, e)).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))
		began := time.Now()
		status(ctx, e)()
		Expect(time.Since(began)).To(BeNumerically("<", specTimeout/4))
	}, NodeTimeout(2*specTimeout))
})

var _ = Describe("A request with a known route", func() {
	// An operator drops a route and is told that it is gone, while an entry instance is
	// frozen: thawed, it would send requests by the route until its next news.
	It("is not served by a route that was dropped while the instance was frozen", func(ctx SpecContext) {
		e := newEntry(newUpstream(good))
		response, _, err := e.ask(ctx, http.MethodGet, "/look/1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		served := e.arrivals()

		e.control.drop()
		e.skipped.Store(int64(10 * time.Second))
		response, _, err = e.ask(ctx, http.MethodGet, "/look/1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		Expect(e.arrivals()).To(Equal(served))
	}, NodeTimeout(specTimeout))

	now := time.Unix(1000, 0)
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	DescribeTable("waits for a proof of routes that must be in force within 2 s",
		func(proven, unproven time.Time, lost, waits bool) {
			Expect(counter.NeedsProof(now, proven, unproven, 2*time.Second, lost)).To(Equal(waits))
		},
		Entry("not by routes that were proven a moment ago", ago(1), time.Time{}, false, false),
		Entry("not while a leader is elected", ago(3.9), ago(1), false, false),
		Entry("by routes that nobody has spoken of since", ago(5), time.Time{}, false, true),
		Entry("while a control instance catches up", ago(5), ago(1), false, true),
		// All callers would wait for as long as control instances lack processor time.
		Entry("not for long", ago(60), ago(3), false, false),
		Entry("not while no control instance answers", ago(60), time.Time{}, true, false),
		Entry("at an instance that was never told of proven routes", time.Time{}, ago(1), false, true),
	)
})
