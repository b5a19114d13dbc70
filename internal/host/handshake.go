package host

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// handshakeListener bounds the time of TLS handshakes on a listener whose server
// does not.
//
// Without it, whoever reaches the listener and then says nothing holds a
// connection and its goroutine for good, and enough of them leave the instance
// without file descriptors. The handshake is made at the first read, so that a
// slow one holds up no other connection.
type handshakeListener struct {
	net.Listener
	timeout time.Duration
}

// Accept returns the next connection.
func (l handshakeListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection, ok := accepted.(*tls.Conn)
	if !ok {
		accepted.Close()
		return nil, errors.AssertionFailedf("host: handshakes on a listener without TLS")
	}
	return &handshakeConn{Conn: connection, timeout: l.timeout}, nil
}

// handshakeConn makes its handshake at the first read.
type handshakeConn struct {
	*tls.Conn
	timeout time.Duration
	once    sync.Once
	failed  error
}

// Read reads once the handshake is made. If that takes too long or fails, Read
// returns an error and the connection is closed.
func (c *handshakeConn) Read(into []byte) (int, error) {
	c.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		defer cancel()
		if c.failed = c.HandshakeContext(ctx); c.failed != nil {
			c.Close()
		}
	})
	if c.failed != nil {
		return 0, c.failed
	}
	return c.Conn.Read(into)
}
