package shuttle

import (
	"context"
	"net"
	"sync"
)

// Connections are the connections of a server to its callers, of which Reset ends those with a
// response that ends with its connection and is not complete. Over TLS, the Close of an http.Server
// would announce a regular end there. The zero value is ready to use, and safe for concurrent use. A
// nil pointer stands for connections that are not known.
type Connections struct {
	mu sync.Mutex
	// unfinished are the connections that Reset ends.
	unfinished map[tcpConn]struct{}
	// isReset is true after Reset.
	isReset bool
}

// connectionsKey is the key of the Connections in the context of a request.
type connectionsKey struct{}

// WithConn is the ConnContext of the server.
func (c *Connections) WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(WithConn(ctx, conn), connectionsKey{}, c)
}

// connectionsOf returns the Connections of the server that handles a request with a context.
func connectionsOf(ctx context.Context) *Connections {
	connections, _ := ctx.Value(connectionsKey{}).(*Connections)
	return connections
}

// Reset resets all connections with an unfinished response, also those of responses that begin later.
func (c *Connections) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReset = true
	for conn := range c.unfinished {
		// An error means that the connection has ended.
		_ = conn.Close()
	}
}

// begin adds a connection whose close is a reset.
func (c *Connections) begin(conn tcpConn) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isReset {
		_ = conn.Close()
		return
	}
	if c.unfinished == nil {
		c.unfinished = map[tcpConn]struct{}{}
	}
	c.unfinished[conn] = struct{}{}
}

// end removes a connection.
func (c *Connections) end(conn tcpConn) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unfinished, conn)
}
