// Package transport is the HTTP client of all calls to upstreams and to other instances. It returns only
// responses that are sound as far as their heads and ends can tell, and bounds the memory of heads.
package transport

import (
	"context"
	"net"
	"net/http"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Transport is an http.Transport for HTTP/1. Use New.
type Transport struct {
	*http.Transport
}

// New returns a Transport with the settings of base, which must not be used any more, and with the bound of heads.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: dialed}, nil
	}
	base.MaxResponseHeaderBytes = upstreamapi.MaxHeaderBytes
	return &Transport{Transport: base}
}
