package desk_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	// lateCut is how long an upstream waits before it ends its connection late.
	lateCut = 30 * time.Millisecond
	// cutsAtOnce is how many requests with a cut response are in flight at once.
	cutsAtOnce = 16
	// cutsTimeout is the time for all cuts of a response.
	cutsTimeout = time.Minute
	// cutMark begins the cut of the response in the body of a request. cutFormat has the number of the cut, the
	// bytes that are sent, whether the connection is reset, and whether it ends late.
	cutMark   = "cut "
	cutFormat = cutMark + "%d %d %t %t"
)

// cutResponder sends a response that is cut as the bodies of its requests state.
type cutResponder struct {
	text string

	mu       sync.Mutex
	arrivals map[int]int
}

func (c *cutResponder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer GinkgoRecover()
	body, _ := io.ReadAll(r.Body)
	var number, at int
	var reset, late bool
	_, stated, _ := strings.Cut(string(body), cutMark)
	_, err := fmt.Sscanf(cutMark+stated, cutFormat, &number, &at, &reset, &late)
	Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	c.arrivals[number]++
	c.mu.Unlock()
	sent := standin.Cut{At: at, Reset: reset}
	if late {
		sent.Wait = lateCut
	}
	Expect(sent.Send(w, r, c.text)).To(Succeed())
}

func (c *cutResponder) arrivalsOf(number int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[number]
}

// cutCall is a kind of request whose response is cut.
type cutCall struct {
	method, path, body, key string
	// arrivals is how often the request may arrive.
	arrivals int
}

// cutCalls has the cut of the response in place of CUT.
var cutCalls = []cutCall{
	{method: http.MethodPost, path: "/services/booking/book", body: "CUT", arrivals: 1},
	{method: http.MethodPost, path: "/services/booking/book", body: "CUT", key: "CUT", arrivals: 1},
	{method: http.MethodPut, path: "/services/booking/seats", body: "CUT", arrivals: 2},
	{method: http.MethodPost, path: "/v1/completions", body: `{"model":"m","user":"CUT "}`, arrivals: 2},
	{method: http.MethodPost, path: "/v1/completions", body: `{"model":"m","stream":true,"user":"CUT "}`, arrivals: 2},
}

// cutEnds returns the numbers of bytes of the heads of a response, and of those before its end of which
// callers can know that they are not all.
func cutEnds(text string) (head, end int) {
	last := strings.LastIndex(text, "HTTP/1.")
	head = last + strings.Index(text[last:], "\r\n\r\n") + len("\r\n\r\n")
	switch {
	case strings.Contains(text, "[DONE]"):
		return head, strings.Index(text, "[DONE]\n\n") + len("[DONE]\n")
	case strings.Contains(text, "Content-Length"), strings.Contains(text, "chunked"):
		return head, len(text)
	default:
		return head, head
	}
}

// Nothing in a head that was cut short says how the response goes on: it may be any other one, or none.
var _ = DescribeTable("a response that is cut short at any byte is never whole for its caller, and its request is not sent again if it must not run twice",
	func(ctx SpecContext, text string) {
		responder := &cutResponder{text: text, arrivals: map[int]int{}}
		server := newTestServer(newFakeVoters(), "a", func(limits *desk.Limits) { limits.MaxPrefetchBytes = 100 })
		first, second := httptest.NewServer(responder), httptest.NewServer(responder)
		DeferCleanup(first.Close)
		DeferCleanup(second.Close)
		server.setUpstreams(first.Listener.Addr().String(), second.Listener.Addr().String())
		head, end := cutEnds(text)
		var calls sync.WaitGroup
		places := make(chan struct{}, cutsAtOnce)
		for number := range end * len(cutCalls) {
			call, at := cutCalls[number%len(cutCalls)], number/len(cutCalls)
			// Each kind of call gets each way to end the connection at one of four bytes in a row.
			cut := fmt.Sprintf(cutFormat, number, at, number%2 > 0, number/2%2 > 0)
			places <- struct{}{}
			calls.Go(func() {
				defer GinkgoRecover()
				defer func() { <-places }()
				reply := server.call(ctx, call.method, call.path, strings.ReplaceAll(call.key, "CUT", cut), strings.ReplaceAll(call.body, "CUT", cut))
				what := fmt.Sprintf("%+v, %s: got %+v", call, cut, reply)
				Expect(reply.status == http.StatusBadGateway || reply.cutOff && at >= head).To(BeTrue(), what)
				Expect(reply.outcome).NotTo(Equal("not-run"), what)
				Expect(responder.arrivalsOf(number)).To(And(BeNumerically(">", 0), BeNumerically("<=", call.arrivals)), what)
			})
		}
		calls.Wait()
	},
	Entry("with a length", SpecTimeout(cutsTimeout), "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nseat"),
	Entry("in chunks with a trailer", SpecTimeout(cutsTimeout),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n4\r\nseat\r\n6;a=b\r\ns 7, 8\r\n0\r\nX-End: 1\r\n\r\n"),
	Entry("until close", SpecTimeout(cutsTimeout), "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nseat"),
	Entry("until close in HTTP/1.0", SpecTimeout(cutsTimeout), "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\nseat"),
	Entry("behind an interim response", SpecTimeout(cutsTimeout), "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nseat"),
	Entry("without a body", SpecTimeout(cutsTimeout), "HTTP/1.1 204 No Content\r\nX-Seat: 7\r\n\r\n"),
	Entry("that was not modified", SpecTimeout(cutsTimeout), "HTTP/1.1 304 Not Modified\r\nEtag: \"a\"\r\n\r\n"),
	Entry("of length 0", SpecTimeout(cutsTimeout), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
	Entry("that says the request did not run", SpecTimeout(cutsTimeout), "HTTP/1.1 503 Service Unavailable\r\n"+upstreamapi.RefusedHeader+": not-run\r\n\r\n"),
	Entry("of events in chunks", SpecTimeout(cutsTimeout),
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"),
	Entry("of events until close", SpecTimeout(cutsTimeout), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"),
)

// TLS announces the regular end of a connection when it is closed.
var _ = DescribeTable("a response that is cut short at any byte is not whole for a caller over TLS either",
	func(ctx SpecContext, text string) {
		responder := &cutResponder{text: text, arrivals: map[int]int{}}
		upstream := httptest.NewServer(responder)
		DeferCleanup(upstream.Close)
		server := newTestServer(newFakeVoters(), "a")
		server.setUpstreams(upstream.Listener.Addr().String())
		secure := httptest.NewUnstartedServer(server.api)
		secure.Config.ConnContext = shuttle.WithConn
		secure.StartTLS()
		DeferCleanup(secure.Close)
		_, end := cutEnds(text)
		for number := range 2 * end {
			cut := fmt.Sprintf(cutFormat, number, number/2, number%2 > 0, false)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, secure.URL+"/services/booking/book", strings.NewReader(cut))
			Expect(err).NotTo(HaveOccurred())
			response, err := secure.Client().Do(request)
			if err != nil {
				continue
			}
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
			Expect(err != nil || response.StatusCode == http.StatusBadGateway).To(BeTrue(), "%s: got %d", cut, response.StatusCode)
		}
	},
	Entry("with a length", SpecTimeout(cutsTimeout), "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nseat"),
	Entry("of events in chunks", SpecTimeout(cutsTimeout),
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n"),
	Entry("until close", SpecTimeout(cutsTimeout), "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nseat"),
)
