package desk_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// receivedEvents is what a client of server-sent events takes from a stream.
type receivedEvents struct {
	data        []string
	lastEventID string
}

// parseEvents interprets a stream as the HTML standard says. An event that the stream does not end is
// dropped.
func parseEvents(stream string) receivedEvents {
	var received receivedEvents
	var data []string
	id := ""
	lines := strings.Split(strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(stream), "\n")
	for _, line := range lines[:len(lines)-1] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			received.lastEventID = id
			if len(data) > 0 {
				received.data = append(received.data, strings.Join(data, "\n"))
			}
			data = nil
		case name == "data":
			data = append(data, value)
		case name == "id":
			id = value
		}
	}
	return received
}

// breakOff sends the beginning of an event stream in chunks, and ends the connection.
func breakOff(stream string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, stream)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

var _ = Describe("an event stream that breaks off", func() {
	// An error that joins the event which was under way gives it the wrong content, and lets the caller
	// resume behind it.
	DescribeTable("leaves its caller with whole events alone, and says why where none is under way",
		func(ctx SpecContext, rest string, saysWhy bool) {
			server := newTestServer(newFakeVoters(), "a")
			server.setUpstreams(newFakeUpstream(breakOff("id: 4\ndata: seat 4\n\n" + rest)).address())
			for _, path := range []string{"/services/booking/events", "/v1/completions"} {
				reply := server.call(ctx, http.MethodPost, path, "", `{"model":"m","stream":true}`)
				Expect(reply.cutOff).To(BeTrue())
				received := parseEvents(reply.body)
				Expect(received.lastEventID).To(Equal("4"))
				Expect(received.data[0]).To(Equal("seat 4"))
				if saysWhy {
					Expect(received.data).To(HaveLen(2))
					Expect(received.data[1]).To(HavePrefix(`{"error":`))
				} else {
					Expect(received.data).To(HaveLen(1))
				}
			}
		},
		Entry("between two events", SpecTimeout(specTimeout), "", true),
		Entry("after a comment", SpecTimeout(specTimeout), ": busy\n", true),
		Entry("in a comment", SpecTimeout(specTimeout), ": bu", true),
		Entry("in a line of data", SpecTimeout(specTimeout), "id: 5\ndata: sea", false),
		Entry("after a line of data", SpecTimeout(specTimeout), "id: 5\ndata: seat 5\n", false),
		Entry("after an id", SpecTimeout(specTimeout), "id: 5\n", false),
		Entry("in an id", SpecTimeout(specTimeout), "id: 5", false),
		Entry("after an id, with CR", SpecTimeout(specTimeout), "id: 5\r", false),
	)
})

var _ = Describe("a completion that breaks off behind its final event", func() {
	It("is whole, and nothing follows", SpecTimeout(specTimeout), func(ctx SpecContext) {
		const whole = "data: {\"a\":1}\n\ndata: [DONE]\n\n"
		server := newTestServer(newFakeVoters(), "a")
		server.setUpstreams(newFakeUpstream(breakOff(whole)).address())
		reply := server.call(ctx, http.MethodPost, "/v1/completions", "", `{"model":"m","stream":true}`)
		Expect(reply.cutOff).To(BeFalse())
		Expect(reply.body).To(Equal(whole))
	})
})

var _ = Describe("an event stream that breaks off before the end of its first event", func() {
	const whole = "id: 1\ndata: seat 1\n\ndata: [DONE]\n\n"
	var breaking, sound *fakeUpstream
	var server *testServer

	BeforeEach(func() {
		breaking = newFakeUpstream(nil)
		sound = newFakeUpstream(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, whole)
		})
		server = newTestServer(newFakeVoters(), "a")
	})

	DescribeTable("is replaced by another upstream's, or answered with an error if it must not run twice",
		func(ctx SpecContext, handler http.HandlerFunc) {
			breaking.handler = handler
			server.setUpstreams(breaking.address(), sound.address())
			for range 4 {
				for method, path := range map[string]string{http.MethodGet: "/services/booking/events", http.MethodPost: "/v1/completions"} {
					reply := server.call(ctx, method, path, "", `{"model":"m","stream":true}`)
					Expect(reply.cutOff).To(BeFalse())
					Expect(reply.body).To(Equal(whole))
				}
			}
			Expect(breaking.runCount()).To(BeNumerically(">", 0))
			server.setUpstreams(breaking.address())
			reply := server.book(ctx, "", "two seats")
			Expect(reply.status).To(Equal(http.StatusBadGateway))
			Expect(reply.outcome).To(Equal("ran"))
		},
		Entry("before any byte", SpecTimeout(specTimeout), breakOff("")),
		Entry("after an id", SpecTimeout(specTimeout), breakOff("id: 1\n")),
		Entry("in a line of data", SpecTimeout(specTimeout), breakOff("id: 1\ndata: se")),
		Entry("before any byte, with its connection", SpecTimeout(specTimeout), respondUntilClose("text/event-stream", "")),
		Entry("in a line of data, with its connection", SpecTimeout(specTimeout), respondUntilClose("text/event-stream", "data: se")),
	)

	// Callers must not wait for the header of a stream whose first event is far away.
	It("is passed on from the first comment on", SpecTimeout(specTimeout), func(ctx SpecContext) {
		testDone := make(chan struct{})
		defer close(testDone)
		breaking.handler = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, ": busy\n")
			_ = http.NewResponseController(w).Flush()
			<-testDone
		}
		server.setUpstreams(breaking.address())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.url+"/services/booking/events", nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(bufio.NewReader(response.Body).ReadString('\n')).To(Equal(": busy\n"))
	})
})

// failingWriter is the response of a caller at which the instance fails to write with a panic.
type failingWriter struct {
	*httptest.ResponseRecorder
}

func (failingWriter) Write([]byte) (int, error) {
	panic("fault of the instance")
}

// A handler that returns ends its response regularly.
var _ = Describe("a response during which its instance fails", func() {
	It("is broken off", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "a")
		server.setUpstreams(newFakeUpstream(nil).address())
		request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/services/booking/book", nil)
		Expect(func() { server.api.ServeHTTP(failingWriter{httptest.NewRecorder()}, request) }).To(PanicWith(http.ErrAbortHandler))
	})
})
