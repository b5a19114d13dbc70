package counter_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// callerView is what a caller sees of a response.
type callerView struct {
	status  int
	framing shuttle.Framing
	body    string
	// err is not nil if the response is visibly incomplete.
	err error
}

// fetch sends a request on a new connection.
func fetch(ctx context.Context, url, path string) callerView {
	GinkgoHelper()
	return fetchWith(ctx, url, path, http.Header{})
}

// fetchWith sends a request with a header on a new connection.
func fetchWith(ctx context.Context, url, path string, header http.Header) callerView {
	GinkgoHelper()
	response, err := postWith(ctx, url, path, header)
	if err != nil {
		return callerView{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerView{status: response.StatusCode, framing: shuttle.FramingOf(response), body: string(body), err: err}
}

// post sends a request on a new connection and returns the response, whose body must be closed.
func post(ctx context.Context, url, path string) (*http.Response, error) {
	GinkgoHelper()
	return postWith(ctx, url, path, http.Header{})
}

// postWith is post with a header.
func postWith(ctx context.Context, url, path string, header http.Header) (*http.Response, error) {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader("a letter"))
	Expect(err).NotTo(HaveOccurred())
	request.Host, request.Header = "spec.test", header.Clone()
	if request.Header.Get(idHeader) == "" {
		request.Header.Set(idHeader, "r1")
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	return transport.RoundTrip(request)
}

// respondUntilClose sends a response of a content type that ends with its connection.
func respondUntilClose(contentType, body string) http.HandlerFunc {
	return respondAfterReading("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Type: " + contentType + "\r\n\r\n" + body)
}

// respondAfterReading is respondRaw after the whole request has been read, so that the connection
// is not reset.
func respondAfterReading(text string) http.HandlerFunc {
	respond := respondRaw(text)
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		respond(w, r)
	}
}

// respondUntilReset is respondUntilClose with a connection that is reset instead of closed.
func respondUntilReset(contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: %s\r\n\r\n%s", idHeader, r.Header.Get(idHeader), contentType, body)
		Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
		conn.Close()
	}
}

// way is a way of a request to its upstream.
type way struct {
	name string
	// start starts the instances before an upstream, and returns the URL for callers.
	start func(answer http.HandlerFunc) string
}

var (
	direct      = way{"directly", func(answer http.HandlerFunc) string { return newTestProxy(newFakeUpstream(answer)).server.URL }}
	throughPeer = way{"through a peer", func(answer http.HandlerFunc) string { return newRelayGroup(answer).server.URL }}
)

const eventStream = "text/event-stream; charset=utf-8"

// A crashing engine may close its connection in the same way as one that has finished.
var _ = Describe("A response that ends with its connection", func() {
	for _, way := range []way{direct, throughPeer} {
		DescribeTable("and was sent "+way.name+" is not framed as complete",
			func(ctx SpecContext, path, contentType, body string) {
				view := fetch(ctx, way.start(respondUntilClose(contentType, body)), path)
				Expect(view.err).NotTo(HaveOccurred())
				Expect(view.status).To(Equal(http.StatusOK))
				Expect(view.body).To(Equal(body))
				Expect(view.framing).To(Equal(shuttle.UntilClose))
			},
			Entry("a stream", SpecTimeout(specTimeout), "/write/", eventStream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
			Entry("an idempotent request", SpecTimeout(specTimeout), "/look/", "text/plain", "seats 7 and 8"),
			Entry("a request that must not run twice", SpecTimeout(specTimeout), "/book/", "text/plain", "booked"),
			Entry("a large response", SpecTimeout(specTimeout), "/look/", "text/plain", strings.Repeat("seat 7 ", 300_000)),
		)

		DescribeTable("and was sent "+way.name+" is broken off where its event stream was",
			func(ctx SpecContext, body string) {
				view := fetch(ctx, way.start(respondUntilClose(eventStream, body)), "/write/")
				if body == "" {
					Expect(view.status).To(Equal(http.StatusBadGateway), "got %+v", view)
					return
				}
				Expect(view.err).To(HaveOccurred())
			},
			Entry("in a line", SpecTimeout(specTimeout), "id: 1\ndata: a\n\nid: 2\nda"),
			Entry("after a line", SpecTimeout(specTimeout), "id: 1\ndata: a\n\nid: 2\ndata: b\n"),
			Entry("before the first event", SpecTimeout(specTimeout), ""),
		)

		DescribeTable("and was sent "+way.name+" is visibly incomplete if that is reset",
			func(ctx SpecContext, path, body string) {
				view := fetch(ctx, way.start(respondUntilReset(eventStream, body)), path)
				Expect(view.err != nil || view.status == http.StatusBadGateway).To(BeTrue(), "got %+v", view)
			},
			Entry("a stream between two events", SpecTimeout(specTimeout), "/write/", "id: 1\ndata: a\n\n"),
			Entry("an idempotent request", SpecTimeout(specTimeout), "/look/", "data: seats\n\n"),
			Entry("a request that must not run twice", SpecTimeout(specTimeout), "/book/", "data: booked\n\n"),
			Entry("a large response", SpecTimeout(specTimeout), "/look/", strings.Repeat("data: seat 7\n\n", 300_000)),
		)
	}

	// A killed process closes its connections as this server does.
	It("is visibly incomplete if the instance ends before it", func(ctx SpecContext) {
		p := newTestProxy(newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			w.Header().Set(idHeader, r.Header.Get(idHeader))
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "data: a\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		response, err := post(ctx, p.server.URL, "/write/")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(shuttle.FramingOf(response)).To(Equal(shuttle.UntilClose))
		_, err = io.ReadFull(response.Body, make([]byte, len("data: a\n\n")))
		Expect(err).NotTo(HaveOccurred())
		p.server.CloseClientConnections()
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	}, SpecTimeout(specTimeout))
})

// An upstream may also mark the end of a stream that it has broken off.
var _ = DescribeTable("An event stream in chunks that ends inside an event is broken off",
	func(ctx SpecContext, way way) {
		answer := respondAfterReading("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Type: " + eventStream +
			"\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n6\r\ndata: \r\n0\r\n\r\n")
		Expect(fetch(ctx, way.start(answer), "/write/").err).To(HaveOccurred())
	},
	Entry("directly", SpecTimeout(specTimeout), direct),
	Entry("through a peer", SpecTimeout(specTimeout), throughPeer),
)

// The bytes of an encoded stream do not show where its events end.
var _ = DescribeTable("An event stream in a content encoding is passed on whole",
	func(ctx SpecContext, way way, framing string) {
		answer := respondAfterReading("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Type: " + eventStream + "\r\nContent-Encoding: gzip\r\n" + framing)
		view := fetch(ctx, way.start(answer), "/draft/")
		Expect(view.err).NotTo(HaveOccurred())
		Expect(view.body).To(Equal("\x1f\x8b\n\n\x08"))
	},
	Entry("in chunks", SpecTimeout(specTimeout), direct, "Transfer-Encoding: chunked\r\n\r\n5\r\n\x1f\x8b\n\n\x08\r\n0\r\n\r\n"),
	Entry("through a peer", SpecTimeout(specTimeout), throughPeer, "Content-Length: 5\r\n\r\n\x1f\x8b\n\n\x08"),
)

// A caller resumes such a stream itself. Events of a second run would be joined to those of the first.
var _ = DescribeTable("A stream that may be resumed is broken off and not sent again once its response has begun",
	func(ctx SpecContext, framing, body string) {
		answer := respondAfterReading("HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nContent-Type: " + eventStream + "\r\n" + framing + "\r\n" + body)
		p := newTestProxy(newFakeUpstream(answer), newFakeUpstream(answer))
		Expect(fetch(ctx, p.server.URL, "/draft/").err).To(HaveOccurred())
		Expect(p.arrivals()).To(Equal(1))
	},
	Entry("in a chunk", SpecTimeout(specTimeout), "Transfer-Encoding: chunked\r\n", "9\r\ndata"),
	Entry("after a comment", SpecTimeout(specTimeout), "Transfer-Encoding: chunked\r\n", "e\r\n: keep-alive\n\n\r\n"),
	Entry("after a comment, with the connection", SpecTimeout(specTimeout), "", ": keep-alive\n\n"),
	Entry("in its first event", SpecTimeout(specTimeout), "", "id: 1\nda"),
	Entry("in an event of a stated length", SpecTimeout(specTimeout), "Content-Length: 40\r\n", "id: 1\ndata: a\n\nid"),
	Entry("between events of a stated length", SpecTimeout(specTimeout), "Content-Length: 40\r\n", "id: 1\ndata: a\n\n"),
)

var _ = DescribeTable("An event stream that ends inside an event is reported as failed if nothing of it was passed on",
	func(ctx SpecContext, path string) {
		view := fetch(ctx, direct.start(respondUntilClose(eventStream, "id: 1\ndata: se")), path)
		Expect(view.err).NotTo(HaveOccurred())
		Expect(view.status).To(Equal(http.StatusBadGateway))
	},
	Entry("an idempotent request", SpecTimeout(specTimeout), "/look/"),
	Entry("a request that must not run twice", SpecTimeout(specTimeout), "/book/"),
)

var _ = It("The response to a HEAD request that announces an event stream is complete", func(ctx SpecContext) {
	url := direct.start(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		w.Header().Set("Content-Type", eventStream)
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodHead, url+"/write/", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "spec.test"
	request.Header.Set(idHeader, "r1")
	response, err := http.DefaultTransport.RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}, SpecTimeout(specTimeout))

// A caller that speaks HTTP/1.0 knows no chunks, so that each response ends with its connection.
var _ = It("A response in HTTP/1.0 that is broken off is visibly incomplete", func(ctx SpecContext) {
	p := newTestProxy(newFakeUpstream(respondAfterReading(
		"HTTP/1.1 200 OK\r\nSpec-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n")))
	view := callRaw(ctx, p.server.Listener.Addr().String(), http.MethodPost, "/write/", "HTTP/1.0", "r1")
	Expect(view.status).To(Equal(http.StatusOK))
	Expect(view.err).To(HaveOccurred())
}, SpecTimeout(specTimeout))

// No request asks for another protocol.
var _ = It("A response that switches protocols is not passed on", func(ctx SpecContext) {
	answer := respondAfterReading("HTTP/1.1 101 Switching Protocols\r\nSpec-Request: ID\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\nbytes")
	view := fetch(ctx, direct.start(answer), "/book/")
	Expect(view.err).NotTo(HaveOccurred())
	Expect(view.status).To(Equal(http.StatusBadGateway))
}, SpecTimeout(specTimeout))
