package transport_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/transport"
)

// uploadBytes exceeds what the buffers of a connection take.
const uploadBytes = 32 << 20

// respondEarly starts an upstream that responds until close before it has read the request, which it reads after
// that.
func respondEarly() string {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		conn := accepted.(*net.TCPConn)
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}()
	return listener.Addr().String()
}

// stuckConn is a connection whose reads end while a write is under way, which lasts until its deadline.
type stuckConn struct {
	*standin.ResetConn
	limited chan struct{}
}

func (c stuckConn) Write(bytes []byte) (int, error) {
	n, err := c.ResetConn.Write(bytes)
	if err == nil {
		return n, nil
	}
	<-c.limited
	return 0, os.ErrDeadlineExceeded
}

func (c stuckConn) SetWriteDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		close(c.limited)
	}
	return nil
}

// clientOf returns a client with a single connection.
func clientOf(conn net.Conn) *transport.Transport {
	return transport.New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
}

// upload sends a large request and returns the body of the response.
func upload(ctx context.Context, client *transport.Transport, address string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, uploadBytes)))
	Expect(err).NotTo(HaveOccurred())
	response, err := client.RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// cutShort is a response until close of which a part arrives.
const cutShort = "HTTP/1.1 200 OK\r\n\r\nwh"

var _ = Describe("A response until close that ends while its request is written", func() {
	It("is whole if the upstream reads on", func(ctx SpecContext) {
		body, err := upload(ctx, transport.New(&http.Transport{}), respondEarly())
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("whole"))
	}, SpecTimeout(specTimeout))

	It("has no regular end if the write takes a reset", func(ctx SpecContext) {
		_, err := upload(ctx, clientOf(standin.NewResetConn(cutShort)), "127.0.0.1:1")
		Expect(err).To(MatchError(syscall.ECONNRESET))
	}, SpecTimeout(specTimeout))

	// Nothing tells this from a reset that the write is about to take.
	It("has no regular end if the write does not end in time", func(ctx SpecContext) {
		_, err := upload(ctx, clientOf(stuckConn{standin.NewResetConn(cutShort), make(chan struct{})}), "127.0.0.1:1")
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	}, SpecTimeout(specTimeout))
})
