package shuttle

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// EndToEndHeader returns a copy of header without hop-by-hop headers.
func EndToEndHeader(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = http.Header{}
	}
	for _, names := range copied.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	// The whole body is sent at once, after the routing decision.
	copied.Del("Expect")
	return copied
}
