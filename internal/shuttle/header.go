package shuttle

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection alone (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
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

// Forwardable returns a copy of header without what concerns one connection
// alone.
func Forwardable(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = http.Header{}
	}
	for _, list := range copied.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	// The body is sent whole at once, after the routing decision.
	copied.Del("Expect")
	return copied
}
