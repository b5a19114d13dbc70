package counter

import (
	"io"
	"net/http"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// readAhead reads the beginning of a body, up to a buffer, until isEnough reports true of the number of bytes. The
// body still returns everything, its end included.
func readAhead(response *http.Response, isEnough func(bytes int) bool) shuttle.Beginning {
	beginning := shuttle.ReadBeginning(response.Body, response.Body, streamBufferBytes, isEnough)
	response.Body = bodyAhead{beginning, response.Body}
	return beginning
}

// bodyAhead is a body whose beginning has been read.
type bodyAhead struct {
	io.Reader
	io.Closer
}

// awaitFirstByte waits until a body begins or ends, so that nothing is sent to the caller before. If it breaks off
// before its first byte, awaitFirstByte returns the error.
func awaitFirstByte(response *http.Response) error {
	beginning := readAhead(response, func(bytes int) bool { return bytes > 0 })
	if beginning.Bytes > 0 {
		return nil
	}
	return beginning.Err
}
