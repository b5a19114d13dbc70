package desk_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/entries"
)

var _ = Describe("an instance at its limits", func() {
	var release chan struct{}
	var busy *fakeUpstream

	BeforeEach(func() {
		release = make(chan struct{})
		busy = newFakeUpstream(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = w.Write([]byte("booked"))
		})
	})

	// occupy leaves a request in progress at the upstream until the spec ends. The request does
	// not use the context of the spec, which ends earlier.
	occupy := func(ctx SpecContext, server *testServer) {
		status := make(chan int, 1)
		go func() {
			status <- server.call(context.Background(), http.MethodPost, "/v1/completions", "", `{"model":"m"}`).status
		}()
		Eventually(ctx, busy.runCount).Should(Equal(1))
		DeferCleanup(func(ctx SpecContext) {
			close(release)
			Eventually(ctx, status).WithTimeout(specTimeout).Should(Receive(Equal(http.StatusOK)))
		})
	}

	// Callers of a failed instance reconnect to this one. At its limit it refuses their
	// requests immediately, reports that nothing was sent and names other instances. It still
	// serves /v1/entries, and requests in progress continue.
	It("refuses requests beyond the maximum in progress", SpecTimeout(2*specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "full", func(l *desk.Limits) { l.MaxActiveRequests = 1 })
		server.setUpstreams(busy.address())
		occupy(ctx, server)
		refused := server.book(ctx, "", "seat 7")
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.outcome).To(Equal("not-run"))
		Expect(refused.body).To(ContainSubstring(`"code":"overloaded"`))
		Expect(refused.header.Get("Retry-After")).To(Equal("2"))
		Expect(refused.header.Get(entries.Header)).To(Equal("127.0.0.1:1"))
		Expect(server.call(ctx, http.MethodGet, "/v1/entries", "", "").status).To(Equal(http.StatusOK))
		Expect(busy.runCount()).To(Equal(1))
	})

	// The only engine runs one request at a time and is busy. The service declares no goal, so
	// the default goal applies: the second request is refused once it cannot get its first
	// token in time, long before its deadline of 10 s.
	It("applies the default goal to completions", SpecTimeout(2*specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "busy", func(l *desk.Limits) {
			l.DefaultGoal = declaration.Goal{FirstToken: time.Second}
		})
		server.maxRunning = 1
		server.setUpstreams(busy.address())
		occupy(ctx, server)
		refused := server.call(ctx, http.MethodPost, "/v1/completions", "", `{"model":"m"}`)
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(ContainSubstring(`"code":"overloaded"`))
	})

	// The queue of one model is bounded. The next request is refused immediately.
	It("refuses requests beyond the queue length", SpecTimeout(2*specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "queue", func(l *desk.Limits) { l.MaxQueueLength = 1 })
		server.maxRunning = 1
		server.setUpstreams(busy.address())
		replies := make(chan callerReply, 2)
		// Cleanups run in reverse order, so this one runs after occupy releases the upstream.
		DeferCleanup(func(ctx SpecContext) {
			var second callerReply
			Eventually(ctx, replies).WithTimeout(specTimeout).Should(Receive(&second))
			Expect(second.status).To(Equal(http.StatusOK))
		})
		occupy(ctx, server)
		for range 2 {
			go func() {
				replies <- server.call(context.Background(), http.MethodPost, "/v1/completions", "", `{"model":"m"}`)
			}()
		}
		var first callerReply
		Eventually(ctx, replies).WithTimeout(specTimeout).Should(Receive(&first))
		Expect(first.status).To(Equal(http.StatusServiceUnavailable))
		Expect(first.body).To(ContainSubstring("the queue is full"))
	})
})
