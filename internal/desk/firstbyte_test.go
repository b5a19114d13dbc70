package desk_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// Its caller got no answer at all: the connection was closed without a head.
var _ = Describe("a response that breaks before its first byte", func() {
	const events, chunked = "Content-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	responses := map[string]string{
		"events in chunks":                      events + chunked,
		"events until close":                    events + "\r\n",
		"events with a chunk size that is none": events + chunked + "seat\r\n",
		"compressed events":                     events + "Content-Encoding: gzip\r\n" + chunked,
		"a body too large to be read ahead":     "Content-Type: text/plain\r\nContent-Length: 101\r\n\r\n",
	}
	// start starts a server before an upstream that breaks a response, and before others.
	start := func(response string, reset bool, others ...*fakeUpstream) (*testServer, *fakeUpstream) {
		text := "HTTP/1.1 200 OK\r\n" + response
		server := newTestServer(newFakeVoters(), "a", func(limits *desk.Limits) { limits.MaxPrefetchBytes = 100 })
		faulty := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			_ = standin.Cut{At: len(text), Wait: lateCut, Reset: reset}.Send(w, r, text)
		})
		addresses := []string{faulty.address()}
		for _, other := range others {
			addresses = append(addresses, other.address())
		}
		server.setUpstreams(addresses...)
		return server, faulty
	}

	It("is reported as cut off", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for name, response := range responses {
			for _, reset := range []bool{false, true} {
				server, faulty := start(response, reset)
				reply := server.book(ctx, "", "two seats")
				Expect(reply.cutOff).To(BeFalse(), name)
				Expect(reply.status).To(Equal(http.StatusBadGateway), name)
				Expect(reply.outcome).To(Equal("ran"), name)
				Expect(faulty.runCount()).To(Equal(1), name)
			}
		}
	})

	It("is replaced if its request may run twice", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for name, response := range responses {
			for _, reset := range []bool{false, true} {
				server, faulty := start(response, reset, newFakeUpstream(nil))
				for range 8 {
					Expect(server.call(ctx, http.MethodGet, "/services/booking/book", "", "").body).To(Equal("booked"), name)
				}
				Expect(faulty.runCount()).To(BeNumerically(">", 0), name)
			}
		}
	})
})
