package transport

import (
	"fmt"
	"net/http"
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

// RoundTrip sends a request and returns its response. If that is broken, RoundTrip returns a
// *BrokenResponseError. http.Transport lets any status of three characters pass.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		response.Body.Close()
		return nil, err
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
	return nil
}
