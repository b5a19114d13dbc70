package desk_test

import (
	"fmt"
	"net/http"
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
