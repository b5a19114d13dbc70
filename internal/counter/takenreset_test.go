package counter_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// newResetProxy returns a proxy whose first connection to an upstream is a standin.ResetConn. All upstreams
// answer whatever arrives on other connections.
func newResetProxy(contentType, body string) *testProxy {
	GinkgoHelper()
	var dials atomic.Int32
	response := "HTTP/1.1 200 OK\r\n" + idHeader + ": r1\r\nContent-Type: " + contentType + "\r\n\r\n" + body
	return newTestProxyWith(func(options *counter.Options) {
		options.DialUpstream = func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				return standin.NewResetConn(response), nil
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}, newFakeUpstream(succeed), newFakeUpstream(succeed))
}

// The part of the body that arrived was a whole answer for its caller: a socket reports a reset once, here to the
// writer of the request.
var _ = Describe("A response until close that is reset while its request is written", func() {
	upload := strings.Repeat("seat 7 ", 10_000)

	DescribeTable("is no answer", func(ctx SpecContext, path, contentType, body string) {
		p := newResetProxy(contentType, body)
		status, text, err := postToInstance(ctx, p.server.URL+path, http.Header{idHeader: {"r1"}}, upload)
		Expect(err != nil || status == http.StatusBadGateway).To(BeTrue(), "got %d %q", status, text)
		Expect(p.arrivals()).To(BeZero())
	},
		Entry("of a request that must not run twice", SpecTimeout(specTimeout), "/book/", "text/plain", "wh"),
		Entry("of a stream that can't be resumed", SpecTimeout(specTimeout), "/write/", eventStream, "id: 1\ndata: a\n\n"),
		Entry("of a stream that may be resumed", SpecTimeout(specTimeout), "/draft/", eventStream, "id: 1\ndata: a\n\n"),
	)

	It("is replaced by another one if the request is idempotent", func(ctx SpecContext) {
		p := newResetProxy("text/plain", "wh")
		status, text, err := postToInstance(ctx, p.server.URL+"/look/", http.Header{idHeader: {"r1"}}, upload)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(HavePrefix("POST /look/ seat 7"))
		Expect(p.arrivals()).To(Equal(1))
	}, SpecTimeout(specTimeout))
})
