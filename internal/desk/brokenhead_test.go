package desk_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
)

// Callers got such responses as answers, or no answer at all.
var _ = Describe("a broken response", func() {
	It("is reported as lost, and its request is not sent again if it must not run twice", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "a")
		for _, broken := range standin.BrokenResponses {
			upstream := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) { _ = broken.Send(w, r) })
			server.setUpstreams(upstream.address())
			for _, body := range []string{"two seats", `{"model":"m","stream":true}`} {
				reply := server.book(ctx, "", body)
				what := fmt.Sprintf("%s: got %+v", broken.Name, reply)
				Expect(reply.cutOff).To(BeFalse(), what)
				Expect(reply.status).To(Equal(http.StatusBadGateway), what)
				Expect(reply.outcome).To(Or(Equal("unknown"), Equal("ran")), what)
			}
			Expect(upstream.runCount()).To(Equal(2), broken.Name)
		}
	})

	It("is replaced by that of another upstream if the request may run twice", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for _, broken := range standin.BrokenResponses {
			server := newTestServer(newFakeVoters(), "a")
			upstream := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) { _ = broken.Send(w, r) })
			server.setUpstreams(upstream.address(), newFakeUpstream(nil).address())
			for range 4 {
				reply := server.call(ctx, http.MethodGet, "/services/booking/book", "", "")
				Expect(reply.status).To(Equal(http.StatusOK), "%s: got %+v", broken.Name, reply)
				Expect(reply.body).To(Equal("booked"), broken.Name)
			}
			Expect(upstream.runCount()).To(BeNumerically(">", 0), broken.Name)
		}
	})
})
