package host

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// handshakeListener limits the duration of TLS handshakes on a listener whose
// server does not.
//
// Without it, a client that connects and never sends anything holds a connection and
// its goroutine forever, and enough of them exhaust the instance's file descriptors.
// The handshake happens on the first read, so that a slow one does not block Accept.
type handshakeListener struct {
	net.Listener
	timeout time.Duration
}

// Accept returns the next connection, before its handshake.
func (l handshakeListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection, ok := accepted.(*tls.Conn)
	if !ok {
		accepted.Close()
		return nil, errors.AssertionFailedf("host: handshakeListener wraps a listener without TLS")
	}
	return &handshakeConn{Conn: connection, timeout: l.timeout}, nil
}

// handshakeConn is a TLS connection that performs its handshake on the first read.
type handshakeConn struct {
	*tls.Conn
	timeout      time.Duration
	once         sync.Once
	handshakeErr error
}

// Read performs the handshake on its first call, then reads. If the handshake fails
// or times out, Read closes the connection and returns an error.
func (c *handshakeConn) Read(buffer []byte) (int, error) {
	c.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		defer cancel()
		if c.handshakeErr = c.HandshakeContext(ctx); c.handshakeErr != nil {
			c.Close()
		}
	})
	if c.handshakeErr != nil {
		return 0, c.handshakeErr
	}
	return c.Conn.Read(buffer)
}
