package counter_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// specTimeout bounds each wait of a spec. No spec needs a tenth of it.
const specTimeout = 20 * time.Second

var _ = Describe("Counter", func() {
	It("forwards a request unchanged and relays its response", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		response, text, err := p.send(ctx, http.MethodPost, "/book/a%2Fb?x=%20y", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get(idHeader)).To(Equal("r1"))
		Expect(text).To(Equal("POST /book/a%2Fb?x=%20y seat 7"))
	}, SpecTimeout(specTimeout))

	It("answers 404 if there is no route", func(ctx SpecContext) {
		response, _, err := newTestProxy().send(ctx, http.MethodGet, "/elsewhere/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	}, SpecTimeout(specTimeout))

	// An upstream receives a booking and breaks off. It may have run the booking. A retry could
	// charge the rider twice, and status 503 would state that it has not run.
	It("sends what must not run twice once, and promises nothing", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(closeWithoutResponse), newFakeUpstream(closeWithoutResponse))
		response, _, err := p.send(ctx, http.MethodPost, "/book/", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(response.Header.Get("Retry-After")).To(BeEmpty())
		Expect(p.arrivals()).To(Equal(1))
	}, SpecTimeout(specTimeout))

	It("retries an idempotent request at another upstream", func(ctx SpecContext) {
		first := newFakeUpstream(closeWithoutResponse)
		second := newFakeUpstream(succeed)
		p := newTestProxy(first, second)
		for range 4 {
			response, _, err := p.send(ctx, http.MethodGet, "/look/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	}, SpecTimeout(specTimeout))

	// The upstream states that it has not run the request. The caller must learn that, and when to
	// retry.
	It("answers 503 with Retry-After when no upstream has run the request", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(refuseNotRun))
		response, _, err := p.send(ctx, http.MethodPost, "/book/", "seat 7")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	}, SpecTimeout(specTimeout))

	// One upstream may have run an idempotent request before it broke off, and a second one refuses
	// it. The result must not be "not run".
	It("does not report not-run once an upstream may have run the request", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(closeWithoutResponse), newFakeUpstream(refuseNotRun))
		for range 6 {
			response, _, err := p.send(ctx, http.MethodGet, "/look/", "")
			Expect(err).NotTo(HaveOccurred())
			if p.firstReached() {
				Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
				return
			}
		}
		Fail("the request never reached the upstream that breaks off")
	}, SpecTimeout(specTimeout))

	DescribeTable("relays no mismatched or incomplete response",
		func(ctx SpecContext, answer string) {
			p := newTestProxy(newFakeUpstream(respondRaw(answer)))
			response, text, err := p.send(ctx, http.MethodPost, "/book/", "seat 7")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(text).NotTo(ContainSubstring("secret"))
		},
		Entry("to another request", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nSpec-Request: r9\r\nContent-Length: 6\r\n\r\nsecret"),
		Entry("without a request id", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret"),
		Entry("truncated", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Length: 60\r\n\r\nsecret"),
		Entry("truncated between chunks", SpecTimeout(specTimeout),
			"HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n"),
		Entry("not HTTP", SpecTimeout(specTimeout), "secret secret secret\r\n\r\n"),
	)

	// An engine fails in the middle of a stream. The caller's connection must be aborted, because a
	// stream that just ends would look complete.
	It("breaks a stream off where its upstream does", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(respondRaw(
			"HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n")))
		_, text, err := p.send(ctx, http.MethodPost, "/write/", "a reply")
		Expect(err).To(HaveOccurred())
		Expect(text).To(Equal("data: a\n\n"))
	}, SpecTimeout(specTimeout))

	It("relays events as they arrive", func(ctx SpecContext) {
		next := make(chan struct{})
		p := newTestProxy(newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(idHeader, r.Header.Get(idHeader))
			for _, event := range []string{"data: a\n\n", "data: b\n\n"} {
				_, _ = io.WriteString(w, event)
				_ = http.NewResponseController(w).Flush()
				<-next
			}
		}))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.server.URL+"/write/", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Host = "spec.test"
		request.Header.Set(idHeader, "r1")
		response, err := http.DefaultTransport.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("data: a"), "the second event has not been sent yet")
		close(next)
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(BeEmpty(), "the end of the first event")
		Expect(lines.Scan()).To(BeTrue())
		Expect(lines.Text()).To(Equal("data: b"))
	}, SpecTimeout(specTimeout))

	// The engine must not continue a request that nobody waits for.
	It("cancels the upstream request when the caller disconnects", func(ctx SpecContext) {
		cancelled := make(chan struct{})
		reached := make(chan struct{})
		p := newTestProxy(newFakeUpstream(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			close(reached)
			<-r.Context().Done()
			close(cancelled)
		}))
		asking, leave := context.WithCancel(ctx)
		go func() {
			defer GinkgoRecover()
			_, _, err := p.send(asking, http.MethodPost, "/write/", "a reply")
			Expect(err).To(HaveOccurred())
		}()
		Eventually(ctx, reached).Should(BeClosed())
		leave()
		Eventually(ctx, cancelled).Should(BeClosed())
	}, SpecTimeout(specTimeout))

	It("answers within the route's timeout", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
		}))
		response, _, err := p.send(ctx, http.MethodGet, "/short/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
	}, SpecTimeout(specTimeout))

	It("answers 503 with Retry-After if the service has no upstream", func(ctx SpecContext) {
		response, _, err := newTestProxy().send(ctx, http.MethodGet, "/empty/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	}, SpecTimeout(specTimeout))

	// A control instance that is partitioned from the others keeps answering with the state from
	// before the partition. Using its replies would mean serving outdated routes.
	It("does not listen to a control instance that knows no leader", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		other := newFakeControl()
		p.control.mu.Lock()
		p.control.leaderless = true
		p.control.mu.Unlock()
		p.proxy.SetSeeds([]string{other.address})
		Eventually(ctx, func() int {
			other.mu.Lock()
			defer other.mu.Unlock()
			return len(other.syncs)
		}).Should(BeNumerically(">", 0))
	}, SpecTimeout(specTimeout))

	It("reports draining as soon as a planned shutdown begins, and continues to serve", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		p.proxy.Drain(p.now(), counter.Grace{Wait: specTimeout})
		Expect(p.proxy.Ready()).To(BeFalse())
		Eventually(ctx, func() bool {
			p.control.mu.Lock()
			defer p.control.mu.Unlock()
			return p.control.syncs[len(p.control.syncs)-1].From.Beat.Draining
		}).Should(BeTrue())
		response, _, err := p.send(ctx, http.MethodGet, "/look/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}, SpecTimeout(specTimeout))
})
