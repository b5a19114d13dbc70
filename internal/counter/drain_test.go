package counter_test

import (
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/entries"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/shutdown"
)

// A request that may wait for longer than the rest of the grace period would lose its connection
// without a response when the instance stops.
var _ = It("refuses requests that still wait when the instance stops", func(ctx SpecContext) {
	p := newTestProxy()
	arrived := make(chan struct{})
	server := startCallerServer(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		p.proxy.ServeRequest(w, r, counter.Call{ID: "r1", Timeout: time.Minute})
	})
	DeferCleanup(server.Close)
	go func() {
		defer GinkgoRecover()
		Eventually(arrived, specTimeout).Should(BeClosed())
		p.proxy.Drain(p.now(), counter.Grace{Wait: 50 * time.Millisecond})
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/patient/", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "spec.test"
	response, err := http.DefaultTransport.RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
}, SpecTimeout(specTimeout))

// graceOf returns a grace in which streams that may run out are taken as long as requests may wait.
func graceOf(wait, run time.Duration) counter.Grace {
	return counter.Grace{Wait: wait, Schedule: shutdown.Schedule{TakeUntil: wait, AnswersEnd: run, BegunEnd: run, CutFrom: run / 2}}
}

// begunLater returns a grace in which begun responses run longer than others.
func begunLater(takeUntil, answersEnd, begunEnd time.Duration) counter.Grace {
	return counter.Grace{
		Wait: answersEnd, Schedule: shutdown.Schedule{TakeUntil: takeUntil, AnswersEnd: answersEnd, BegunEnd: begunEnd, CutFrom: begunEnd},
	}
}

// longGrace leaves time for requests, but not for those that may take as long as their routes allow.
var longGrace = graceOf(5*time.Second, 10*time.Second)

// startPatient starts the server of a proxy for callers that wait for a minute.
func (p *testProxy) startPatient() string {
	server := startCallerServer(func(w http.ResponseWriter, r *http.Request) {
		p.proxy.ServeRequest(w, r, counter.Call{ID: r.Header.Get(idHeader), Timeout: time.Minute})
	})
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// Such requests were sent, and their connections were closed without an answer at the end of the grace.
var _ = Describe("A request that is not expected to end before the instance stops", func() {
	expectRefusal := func(response *http.Response) {
		GinkgoHelper()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(quarantine.ReasonHeader)).To(Equal("draining"))
		Expect(response.Header.Get(outcome.Header)).To(Equal("not-run"))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	}

	It("is refused at once, and told where to go", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		Eventually(ctx, p.firstSynced).Should(BeTrue())
		p.clockOffset.Store(int64(time.Minute))
		p.proxy.Drain(p.now(), longGrace)
		response, err := post(ctx, p.startPatient(), "/patient/")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		expectRefusal(response)
		Expect(response.Header.Get(entries.Header)).To(Equal("127.0.0.1:3,127.0.0.1:4"))
		Expect(p.arrivals()).To(BeZero())
	}, SpecTimeout(specTimeout))

	It("is refused at once if it waits for an upstream", func(ctx SpecContext) {
		p := newTestProxy()
		url := p.startPatient()
		go func() {
			defer GinkgoRecover()
			Eventually(ctx, p.proxy.ActiveRequests).Should(Equal(1))
			p.proxy.Drain(p.now(), longGrace)
		}()
		started := time.Now()
		response, err := post(ctx, url, "/patient/")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		expectRefusal(response)
		Expect(time.Since(started)).To(BeNumerically("<", longGrace.Wait))
	}, SpecTimeout(specTimeout))

	It("is served if requests like it have taken less", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(succeed))
		url := p.startPatient()
		Expect(fetch(ctx, url, "/patient/").status).To(Equal(http.StatusOK))
		p.proxy.Drain(p.now(), longGrace)
		Expect(fetch(ctx, url, "/patient/").status).To(Equal(http.StatusOK))
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A request that still runs when the instance stops", func() {
	shortGrace := graceOf(100*time.Millisecond, 600*time.Millisecond)

	// drainLater begins a planned stop once a request has reached an upstream.
	drainLater := func(ctx SpecContext, p *testProxy) {
		go func() {
			defer GinkgoRecover()
			Eventually(ctx, p.arrivals).Should(Equal(1))
			p.proxy.Drain(p.now(), shortGrace)
		}()
	}

	DescribeTable("is answered with an unknown outcome, and not sent again", func(ctx SpecContext, path string) {
		hang := func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
		}
		p := newTestProxy(newFakeUpstream(hang), newFakeUpstream(hang))
		drainLater(ctx, p)
		response, err := post(ctx, p.startPatient(), path)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(response.Header.Get(quarantine.ReasonHeader)).To(Equal("draining"))
		Expect(response.Header.Get(outcome.Header)).To(Equal("unknown"))
		Expect(p.arrivals()).To(Equal(1))
	},
		Entry("an idempotent one", SpecTimeout(specTimeout), "/look/"),
		Entry("one that must not run twice", SpecTimeout(specTimeout), "/book/"),
		Entry("a stream before its first byte", SpecTimeout(specTimeout), "/draft/"),
	)

	// streamForever writes events, each in two parts.
	streamForever := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		w.Header().Set("Content-Type", eventStream)
		for n := 0; r.Context().Err() == nil; n++ {
			for _, part := range []string{fmt.Sprintf("id: %d\nda", n), "ta: a\n\n"} {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				pause.For(r.Context(), 5*time.Millisecond)
			}
		}
	}

	It("is cut between two events if it is a stream that may be resumed", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(streamForever))
		drainLater(ctx, p)
		view := fetch(ctx, p.startPatient(), "/draft/")
		Expect(view.err).To(HaveOccurred(), "visibly incomplete")
		Expect(view.body).To(HaveSuffix("\ndata: a\n\n"))
		Expect(p.proxy.DrainSummary().EndedEarly).To(Equal(map[outcome.EarlyEnd]int{outcome.CutBetweenEvents: 1}))
	}, SpecTimeout(specTimeout))

	It("is cut at the end of the grace if it is another stream", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(streamForever))
		drainLater(ctx, p)
		view := fetch(ctx, p.startPatient(), "/write/")
		Expect(view.err).To(HaveOccurred(), "visibly incomplete")
		Expect(p.proxy.DrainSummary().EndedEarly).To(Equal(map[outcome.EarlyEnd]int{outcome.InstanceStopped: 1}))
	}, SpecTimeout(specTimeout))
})
