package desk_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// respondUntilClose sends a response of a content type that ends with its connection.
func respondUntilClose(contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
	}
}

// A crashing upstream may close its connection in the same way as one that has finished.
var _ = Describe("a response that ends with its connection", func() {
	var server *testServer
	var upstream *fakeUpstream

	BeforeEach(func() {
		server = newTestServer(newFakeVoters(), "a")
		upstream = newFakeUpstream(nil)
		server.setUpstreams(upstream.address())
	})

	DescribeTable("is not framed as complete", func(ctx SpecContext, contentType, body string) {
		upstream.handler = respondUntilClose(contentType, body)
		reply := server.book(ctx, "", "two seats")
		Expect(reply.cutOff).To(BeFalse())
		Expect(reply.body).To(Equal(body))
		Expect(reply.framing).To(Equal(shuttle.UntilClose))
	},
		Entry("a plain response", SpecTimeout(specTimeout), "text/plain", "booked"),
		Entry("an event stream of a service", SpecTimeout(specTimeout), "text/event-stream", "data: seat 7\n\n"),
	)

	It("is not framed as complete when it is replayed", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream.handler = respondUntilClose("text/plain", "booked")
		Expect(server.book(ctx, "k", "two seats").framing).To(Equal(shuttle.UntilClose))
		server.api.Wait()
		again := server.book(ctx, "k", "two seats")
		Expect(again.replayed).To(BeTrue())
		Expect(again.body).To(Equal("booked"))
		Expect(again.framing).To(Equal(shuttle.UntilClose))
	})

	It("is broken off where the event stream of a service was", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream.handler = respondUntilClose("text/event-stream", "data: seat 7\n\ndata: se")
		Expect(server.book(ctx, "", "two seats").cutOff).To(BeTrue())
	})

	It("is complete if it is a completion with its final event", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream.handler = respondUntilClose("text/event-stream", "data: {\"a\":1}\n\ndata: [DONE]\n\n")
		reply := server.call(ctx, http.MethodPost, "/v1/chat/completions", "", `{"model":"m","stream":true}`)
		Expect(reply.cutOff).To(BeFalse())
		Expect(reply.framing).To(Equal(shuttle.Delimited))
	})

	It("is broken off if it is a completion without its final event", SpecTimeout(specTimeout), func(ctx SpecContext) {
		upstream.handler = respondUntilClose("text/event-stream", "data: {\"a\":1}\n\n")
		reply := server.call(ctx, http.MethodPost, "/v1/chat/completions", "", `{"model":"m","stream":true}`)
		Expect(reply.cutOff).To(BeTrue())
	})
})
