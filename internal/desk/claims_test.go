package desk_test

import (
	"context"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// Each entry of the table injects a fault into one step of a booking with a key. The caller
// then sends the same booking again to another instance, without a fault. Both outcomes that
// the caller receives must be true, and the upstream must have run the booking as often as the
// entry says, never twice.
var _ = Describe("a request that must not run twice", func() {
	var cluster *fakeVoters
	var first, second *testServer
	var upstream *fakeUpstream

	BeforeEach(func() {
		cluster = newFakeVoters()
		first, second = newTestServer(cluster, "first"), newTestServer(cluster, "second")
		upstream = newFakeUpstream(nil)
		first.setUpstreams(upstream.address())
		second.setUpstreams(upstream.address())
	})

	type faultCase struct {
		injectFault func()
		// status and outcome are those of the first reply, resendOutcome is the outcome of the
		// second.
		status        int
		outcome       string
		resendOutcome string
		runs          int
	}
	handle := func(handler http.HandlerFunc) func() {
		return func() { upstream.handler = handler }
	}
	DescribeTable("is run at most once whatever fails",
		func(ctx SpecContext, c faultCase) {
			c.injectFault()
			reply := first.book(ctx, "k", "two seats")
			Expect(reply.status).To(Equal(c.status), reply.body)
			Expect(reply.outcome).To(Equal(c.outcome), reply.body)
			first.api.Wait()
			upstream.recover()
			first.setUpstreams(upstream.address())
			again := second.book(ctx, "k", "two seats")
			Expect(again.outcome).To(Equal(c.resendOutcome), again.body)
			Expect(upstream.runCount()).To(Equal(c.runs))
		},
		Entry("no fault", SpecTimeout(specTimeout), faultCase{
			injectFault: func() {}, status: 200, outcome: "ran", resendOutcome: "ran", runs: 1,
		}),
		Entry("no quorum for the claim", SpecTimeout(specTimeout), faultCase{
			injectFault: func() { cluster.failNextClaim(false, errNoQuorum) },
			status:      503, outcome: "not-run", resendOutcome: "ran", runs: 1,
		}),
		Entry("the claim is granted and its answer lost", SpecTimeout(specTimeout), faultCase{
			injectFault: func() { cluster.failNextClaim(true, errAnswerLost) },
			status:      503, outcome: "not-run", resendOutcome: "ran", runs: 1,
		}),
		Entry("the upstream refuses the connection", SpecTimeout(specTimeout), faultCase{
			injectFault: func() { first.setUpstreams(closedAddress()) },
			status:      503, outcome: "not-run", resendOutcome: "ran", runs: 1,
		}),
		Entry("the upstream refuses the request", SpecTimeout(specTimeout), faultCase{
			// The fake upstream counts the refused request too.
			injectFault: handle(refuseNotRun), status: 503, outcome: "not-run", resendOutcome: "ran", runs: 2,
		}),
		Entry("the upstream dies after reading the request headers", SpecTimeout(specTimeout), faultCase{
			injectFault: func() { first.setUpstreams(closeAfterReading("\r\n\r\n")) },
			status:      502, outcome: "unknown", resendOutcome: "unknown", runs: 0,
		}),
		Entry("the upstream dies after reading half the body", SpecTimeout(specTimeout), faultCase{
			injectFault: func() { first.setUpstreams(closeAfterReading("two ")) },
			status:      502, outcome: "unknown", resendOutcome: "unknown", runs: 0,
		}),
		Entry("the upstream dies after its complete response", SpecTimeout(specTimeout), faultCase{
			injectFault: handle(respondThenClose), status: 200, outcome: "ran", resendOutcome: "ran", runs: 1,
		}),
		Entry("the upstream dies before it responds", SpecTimeout(specTimeout), faultCase{
			injectFault: handle(closeWithoutResponse), status: 502, outcome: "unknown", resendOutcome: "unknown", runs: 1,
		}),
		Entry("the upstream dies in the middle of its answer", SpecTimeout(specTimeout), faultCase{
			injectFault: handle(closeMidResponse), status: 502, outcome: "ran", resendOutcome: "ran", runs: 1,
		}),
		Entry("recording the outcome fails", SpecTimeout(specTimeout), faultCase{
			injectFault: func() {
				isRecord := func(command registry.Command) bool { _, ok := command.(docket.Record); return ok }
				cluster.failNext(isRecord, false, errNoQuorum)
			},
			status: 200, outcome: "ran", resendOutcome: "unknown", runs: 1,
		}),
	)

	It("gets the recorded answer when it is sent again", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(first.book(ctx, "k", "two seats").body).To(Equal("booked"))
		first.api.Wait()
		again := second.book(ctx, "k", "two seats")
		Expect(again.status).To(Equal(http.StatusOK))
		Expect(again.body).To(Equal("booked"))
		Expect(again.replayed).To(BeTrue())
		status := second.call(ctx, http.MethodGet, "/v1/requests/k?service=booking", "", "")
		Expect(status.body).To(ContainSubstring(`"state":"completed","outcome":"ran"`))
	})

	// A response of several MiB goes to the caller, but not through the replicated log, where
	// it would delay heartbeats and claims. A resend gets the outcome without the response.
	It("has no recorded response if the response is too large", SpecTimeout(specTimeout), func(ctx SpecContext) {
		large := strings.Repeat("x", docket.DefaultLimits().MaxBodyBytes+1)
		upstream.handler = func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write([]byte(large))
			Expect(err).NotTo(HaveOccurred())
		}
		cluster.failNext(func(command registry.Command) bool {
			record, ok := command.(docket.Record)
			return ok && record.Response != nil
		}, false, errNoQuorum)
		Expect(first.book(ctx, "k", "two seats").body).To(Equal(large))
		first.api.Wait()
		again := second.book(ctx, "k", "two seats")
		Expect(again.status).To(Equal(http.StatusConflict))
		Expect(again.outcome).To(Equal("ran"))
		Expect(upstream.runCount()).To(Equal(1))
	})

	// Two instances receive the same booking at the same time. One of them claims it; the other
	// waits and returns the same response.
	It("is run once when it comes to two instances at once", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		upstream.handler = func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, err := w.Write([]byte("booked"))
			Expect(err).NotTo(HaveOccurred())
		}
		var calls sync.WaitGroup
		replies := make(chan callerReply, 2)
		for _, server := range []*testServer{first, second} {
			calls.Go(func() {
				defer GinkgoRecover()
				replies <- server.book(ctx, "k", "two seats")
			})
		}
		Eventually(upstream.runCount).Should(Equal(1))
		close(release)
		calls.Wait()
		Expect((<-replies).body).To(Equal("booked"))
		Expect((<-replies).body).To(Equal("booked"))
		Expect(upstream.runCount()).To(Equal(1))
	})

	// The caller disconnects after its booking was sent to the upstream, and sends it again.
	// The booking continues, and the second request gets its response.
	It("continues when its caller disconnects", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release, arrived := make(chan struct{}), make(chan struct{})
		upstream.handler = func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-release
			_, err := w.Write([]byte("booked"))
			Expect(err).NotTo(HaveOccurred())
		}
		callCtx, disconnect := context.WithCancel(ctx)
		reply := make(chan callerReply)
		go func() {
			defer GinkgoRecover()
			reply <- first.book(callCtx, "k", "two seats")
		}()
		<-arrived
		disconnect()
		<-reply
		close(release)
		again := second.book(ctx, "k", "two seats")
		Expect(again.body).To(Equal("booked"))
		Expect(upstream.runCount()).To(Equal(1))
	})

	It("is refused when its key was used for another request", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(first.book(ctx, "k", "two seats").status).To(Equal(http.StatusOK))
		other := second.book(ctx, "k", "three seats")
		Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(other.outcome).To(Equal("not-run"))
		Expect(other.body).To(ContainSubstring(string(desk.CodeKeyReused)))
		Expect(upstream.runCount()).To(Equal(1))
	})

	It("is sent to only one upstream if it has no key", SpecTimeout(specTimeout), func(ctx SpecContext) {
		second := newFakeUpstream(nil)
		upstream.handler = closeWithoutResponse
		first.setUpstreams(upstream.address(), second.address())
		reply := first.book(ctx, "", "two seats")
		Expect(reply.outcome).To(Equal("unknown"))
		Expect(upstream.runCount() + second.runCount()).To(Equal(1))
	})
})
