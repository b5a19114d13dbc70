package desk_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
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

// changeUpstreams changes the announcements of all upstreams.
func (s *testServer) changeUpstreams(change func(*upstreamapi.Announcement)) {
	s.mu.Lock()
	for i := range s.upstreams {
		change(&s.upstreams[i].Announcement)
	}
	s.mu.Unlock()
	s.sequence++
	s.announce(s.Upstreams(time.Now()), false)
}

// The kernel closes the connections of a killed process like those of one that has finished.
var _ = Describe("a response until close of an upstream that is killed", func() {
	var server *testServer
	var upstream *fakeUpstream

	BeforeEach(func() {
		server = newTestServer(newFakeVoters(), "a", func(limits *desk.Limits) { limits.MaxPrefetchBytes = 100 })
		upstream = newFakeUpstream(nil)
		server.setUpstreams(upstream.address())
	})

	// killAfter makes the upstream stop to listen before its response ends.
	killAfter := func(contentType, body string) {
		respond := respondUntilClose(contentType, body)
		upstream.handler = func(w http.ResponseWriter, r *http.Request) {
			upstream.Listener.Close()
			respond(w, r)
		}
	}

	DescribeTable("does not end regularly", func(ctx SpecContext, contentType, body string) {
		killAfter(contentType, body)
		Expect(server.book(ctx, "", "two seats").cutOff).To(BeTrue())
	},
		Entry("an event stream", SpecTimeout(specTimeout), "text/event-stream", "data: seat 7\n\n"),
		Entry("a body too large to be read ahead", SpecTimeout(specTimeout), "text/plain", strings.Repeat("seat 7\n", 20)),
	)

	It("is no answer if it was read ahead, and is not recorded as one", SpecTimeout(specTimeout), func(ctx SpecContext) {
		killAfter("text/plain", "booked")
		reply := server.book(ctx, "k", "two seats")
		Expect(reply.status).To(Equal(http.StatusBadGateway))
		Expect(reply.outcome).To(Equal("ran"))
		server.api.Wait()
		again := server.book(ctx, "k", "two seats")
		Expect(again.replayed).To(BeFalse())
		Expect(again.status).To(Equal(http.StatusConflict))
		Expect(again.outcome).To(Equal("ran"))
	})

	It("is replaced by that of another upstream if the request may run twice", SpecTimeout(specTimeout), func(ctx SpecContext) {
		killAfter("text/plain", "book")
		other := newFakeUpstream(nil)
		server.setUpstreams(upstream.address(), other.address())
		for range 8 {
			reply := server.call(ctx, http.MethodGet, "/services/booking/book", "", "")
			Expect(reply.status).To(Equal(http.StatusOK))
			Expect(reply.body).To(Equal("booked"))
		}
		Expect(upstream.runCount()).To(Equal(1))
	})

	It("does not end regularly if another process has announced itself since", SpecTimeout(specTimeout), func(ctx SpecContext) {
		respond := respondUntilClose("text/event-stream", "data: seat 7\n\n")
		upstream.handler = func(w http.ResponseWriter, r *http.Request) {
			server.changeUpstreams(func(announcement *upstreamapi.Announcement) { announcement.Incarnation++ })
			respond(w, r)
		}
		Expect(server.book(ctx, "", "two seats").cutOff).To(BeTrue())
	})

	DescribeTable("ends as the upstream's status of the request says",
		func(ctx SpecContext, state upstreamapi.RequestState, isWhole bool) {
			server.changeUpstreams(func(announcement *upstreamapi.Announcement) {
				announcement.Capabilities = []upstreamapi.Capability{upstreamapi.CapabilityRequestStatus}
			})
			respond := respondUntilClose("text/event-stream", "data: seat 7\n\n")
			upstream.handler = func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, upstreamapi.RequestsPath) {
					fmt.Fprintf(w, `{"state":%q}`, state)
					return
				}
				respond(w, r)
			}
			Expect(server.book(ctx, "", "two seats").cutOff).To(Equal(!isWhole))
		},
		Entry("finished", SpecTimeout(specTimeout), upstreamapi.RequestFinished, true),
		Entry("still running", SpecTimeout(specTimeout), upstreamapi.RequestRunning, false),
		Entry("cancelled", SpecTimeout(specTimeout), upstreamapi.RequestCancelled, false),
		Entry("never seen, by the process after it", SpecTimeout(specTimeout), upstreamapi.RequestNeverSeen, false),
		Entry("not reported after all", SpecTimeout(specTimeout), upstreamapi.RequestState(""), true),
	)
})
