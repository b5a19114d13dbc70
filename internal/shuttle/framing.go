package shuttle

import "net/http"

// Framing is how the end of a response's body is marked.
type Framing uint8

const (
	// Delimited means that a length or chunks mark the end. A body that was broken off is an error
	// then.
	Delimited Framing = iota
	// UntilClose means that the body ends with its connection. Unless the connection was reset, a body
	// that was broken off cannot be told from a whole one.
	UntilClose
)

// FramingOf returns the framing of a response that an http.Transport has returned.
func FramingOf(response *http.Response) Framing {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return UntilClose
	}
	return Delimited
}

// String returns the name of the framing in logs.
func (f Framing) String() string {
	if f == UntilClose {
		return "until-close"
	}
	return "delimited"
}
