package counter_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
