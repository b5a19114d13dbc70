package counter

import (
	"bytes"
	"io"
	"net/http"
)

// readAhead reads the beginning of a body until isEnough reports true of what has been read, or a buffer is full.
// ended is true if the body has ended before, and err is why it has broken off before. The body still returns
// everything, its end included.
func readAhead(response *http.Response, isEnough func(ahead []byte) bool) (ahead []byte, ended bool, err error) {
	body := response.Body
	ahead = make([]byte, 0, streamBufferBytes)
	for err == nil && !isEnough(ahead) && len(ahead) < cap(ahead) {
		var n int
		n, err = body.Read(ahead[len(ahead):cap(ahead)])
		ahead = ahead[:len(ahead)+n]
	}
	// After an error, a body returns the same one again.
	response.Body = bodyAhead{io.MultiReader(bytes.NewReader(ahead), body), body}
	if err == io.EOF {
		return ahead, true, nil
	}
	return ahead, false, err
}

// bodyAhead is a body whose beginning has been read.
type bodyAhead struct {
	io.Reader
	io.Closer
}

// awaitFirstByte waits until a body begins or ends, so that nothing is sent to the caller before. If it breaks off
// before its first byte, awaitFirstByte returns the error.
func awaitFirstByte(response *http.Response) error {
	ahead, _, err := readAhead(response, func(ahead []byte) bool { return len(ahead) > 0 })
	if len(ahead) > 0 {
		return nil
	}
	return err
}
