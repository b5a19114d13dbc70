package counter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/transport"
)

// idleConnTimeout is how long an idle connection to an upstream is kept. Upstreams close idle
// connections after some seconds, and a request sent while the upstream closes its connection is
// lost.
const idleConnTimeout = 2 * time.Second

// maxIdleConnsPerUpstream is the number of idle connections kept to each upstream.
const maxIdleConnsPerUpstream = 8

// maxKeptBodyBytes is the largest body of a request on a reused connection. An upstream may wait before it reads a
// longer one, whose rest then does not fit into its receive window: that counts as silence, see limitSilence.
const maxKeptBodyBytes = 32 << 10

// transports are the HTTP clients for one kind of server.
type transports struct {
	// keepAlive serves idempotent requests with short bodies over reused connections. singleUse serves all others and
	// opens a connection for each: on a reused connection that the other end has lost or is just
	// closing, a request may be written and never answered, and a request that must not run twice
	// could then not be retried.
	keepAlive *transport.Transport
	singleUse *transport.Transport
}

func newTransports(dial func(ctx context.Context, network, address string) (net.Conn, error)) transports {
	dialKept := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil {
			limitSilence(conn)
		}
		return conn, err
	}
	return transports{
		keepAlive: transport.New(&http.Transport{
			DialContext: dialKept, DisableCompression: true,
			MaxIdleConnsPerHost: maxIdleConnsPerUpstream, IdleConnTimeout: idleConnTimeout,
		}),
		singleUse: transport.New(&http.Transport{
			DialContext: dial, DisableCompression: true, DisableKeepAlives: true,
		}),
	}
}

// of returns the client for a request with a body.
func (t transports) of(idempotent bool, body []byte) *transport.Transport {
	if idempotent && len(body) <= maxKeptBodyBytes {
		return t.keepAlive
	}
	return t.singleUse
}

func (t transports) closeIdle() {
	t.keepAlive.CloseIdleConnections()
	t.singleUse.CloseIdleConnections()
}
