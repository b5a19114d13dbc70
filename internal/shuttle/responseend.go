package shuttle

import (
	"context"
	"net"
	"net/http"
)

// ResponseEnd controls how the connection to a caller ends with a response, so that a response that
// is broken off does not look complete.
type ResponseEnd struct {
	writer http.ResponseWriter
	// conn is reset instead of closed, for whatever reason it ends, until Complete is called. It is
	// nil if a length or chunks mark the end of the response, or if the server lacks WithConn.
	conn tcpConn
	// connections contains conn until Complete or Abort is called. It may be nil.
	connections *Connections
}

// tcpConn is the part of a net.TCPConn that a ResponseEnd uses.
type tcpConn interface {
	SetLinger(seconds int) error
	Close() error
}

// Values of SetLinger.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// connKey is the key of the caller's connection in the context of its requests.
type connKey struct{}

// WithConn is the ConnContext of a server whose handlers use BeginResponse.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// tcpConnOf returns the TCP connection that carries a request, or nil if it is not known.
func tcpConnOf(r *http.Request) tcpConn {
	carrier := r.Context().Value(connKey{})
	if wrapper, ok := carrier.(interface{ NetConn() net.Conn }); ok {
		carrier = wrapper.NetConn()
	}
	conn, _ := carrier.(tcpConn)
	return conn
}

// BeginResponse prepares w for a response to r, before its header is written. Complete or Abort must
// follow. A response that ends with its connection is passed on likewise, as this instance does not
// know whether it is complete.
func BeginResponse(w http.ResponseWriter, r *http.Request, framing Framing) ResponseEnd {
	end := ResponseEnd{writer: w}
	if framing == UntilClose {
		// net/http closes the connection after such a response, and does not send this header.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if framing == UntilClose || !r.ProtoAtLeast(1, 1) {
		end.conn = tcpConnOf(r)
	}
	if end.conn != nil {
		// Set in advance, the reset also covers the end of this process. An error means that the
		// connection has ended.
		_ = end.conn.SetLinger(lingerReset)
		end.connections = connectionsOf(r.Context())
		end.connections.begin(end.conn)
	}
	return end
}

// Complete marks the response as written in full.
func (e ResponseEnd) Complete() {
	if e.conn == nil {
		return
	}
	// A flush that fails means that the connection has ended.
	_ = http.NewResponseController(e.writer).Flush()
	e.connections.end(e.conn)
	_ = e.conn.SetLinger(lingerDefault)
}

// Abort ends the connection so that the response does not look complete. It panics with
// http.ErrAbortHandler.
func (e ResponseEnd) Abort() {
	if e.conn != nil {
		// TLS would announce a regular end before the reset.
		_ = e.conn.Close()
		e.connections.end(e.conn)
	}
	panic(http.ErrAbortHandler)
}
