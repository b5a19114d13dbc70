package desk_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/entries"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/shutdown"
)

// Such requests were sent, and their connections were closed without an answer at the end of the stop.
var _ = Describe("a request beside a planned stop", func() {
	// timeLeft is shorter than the deadline of a request.
	const timeLeft = 5 * time.Second
	var server *testServer
	var upstream *fakeUpstream

	BeforeEach(func() {
		server = newTestServer(newFakeVoters(), "self")
		upstream = newFakeUpstream(nil)
		server.setUpstreams(upstream.address())
	})

	// stopSoon begins a stop that ends soon once a request has reached the upstream.
	stopSoon := func(ctx SpecContext) {
		go func() {
			defer GinkgoRecover()
			Eventually(ctx, upstream.runCount).Should(Equal(1))
			server.api.Stop(endAfter(100 * time.Millisecond))
		}()
	}

	It("is refused at once, and told where to go, if its deadline is later and nothing is known of its kind", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server.api.Stop(endAfter(timeLeft))
		reply := server.book(ctx, "", "two seats")
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.outcome).To(Equal("not-run"))
		Expect(reply.body).To(ContainSubstring(`"draining"`))
		Expect(reply.header.Get(entries.Header)).To(Equal("127.0.0.1:1"))
		Expect(upstream.runCount()).To(BeZero())
	})

	It("is served if requests of its kind have taken less", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(server.book(ctx, "", "two seats").status).To(Equal(http.StatusOK))
		server.api.Stop(endAfter(timeLeft))
		Expect(server.book(ctx, "", "two seats").status).To(Equal(http.StatusOK))
	})

	DescribeTable("is answered with an unknown outcome, and not sent again, if it still runs at its end",
		func(ctx SpecContext, method, key string) {
			upstream.handler = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			stopSoon(ctx)
			reply := server.call(ctx, method, "/services/booking/book", key, "two seats")
			Expect(reply.cutOff).To(BeFalse())
			Expect(reply.status).To(Equal(http.StatusBadGateway))
			Expect(reply.outcome).To(Equal("unknown"))
			Expect(reply.body).To(ContainSubstring(`"draining"`))
			Expect(upstream.runCount()).To(Equal(1))
		},
		Entry("one that must not run twice", SpecTimeout(specTimeout), http.MethodPost, ""),
		Entry("one with a key", SpecTimeout(specTimeout), http.MethodPost, "k"),
		Entry("one that may run twice", SpecTimeout(specTimeout), http.MethodPut, ""),
	)

	It("ends with the reason between two events if its stream still runs", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream.handler = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: seat 7\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
		stopSoon(ctx)
		reply := server.book(ctx, "", "two seats")
		Expect(reply.cutOff).To(BeTrue())
		Expect(reply.body).To(HavePrefix("id: 1\ndata: seat 7\n\n"))
		Expect(reply.body).To(ContainSubstring(`"code":"draining"`))
		Expect(server.earlyEnds()).To(Equal(map[string]int64{"instance-stopped": 1}))
		Expect(server.api.StopSummary().EndedEarly).To(Equal(map[outcome.EarlyEnd]int{outcome.InstanceStopped: 1}))
	})

	// It was counted as left by its caller.
	It("is counted as ended by the stop if its caller reads so late that its connection is closed", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream.handler = func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, "seat 7")
			if r.Method == http.MethodPut {
				<-r.Context().Done()
			}
		}
		calling, closeConnection := context.WithCancel(ctx)
		caller := &lateCaller{ResponseRecorder: httptest.NewRecorder(), writing: make(chan struct{}), closed: calling.Done()}
		ended := make(chan any, 1)
		go func() {
			defer func() { ended <- recover() }()
			server.api.ServeHTTP(caller, httptest.NewRequestWithContext(calling, http.MethodGet, "/services/booking/seats", http.NoBody))
		}()
		Eventually(ctx, caller.writing).Should(BeClosed())
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			statuses <- server.call(ctx, http.MethodPut, "/services/booking/seats", "", "two seats").status
		}()
		Eventually(ctx, upstream.runCount).Should(Equal(2))
		server.api.Stop(endAfter(time.Millisecond))
		Eventually(ctx, statuses).Should(Receive(Equal(http.StatusBadGateway)), "the stop has ended")
		closeConnection()
		Eventually(ctx, ended).Should(Receive())
		Expect(server.earlyEnds()).To(Equal(map[string]int64{"instance-stopped": 1}))
	})

	// It waited beyond the end of the stop, and its connection was closed without an answer.
	It("is answered at its end if another request with its key is in progress elsewhere", SpecTimeout(specTimeout), func(ctx SpecContext) {
		voters := newFakeVoters()
		waiting := newTestServer(voters, "waiting", func(limits *desk.Limits) { limits.InProgressWait = specTimeout })
		running := newTestServer(voters, "running")
		release := make(chan struct{})
		defer close(release)
		upstream.handler = func(http.ResponseWriter, *http.Request) { <-release }
		running.setUpstreams(upstream.address())
		go func() {
			defer GinkgoRecover()
			running.book(ctx, "k", "two seats")
		}()
		Eventually(ctx, upstream.runCount).Should(Equal(1))
		replies := make(chan callerReply, 1)
		go func() {
			defer GinkgoRecover()
			replies <- waiting.book(ctx, "k", "two seats")
		}()
		Eventually(ctx, waiting.api.ActiveRequests).Should(Equal(1))
		waiting.api.Stop(endAfter(100 * time.Millisecond))
		var reply callerReply
		Eventually(ctx, replies, 2*time.Second).Should(Receive(&reply))
		Expect(reply.status).To(Equal(http.StatusConflict))
		Expect(reply.body).To(ContainSubstring(`"in-progress"`))
	})

	// It was sent although it could not end, and its outcome was unknown.
	It("is not sent if it has waited until it is not expected to end in time", SpecTimeout(specTimeout), func(ctx SpecContext) {
		// Others are expected to take three times as long as the first.
		const firstTime, timeLeft = time.Second, 3 * time.Second
		stopping := make(chan struct{})
		server := newTestServer(newFakeVoters(), "self")
		server.maxRunning = 1
		server.setUpstreams(upstream.address())
		upstream.handler = func(w http.ResponseWriter, r *http.Request) {
			<-stopping
			pause.For(r.Context(), firstTime)
			fmt.Fprint(w, "booked")
		}
		statuses := make(chan int, 2)
		book := func(seats string) {
			defer GinkgoRecover()
			statuses <- server.book(ctx, "", seats).status
		}
		go book("two seats")
		Eventually(ctx, upstream.runCount).Should(Equal(1))
		go book("three seats")
		Eventually(ctx, server.api.ActiveRequests).Should(Equal(2))
		server.api.Stop(endAfter(timeLeft))
		close(stopping)
		Eventually(ctx, statuses).Should(HaveLen(2))
		Expect([]int{<-statuses, <-statuses}).To(ConsistOf(http.StatusOK, http.StatusServiceUnavailable))
		Expect(upstream.runCount()).To(Equal(1))
	})

	// Nothing told which requests a stop had refused and cut, and why.
	It("is counted by what became of it", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream.handler = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		stopSoon(ctx)
		Expect(server.book(ctx, "", "two seats").status).To(Equal(http.StatusBadGateway))
		Expect(server.book(ctx, "", "two seats").status).To(Equal(http.StatusServiceUnavailable))
		summary := server.api.StopSummary()
		Expect(summary.Open).To(Equal(1))
		Expect(summary.Unfinished).To(Equal(1))
		Expect(summary.Refused).To(Equal(map[string]int{"expected-to-take-too-long": 1}))
	})

	It("is counted as taken and whole", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(server.book(ctx, "", "two seats").status).To(Equal(http.StatusOK))
		// A response ends for its caller before it is counted.
		Eventually(ctx, server.api.ActiveRequests).Should(BeZero())
		server.api.Stop(endAfter(timeLeft))
		Expect(server.book(ctx, "", "two seats").status).To(Equal(http.StatusOK))
		Eventually(ctx, server.api.ActiveRequests).Should(BeZero())
		Expect(server.api.StopSummary().Taken).To(Equal(1))
		Expect(server.api.StopSummary().Whole).To(Equal(1))
	})
})

// endAfter returns the schedule of a stop that ends all requests at once.
func endAfter(timeLeft time.Duration) shutdown.Schedule {
	return shutdown.Schedule{TakeUntil: timeLeft, AnswersEnd: timeLeft, BegunEnd: timeLeft}
}

// lateCaller is the response writer of a caller that reads nothing until its connection is closed.
type lateCaller struct {
	*httptest.ResponseRecorder
	writing chan struct{}
	closed  <-chan struct{}
}

func (c *lateCaller) Write([]byte) (int, error) {
	close(c.writing)
	<-c.closed
	return 0, net.ErrClosed
}

// earlyEnds returns how many responses ended early, by the cause.
func (s *testServer) earlyEnds() map[string]int64 {
	counts := map[string]int64{}
	for _, counter := range s.metrics.Snapshot().Counters() {
		if counter.Name() == "desk.early_ends" {
			counts[counter.Tags()["cause"]] += counter.Value()
		}
	}
	return counts
}

// Which of the begun responses the instance itself had cut could not be told without a stop.
var _ = Describe("a response that ends early", func() {
	// writeBeginning begins a stream.
	writeBeginning := func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: seat 7\n\n")
		_ = http.NewResponseController(w).Flush()
	}

	DescribeTable("is counted and logged by the cause",
		func(ctx SpecContext, cause string, deadline time.Duration, leavesAfter int64, handler http.HandlerFunc) {
			server := newTestServer(newFakeVoters(), "self", func(limits *desk.Limits) { limits.DefaultDeadline = deadline })
			upstream := newFakeUpstream(nil)
			upstream.handler = handler
			server.setUpstreams(upstream.address())
			server.readAndLeave(ctx, leavesAfter)
			Eventually(ctx, server.earlyEnds).Should(Equal(map[string]int64{cause: 1}))
			Eventually(ctx, server.log).Should(gbytes.Say(`"early-end":"` + cause + `"`))
		},
		Entry("its upstream breaks off", SpecTimeout(specTimeout), "upstream-broke-off", 10*time.Second, int64(1<<10), func(w http.ResponseWriter, _ *http.Request) {
			writeBeginning(w)
			panic(http.ErrAbortHandler)
		}),
		Entry("its deadline passes", SpecTimeout(specTimeout), "deadline-passed", 300*time.Millisecond, int64(1<<10), func(w http.ResponseWriter, r *http.Request) {
			writeBeginning(w)
			<-r.Context().Done()
		}),
		Entry("its caller leaves", SpecTimeout(specTimeout), "caller-left", 10*time.Second, int64(20),
			respondUntilLeft("text/event-stream", []byte("data: seat 7\n\n"), 200)),
	)
})
