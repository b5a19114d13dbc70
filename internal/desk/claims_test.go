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

// Each entry: a caller books with a key at one instance; a fault strikes at one
// step; the caller books again with the same key at another instance, where
// everything works. What the caller is told must be true both times, and the
// upstream must have run the booking as often as given, never twice.
var _ = Describe("a request that must not run twice", func() {
	var state *voters
	var first, second *entrance
	var upstream *bookings

	BeforeEach(func() {
		state = newVoters()
		first, second = newEntrance(state, "first"), newEntrance(state, "second")
		upstream = newBookings(nil)
		first.serveAt(upstream.address())
		second.serveAt(upstream.address())
	})

	type step struct {
		fault func()
		// status and outcome are what the first call is told, again what the
		// second is.
		status  int
		outcome string
		again   string
		runs    int
	}
	then := func(handler http.HandlerFunc) func() {
		return func() { upstream.then = handler }
	}
	DescribeTable("is run at most once whatever fails",
		func(ctx SpecContext, s step) {
			s.fault()
			told := first.book(ctx, "k", "two seats")
			Expect(told.status).To(Equal(s.status), told.body)
			Expect(told.outcome).To(Equal(s.outcome), told.body)
			first.desk.Wait()
			upstream.recover()
			first.serveAt(upstream.address())
			again := second.book(ctx, "k", "two seats")
			Expect(again.outcome).To(Equal(s.again), again.body)
			Expect(upstream.counted()).To(Equal(s.runs))
		},
		Entry("nothing", SpecTimeout(specTimeout), step{
			fault: func() {}, status: 200, outcome: "ran", again: "ran", runs: 1,
		}),
		Entry("no quorum for the claim", SpecTimeout(specTimeout), step{
			fault:  func() { state.failClaims(false, errNoQuorum) },
			status: 503, outcome: "not-run", again: "ran", runs: 1,
		}),
		Entry("the claim is granted and its answer lost", SpecTimeout(specTimeout), step{
			fault:  func() { state.failClaims(true, errAnswerLost) },
			status: 503, outcome: "not-run", again: "ran", runs: 1,
		}),
		Entry("the upstream can't be connected to", SpecTimeout(specTimeout), step{
			fault:  func() { first.serveAt(nobody()) },
			status: 503, outcome: "not-run", again: "ran", runs: 1,
		}),
		Entry("the upstream refuses before it runs", SpecTimeout(specTimeout), step{
			// The fake counts the refused one too.
			fault: then(refuse), status: 503, outcome: "not-run", again: "ran", runs: 2,
		}),
		Entry("the upstream dies with the request's head read", SpecTimeout(specTimeout), step{
			fault:  func() { first.serveAt(dyingAfter("\r\n\r\n")) },
			status: 502, outcome: "unknown", again: "unknown", runs: 0,
		}),
		Entry("the upstream dies with half the body read", SpecTimeout(specTimeout), step{
			fault:  func() { first.serveAt(dyingAfter("two ")) },
			status: 502, outcome: "unknown", again: "unknown", runs: 0,
		}),
		Entry("the upstream dies right after its last byte", SpecTimeout(specTimeout), step{
			fault: then(answerAndDie), status: 200, outcome: "ran", again: "ran", runs: 1,
		}),
		Entry("the upstream dies before it answers", SpecTimeout(specTimeout), step{
			fault: then(die), status: 502, outcome: "unknown", again: "unknown", runs: 1,
		}),
		Entry("the upstream dies in the middle of its answer", SpecTimeout(specTimeout), step{
			fault: then(breakOff), status: 502, outcome: "ran", again: "ran", runs: 1,
		}),
		Entry("recording what came of it is lost", SpecTimeout(specTimeout), step{
			fault: func() {
				isRecord := func(command registry.Command) bool { _, ok := command.(docket.Record); return ok }
				state.failNext(isRecord, false, errNoQuorum)
			},
			status: 200, outcome: "ran", again: "unknown", runs: 1,
		}),
	)

	It("gets the recorded answer when it is sent again", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(first.book(ctx, "k", "two seats").body).To(Equal("booked"))
		first.desk.Wait()
		again := second.book(ctx, "k", "two seats")
		Expect(again.status).To(Equal(http.StatusOK))
		Expect(again.body).To(Equal("booked"))
		Expect(again.replayed).To(BeTrue())
		asked := second.call(ctx, http.MethodGet, "/v1/requests/k?service=booking", "", "")
		Expect(asked.body).To(ContainSubstring(`"state":"completed","outcome":"ran"`))
	})

	// An answer of megabytes goes to its caller, but not through the log of every
	// voter, which would hold up heartbeats and claims. A resend hears that the
	// booking ran.
	It("does not record an answer that is too large", SpecTimeout(specTimeout), func(ctx SpecContext) {
		large := strings.Repeat("x", docket.DefaultLimits().MaxBodyBytes+1)
		upstream.then = func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write([]byte(large))
			Expect(err).NotTo(HaveOccurred())
		}
		state.failNext(func(command registry.Command) bool {
			record, ok := command.(docket.Record)
			return ok && record.Response != nil
		}, false, errNoQuorum)
		Expect(first.book(ctx, "k", "two seats").body).To(Equal(large))
		first.desk.Wait()
		again := second.book(ctx, "k", "two seats")
		Expect(again.status).To(Equal(http.StatusConflict))
		Expect(again.outcome).To(Equal("ran"))
		Expect(upstream.counted()).To(Equal(1))
	})

	// Two instances get the same booking at the same moment. One claims it. The
	// other waits and gets the same answer.
	It("is run once when it comes to two instances at once", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release := make(chan struct{})
		upstream.then = func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, err := w.Write([]byte("booked"))
			Expect(err).NotTo(HaveOccurred())
		}
		var answers sync.WaitGroup
		got := make(chan told, 2)
		for _, at := range []*entrance{first, second} {
			answers.Go(func() {
				defer GinkgoRecover()
				got <- at.book(ctx, "k", "two seats")
			})
		}
		Eventually(upstream.counted).Should(Equal(1))
		close(release)
		answers.Wait()
		Expect((<-got).body).To(Equal("booked"))
		Expect((<-got).body).To(Equal("booked"))
		Expect(upstream.counted()).To(Equal(1))
	})

	// The caller hangs up after its booking was sent, and asks again. The
	// booking goes on; the answer is there for the second time.
	It("goes on when its caller hangs up", SpecTimeout(specTimeout), func(ctx SpecContext) {
		release, arrived := make(chan struct{}), make(chan struct{})
		upstream.then = func(w http.ResponseWriter, _ *http.Request) {
			close(arrived)
			<-release
			_, err := w.Write([]byte("booked"))
			Expect(err).NotTo(HaveOccurred())
		}
		hangUp, cancel := context.WithCancel(ctx)
		ended := make(chan told)
		go func() {
			defer GinkgoRecover()
			ended <- first.book(hangUp, "k", "two seats")
		}()
		<-arrived
		cancel()
		<-ended
		close(release)
		again := second.book(ctx, "k", "two seats")
		Expect(again.body).To(Equal("booked"))
		Expect(upstream.counted()).To(Equal(1))
	})

	It("is refused when its key was used for another request", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(first.book(ctx, "k", "two seats").status).To(Equal(http.StatusOK))
		other := second.book(ctx, "k", "three seats")
		Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(other.outcome).To(Equal("not-run"))
		Expect(other.body).To(ContainSubstring(string(desk.CodeKeyReused)))
		Expect(upstream.counted()).To(Equal(1))
	})

	It("is sent once, and to no other upstream, without a key", SpecTimeout(specTimeout), func(ctx SpecContext) {
		second := newBookings(nil)
		upstream.then = die
		first.serveAt(upstream.address(), second.address())
		told := first.book(ctx, "", "two seats")
		Expect(told.outcome).To(Equal("unknown"))
		Expect(upstream.counted() + second.counted()).To(Equal(1))
	})
})
