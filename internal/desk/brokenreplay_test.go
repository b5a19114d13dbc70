package desk_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// leftConn is the connection of a caller who has left.
type leftConn struct {
	net.Conn
	closed bool
}

func (*leftConn) SetLinger(int) error { return nil }

func (c *leftConn) Close() error {
	c.closed = true
	return nil
}

// leftWriter is the response to a caller who has left.
type leftWriter struct {
	*httptest.ResponseRecorder
}

func (leftWriter) Write([]byte) (int, error) { return 0, errors.New("the caller left") }

// Connections of responses that are neither complete nor aborted are kept until the instance ends.
var _ = Describe("a replayed response until close whose caller leaves", func() {
	It("is aborted", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "a")
		upstream := newFakeUpstream(nil)
		upstream.handler = respondUntilClose("text/plain", "booked")
		server.setUpstreams(upstream.address())
		Expect(server.book(ctx, "k", "two seats").status).To(Equal(http.StatusOK))
		server.api.Wait()
		conn := &leftConn{}
		request := httptest.NewRequestWithContext(shuttle.WithConn(ctx, conn), http.MethodPost, "/services/booking/book", strings.NewReader("two seats"))
		request.Header.Set(desk.KeyHeader, "k")
		Expect(func() { server.api.ServeHTTP(leftWriter{httptest.NewRecorder()}, request) }).To(PanicWith(http.ErrAbortHandler))
		Expect(conn.closed).To(BeTrue())
	})
})
