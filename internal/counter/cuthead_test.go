package counter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
)

const (
	// lateCut is how long an upstream waits before it ends its connection late.
	lateCut = 30 * time.Millisecond
	// cutsAtOnce is how many requests with a cut response are in flight at once.
	cutsAtOnce = 16
	// cutsTimeout is the time for all cuts of a response.
	cutsTimeout = time.Minute
	// firstCutID is the id of the first request. All ids have its length.
	firstCutID = 100_000
)

// cut is where and how an upstream ends its response.
type cut struct {
	// at is the number of bytes that it sends.
	at int
	// reset is true if it resets its connection instead of closing it, and late if it waits before.
	reset, late bool
}

// path returns the path of a request whose response is cut.
func (c cut) path(route string) string {
	return fmt.Sprintf("/%s/%d/%t/%t", route, c.at, c.reset, c.late)
}

// parseCut returns the cut that a path states.
func parseCut(path string) cut {
	parts := strings.Split(path, "/")
	at, err := strconv.Atoi(parts[2])
	Expect(err).NotTo(HaveOccurred())
	return cut{at: at, reset: parts[3] == "true", late: parts[4] == "true"}
}

// cutsOf returns all cuts of a text before end. Late ones are around the ends of lines.
func cutsOf(text string, end int) []cut {
	var cuts []cut
	for at := range end {
		cuts = append(cuts, cut{at: at}, cut{at: at, reset: true})
		if strings.ContainsAny(text[max(0, at-1):at+1], "\r\n") {
			cuts = append(cuts, cut{at: at, late: true}, cut{at: at, late: true, reset: true})
		}
	}
	return cuts
}

// cutResponder sends responses that are cut as the paths of their requests state.
type cutResponder struct {
	// text is a response, with ID in place of the id of the request.
	text string

	mu       sync.Mutex
	arrivals map[string]int
}

func (c *cutResponder) respond(w http.ResponseWriter, r *http.Request) {
	defer GinkgoRecover()
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get(idHeader)
	c.mu.Lock()
	c.arrivals[id]++
	c.mu.Unlock()
	cut := parseCut(r.URL.Path)
	sent := standin.Cut{At: cut.at, Reset: cut.reset}
	if cut.late {
		sent.Wait = lateCut
	}
	Expect(sent.Send(w, r, strings.ReplaceAll(c.text, "ID", id))).To(Succeed())
}

func (c *cutResponder) arrivalsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[id]
}

// callRaw sends a request, whose body is its id, in a version of HTTP on a new connection.
func callRaw(ctx context.Context, address, method, path, proto, id string) callerView {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return callerView{err: err}
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "%s %s %s\r\nHost: spec.test\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s", method, path, proto, len(id), idHeader, id, id)
	if err != nil {
		return callerView{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return callerView{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerView{status: response.StatusCode, body: string(body), err: err}
}

// cutWays are the ways on which a response may be cut.
var cutWays = []way{
	{"directly", func(answer http.HandlerFunc) string {
		return newTestProxy(newFakeUpstream(answer), newFakeUpstream(answer)).server.URL
	}},
	throughPeer,
	{"by a peer", func(answer http.HandlerFunc) string {
		g := newRelayGroup(succeed)
		g.peers[1].relay.Config.Handler = answer
		return g.server.URL
	}},
}

// cutCall is a kind of request whose response is cut.
type cutCall struct {
	route, proto string
	// arrivals is how often the request may arrive.
	arrivals int
}

var cutCalls = []cutCall{
	{"look", "HTTP/1.1", 2},
	{"book", "HTTP/1.1", 1},
	{"write", "HTTP/1.1", 1},
	{"draft", "HTTP/1.1", 2},
	{"look", "HTTP/1.0", 2},
	{"book", "HTTP/1.0", 1},
	{"write", "HTTP/1.0", 1},
	{"draft", "HTTP/1.0", 2},
}

// headEnd returns the number of bytes of the heads of a response.
func headEnd(text string) int {
	last := strings.LastIndex(text, "HTTP/1.")
	return last + strings.Index(text[last:], "\r\n\r\n") + len("\r\n\r\n")
}

// cutEnd returns the number of bytes of a response of which callers can know that they are not all.
func cutEnd(text string) int {
	if strings.Contains(text, "Content-Length") || strings.Contains(text, "chunked") {
		return len(text)
	}
	return headEnd(text)
}

// Nothing in a head that was cut short says how the response goes on: it may be any other one, or none.
var _ = DescribeTable("A response that is cut short at any byte is visibly incomplete, and its request is not sent again if it must not run twice",
	func(ctx SpecContext, method, status, rest string) {
		id := firstCutID
		for _, way := range cutWays {
			text := strings.Replace(status, "STATUS", "\r\n"+idHeader+": ID\r\nLovagelift-Relay-Result: answered\r\n", 1) + rest
			responder := &cutResponder{text: text, arrivals: map[string]int{}}
			address := strings.TrimPrefix(way.start(responder.respond), "http://")
			text = strings.ReplaceAll(text, "ID", strconv.Itoa(id))
			var calls sync.WaitGroup
			places := make(chan struct{}, cutsAtOnce)
			for i, c := range cutsOf(text, cutEnd(text)) {
				id++
				id, call := strconv.Itoa(id), cutCalls[(i+c.at)%len(cutCalls)]
				places <- struct{}{}
				calls.Go(func() {
					defer GinkgoRecover()
					defer func() { <-places }()
					view := callRaw(ctx, address, method, c.path(call.route), call.proto, id)
					what := fmt.Sprintf("%s %+v, %+v: got %+v", way.name, call, c, view)
					isStream := (call.route == "write" || call.route == "draft") && c.at >= headEnd(text)
					Expect(view.status == http.StatusBadGateway || isStream && view.err != nil).To(BeTrue(), what)
					Expect(responder.arrivalsOf(id)).To(And(BeNumerically(">", 0), BeNumerically("<=", call.arrivals)), what)
				})
			}
			calls.Wait()
			id++
			view := callRaw(ctx, address, method, cut{at: len(text)}.path("look"), "HTTP/1.1", strconv.Itoa(id))
			Expect(view.err).NotTo(HaveOccurred(), "whole")
			Expect(view.status).NotTo(Equal(http.StatusBadGateway), "whole")
		}
	},
	Entry("with a length", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 200 OKSTATUS", "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nseat"),
	Entry("in chunks with a trailer", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 200 OKSTATUS",
		"Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n4\r\nseat\r\n10;a=b\r\ns 7, 8, 9 and 10\r\n0\r\nX-End: 1\r\n\r\n"),
	Entry("until close", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 200 OKSTATUS", "Content-Type: text/plain\r\n\r\nseat"),
	Entry("until close in HTTP/1.0", SpecTimeout(cutsTimeout), "POST", "HTTP/1.0 200 OKSTATUS", "Content-Type: text/plain\r\n\r\nseat"),
	Entry("with a length in HTTP/1.0", SpecTimeout(cutsTimeout), "POST", "HTTP/1.0 200 OKSTATUS", "Content-Length: 4\r\n\r\nseat"),
	Entry("behind an interim response", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OKSTATUS",
		"Content-Length: 4\r\n\r\nseat"),
	Entry("without a body", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 204 No ContentSTATUS", "\r\n"),
	Entry("that was not modified", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 304 Not ModifiedSTATUS", "Etag: \"a\"\r\n\r\n"),
	Entry("of length 0", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 200 OKSTATUS", "Content-Length: 0\r\n\r\n"),
	Entry("to a HEAD request", SpecTimeout(cutsTimeout), "HEAD", "HTTP/1.1 200 OKSTATUS", "Content-Type: "+eventStream+"\r\n\r\n"),
	Entry("that states a failure", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 500 Internal Server ErrorSTATUS", "Content-Length: 4\r\n\r\noops"),
	Entry("that says the request did not run", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 503 Service UnavailableSTATUS", notRunHeader+": 1\r\n\r\n"),
	Entry("of events in chunks", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 200 OKSTATUS",
		"Content-Type: "+eventStream+"\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n"),
	Entry("of events with a length", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 200 OKSTATUS",
		"Content-Type: "+eventStream+"\r\nContent-Length: 18\r\n\r\ndata: a\n\ndata: b\n\n"),
	Entry("of events until close", SpecTimeout(cutsTimeout), "POST", "HTTP/1.1 200 OKSTATUS", "Content-Type: "+eventStream+"\r\n\r\ndata: a\n\n"),
)

// An upstream that a peer did not reach gets the request on another way. A rejection that was cut short may
// be the head of a response.
var _ = It("A rejection by a peer that is cut short at any byte does not say that the request was not sent", func(ctx SpecContext) {
	responder := &cutResponder{text: "HTTP/1.1 503 Service Unavailable\r\nLovagelift-Relay-Result: unreachable\r\n\r\n", arrivals: map[string]int{}}
	address := strings.TrimPrefix(cutWays[2].start(responder.respond), "http://")
	for i, c := range cutsOf(responder.text, len(responder.text)) {
		id := strconv.Itoa(firstCutID + i)
		view := callRaw(ctx, address, "POST", c.path("book"), "HTTP/1.1", id)
		Expect(view.status).To(Equal(http.StatusBadGateway), "%+v: got %+v", c, view)
		Expect(responder.arrivalsOf(id)).To(Equal(1))
	}
}, SpecTimeout(cutsTimeout))

// A caller that stops in a request may have meant any other one.
var _ = DescribeTable("A request that is cut short at any byte does not reach an upstream",
	func(ctx SpecContext, text string) {
		p := newTestProxy(newFakeUpstream(succeed))
		for _, route := range []string{"look", "book", "write"} {
			text := strings.ReplaceAll(text, "ROUTE", route)
			for i := range 2 * len(text) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.server.Listener.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				_, _ = io.WriteString(conn, text[:i/2])
				if i%2 > 0 {
					Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
				}
				conn.Close()
			}
		}
		status, _, err := postToInstance(ctx, p.server.URL+"/look/", http.Header{idHeader: {"r1"}}, "whole")
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(p.arrivals()).To(Equal(1))
	},
	Entry("with a length", SpecTimeout(specTimeout), "POST /ROUTE/ HTTP/1.1\r\nHost: spec.test\r\nSpec-Request: r1\r\nContent-Length: 6\r\n\r\nseat 7"),
	Entry("in chunks", SpecTimeout(specTimeout),
		"POST /ROUTE/ HTTP/1.1\r\nHost: spec.test\r\nSpec-Request: r1\r\nTransfer-Encoding: chunked\r\n\r\n6;a=b\r\nseat 7\r\n0\r\nX-End: 1\r\n\r\n"),
	Entry("in HTTP/1.0", SpecTimeout(specTimeout), "POST /ROUTE/ HTTP/1.0\r\nHost: spec.test\r\nSpec-Request: r1\r\nContent-Length: 6\r\n\r\nseat 7"),
	Entry("without a body", SpecTimeout(specTimeout), "GET /ROUTE/ HTTP/1.1\r\nHost: spec.test\r\nSpec-Request: r1\r\n\r\n"),
)

// On a kept connection, net/http sends some requests again by itself, beyond the attempts of the route.
var _ = It("A response that is cut short at any byte on a kept connection is visibly incomplete, and only its route's attempts are made", func(ctx SpecContext) {
	responder := &cutResponder{text: "HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Length: 4\r\n\r\nseat", arrivals: map[string]int{}}
	var mu sync.Mutex
	known := map[string]bool{}
	reused := 0
	answer := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		isCut := !strings.HasSuffix(r.URL.Path, "/whole")
		if isCut && known[r.RemoteAddr] {
			reused++
		}
		known[r.RemoteAddr] = true
		mu.Unlock()
		if isCut {
			responder.respond(w, r)
			return
		}
		succeed(w, r)
	}
	address := newTestProxy(newFakeUpstream(answer), newFakeUpstream(answer)).server.Listener.Addr().String()
	text := strings.ReplaceAll(responder.text, "ID", strconv.Itoa(firstCutID))
	for i, c := range cutsOf(text, len(text)) {
		id, method := strconv.Itoa(firstCutID+i), []string{http.MethodGet, http.MethodPost, http.MethodPut}[i%3]
		Expect(callRaw(ctx, address, method, "/look/whole", "HTTP/1.1", id).status).To(Equal(http.StatusOK))
		view := callRaw(ctx, address, method, c.path("look"), "HTTP/1.1", id)
		Expect(view.status).To(Equal(http.StatusBadGateway), "%+v: got %+v", c, view)
		Expect(responder.arrivalsOf(id)).To(BeNumerically("<=", 2))
	}
	Expect(reused).To(BeNumerically(">", len(text)), "most of them")
}, SpecTimeout(cutsTimeout))
