package standin

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ResetConn is a client's connection to an upstream that responds at once and resets the connection while the
// request is still written. Like a socket, it reports the reset once, to the write: the read after it returns
// io.EOF. It ignores deadlines. Use NewResetConn.
type ResetConn struct {
	response io.Reader
	// begun is closed once the beginning of the request has been written, resetting when a write meets the
	// reset, ended when a read has returned io.EOF, and closed by Close.
	begun, resetting, ended, closed          chan struct{}
	beginOnce, resetOnce, endOnce, closeOnce sync.Once
}

var _ net.Conn = (*ResetConn)(nil)

// NewResetConn returns a connection on which a raw response arrives once a request has begun. The request must be
// longer than one write.
func NewResetConn(response string) *ResetConn {
	return &ResetConn{
		response: strings.NewReader(response),
		begun:    make(chan struct{}), resetting: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Read reads from the response, and returns io.EOF after the reset.
func (c *ResetConn) Read(buffer []byte) (int, error) {
	if !c.wait(c.begun) {
		return 0, net.ErrClosed
	}
	if n, err := c.response.Read(buffer); err == nil {
		return n, nil
	}
	if !c.wait(c.resetting) {
		return 0, net.ErrClosed
	}
	c.endOnce.Do(func() { close(c.ended) })
	return 0, io.EOF
}

// Write accepts the first bytes of the request. All further writes fail, and not before a read has returned
// io.EOF.
func (c *ResetConn) Write(bytes []byte) (int, error) {
	first := false
	c.beginOnce.Do(func() {
		first = true
		close(c.begun)
	})
	if first {
		return len(bytes), nil
	}
	c.resetOnce.Do(func() { close(c.resetting) })
	if !c.wait(c.ended) {
		return 0, net.ErrClosed
	}
	return 0, syscall.ECONNRESET
}

// wait returns true when event is closed, and false if Close is called before.
func (c *ResetConn) wait(event <-chan struct{}) bool {
	select {
	case <-event:
		return true
	case <-c.closed:
		return false
	}
}

// Close ends all reads and writes.
func (c *ResetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns an empty address.
func (c *ResetConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an empty address.
func (c *ResetConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (c *ResetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *ResetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *ResetConn) SetWriteDeadline(time.Time) error { return nil }
