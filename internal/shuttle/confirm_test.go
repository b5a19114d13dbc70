package shuttle_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

var _ = Describe("the end of a response until close", func() {
	// A process that is killed closes its listener after its other connections, of which it may have many.
	DescribeTable("is not confirmed by a new connection that ends", func(ctx SpecContext, after time.Duration) {
		upstream := newScriptedUpstream(func(*scriptedUpstream, net.Conn, *bufio.Reader) { pause.For(ctx, after) })
		p := shuttle.New(shuttle.Options{})
		defer p.Close()
		for _, supportsStatusQuery := range []bool{false, true} {
			request := shuttle.Request{ID: "r", SupportsStatusQuery: supportsStatusQuery}
			err := p.ConfirmFinished(ctx, upstream.address(), request)
			Expect(errors.Is(err, shuttle.ErrTruncated)).To(BeTrue())
		}
	},
		Entry("at once", SpecTimeout(specTimeout), time.Duration(0)),
		Entry("after the end of thousands of others", SpecTimeout(specTimeout), 50*time.Millisecond),
	)

	// The question may itself fail because a connection ends.
	It("is no end if the question for it ended early", func() {
		confirm := func() error { return errors.Wrap(io.EOF, "asking the upstream") }
		body := func() io.ReadCloser {
			return shuttle.ConfirmEnd(io.NopCloser(strings.NewReader("data: seat 7\n\n")), confirm)
		}
		_, err := io.ReadAll(shuttle.NewEventReader(body(), shuttle.UntilClose))
		Expect(err).To(HaveOccurred())
		response := &shuttle.Response{Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1, Framing: shuttle.UntilClose}
		for _, prefetch := range []func() error{
			func() error { return shuttle.Prefetch(response, 100) },
			func() error {
				response.Body = shuttle.ConfirmEnd(io.NopCloser(strings.NewReader("data: sea")), confirm)
				return shuttle.PrefetchEvent(response, false)
			},
		} {
			response.Body = body()
			Expect(errors.Is(prefetch(), shuttle.ErrTruncated)).To(BeTrue())
		}
	})
})

// An upstream that is ending may stop in its status, while its listener still accepts connections.
var _ = DescribeTable("the end of a response until close is not confirmed by a status that is cut short at any byte",
	func(ctx SpecContext, status string) {
		for at := range len(status) + 1 {
			upstream := newScriptedUpstream(func(u *scriptedUpstream, conn net.Conn, in *bufio.Reader) {
				if u.readRequest(in) != nil {
					_, _ = io.WriteString(conn, status[:at])
				}
			})
			p := shuttle.New(shuttle.Options{})
			err := p.ConfirmFinished(ctx, upstream.address(), shuttle.Request{ID: "r", SupportsStatusQuery: true})
			p.Close()
			Expect(errors.Is(err, shuttle.ErrTruncated)).To(Equal(at < len(status)), "%q: %v", status[:at], err)
		}
	},
	Entry("with a length", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n{\"id\":\"r\",\"state\":\"finished\"}"),
	Entry("in chunks", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1d\r\n{\"id\":\"r\",\"state\":\"finished\"}\r\n0\r\n\r\n"),
	Entry("until close", SpecTimeout(specTimeout), "HTTP/1.1 200 OK\r\n\r\n{\"id\":\"r\",\"state\":\"finished\"}"),
	Entry("of an upstream without one", SpecTimeout(specTimeout), "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"),
)
