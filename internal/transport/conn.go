package transport

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// lastWriteTimeout limits a write that is under way when the peer has ended its side. A reset ends it at once.
const lastWriteTimeout = time.Second

// conn is a connection that has no regular end after a write has failed. A socket reports a reset once: if a
// write takes it, the next read returns io.EOF, which would mark the end of a body without a length.
type conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed. It is guarded by writing.
	writeErr error
}

// Write writes to the connection.
func (c *conn) Write(bytes []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(bytes)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. At its end, Read returns the error of the write that has failed, if any.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := c.lastWriteError(); writeErr != nil {
		return n, errors.Wrap(writeErr, "transport: the connection ended while the request was written")
	}
	return n, io.EOF
}

// lastWriteError waits for the write that is under way, if any, and returns the error of the write that has
// failed.
func (c *conn) lastWriteError() error {
	// An error means that the connection is closed, which ends the write as well.
	_ = c.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	c.writing.Lock()
	defer c.writing.Unlock()
	_ = c.SetWriteDeadline(time.Time{})
	return c.writeErr
}
