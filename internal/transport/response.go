package transport

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// BrokenResponseError describes why what has arrived is no response in HTTP/1.
type BrokenResponseError struct {
	Reason string
}

// Error returns the reason.
func (e *BrokenResponseError) Error() string {
	return "transport: broken response: " + e.Reason
}

const (
	// minStatus and maxStatus bound the status of a final response. http.Transport handles interim ones, but for the
	// switch to another protocol, which no request asks for.
	minStatus = 200
	maxStatus = 599
	// spokenMajor is the major version of HTTP that is spoken. All of its minor versions are understood.
	spokenMajor = 1
)

// RoundTrip sends a request and returns its response. If that is broken, RoundTrip or the read at the end of its
// body returns a *BrokenResponseError. http.Transport lets blanks in names of fields pass, and any status of three
// characters.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

func checkHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != spokenMajor:
		return &BrokenResponseError{Reason: fmt.Sprintf("version %q", response.Proto)}
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return &BrokenResponseError{Reason: fmt.Sprintf("status %q", response.Status)}
	}
	return checkNames(response.Header)
}

// checkNames returns an error if a name of a field is no token.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &BrokenResponseError{Reason: fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

// checkedBody is the body of a response that may have a trailer, without which it does not end regularly.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read reads from the body.
func (b *checkedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if brokenErr := checkNames(b.response.Trailer); brokenErr != nil {
		return n, brokenErr
	}
	return n, err
}
