package counter_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// An operator adds a route and receives the acknowledgement that it is in force. A caller uses it
// at an instance that has not received the update, because the control instance is late. A caller
// that receives 404 does not retry, so the request waits for the update.
var _ = Describe("A request without a known route", func() {
	status := func(ctx SpecContext, p *testProxy) func() int {
		return func() int {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.server.URL+"/nowhere/1", nil)
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
		p := newTestProxy(newFakeUpstream(succeed))
		Expect(status(ctx, p)()).To(Equal(http.StatusNotFound))

		By("being asked to retry while no control instance is usable")
		p.control.setHasLeader(false)
		Eventually(status(ctx, p)).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))

		By("being answered 404 once syncs succeed again")
		p.control.setHasLeader(true)
		Eventually(status(ctx, p)).WithTimeout(specTimeout).Should(Equal(http.StatusNotFound))
	}, NodeTimeout(2*specTimeout))

	// All control instances were killed right after a change was acknowledged. One that has
	// restarted names the leader before it has applied its log.
	It("is not refused for good on the word of a control instance that has not caught up", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		Expect(status(ctx, p)()).To(Equal(http.StatusNotFound))
		p.control.setCatchingUp(true)
		Eventually(status(ctx, p)).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))

		By("being answered 404 once it has caught up")
		p.control.setCatchingUp(false)
		Eventually(status(ctx, p)).WithTimeout(specTimeout).Should(Equal(http.StatusNotFound))
	}, NodeTimeout(3*specTimeout))

	It("is served by a route that comes while it waits", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.control.setHasLeader(false)
		Eventually(status(ctx, p)).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			answered <- status(ctx, p)()
		}()
		p.control.setHasLeader(true)
		Eventually(answered).WithTimeout(specTimeout).Should(Receive(Equal(http.StatusNotFound)), "it waited for the sync")
	}, NodeTimeout(2*specTimeout))

	It("waits for no more than a second", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.control.setHasLeader(false)
		Eventually(status(ctx, p)).WithTimeout(specTimeout).Should(Equal(http.StatusServiceUnavailable))
		began := time.Now()
		status(ctx, p)()
		Expect(time.Since(began)).To(BeNumerically("<", specTimeout/4))
	}, NodeTimeout(2*specTimeout))
})

var _ = Describe("A request with a known route", func() {
	// An operator removes a route and receives the acknowledgement while an entry instance is
	// frozen. After it resumes, the instance would use the route until its next sync.
	It("is not served by a route that was dropped while the instance was frozen", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		response, _, err := p.send(ctx, http.MethodGet, "/look/1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		served := p.arrivals()

		p.control.commit(withoutLookRoute)
		p.clockOffset.Store(int64(10 * time.Second))
		response, _, err = p.send(ctx, http.MethodGet, "/look/1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		Expect(p.arrivals()).To(Equal(served))
	}, NodeTimeout(specTimeout))

	now := time.Unix(1000, 0)
	ago := func(seconds float64) time.Time { return now.Add(-time.Duration(seconds * float64(time.Second))) }
	DescribeTable("waits for a recent proof of the routes",
		func(proven, unproven time.Time, disconnected, waits bool) {
			Expect(counter.NeedsProof(now, proven, unproven, 2*time.Second, disconnected)).To(Equal(waits))
		},
		Entry("not if the routes were proven recently", ago(1), time.Time{}, false, false),
		Entry("not while a leader is elected", ago(3.9), ago(1), false, false),
		Entry("if no control instance has answered since", ago(5), time.Time{}, false, true),
		Entry("while a control instance catches up", ago(5), ago(1), false, true),
		// Otherwise all callers would wait for as long as the control instances are short of CPU
		// time.
		Entry("not for more than 2 s", ago(60), ago(3), false, false),
		Entry("not while no control instance answers", ago(60), time.Time{}, true, false),
		Entry("at an instance that never had a proof", time.Time{}, ago(1), false, true),
	)
})
