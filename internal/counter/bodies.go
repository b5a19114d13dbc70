package counter

import (
	"context"
	"io"
	"net/http"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

const (
	// maxBufferedBytes is the size up to which a response is read completely before any of it is sent
	// to the caller, so that a truncated response can still be reported as a failure.
	maxBufferedBytes = 1 << 20
	// defaultResponseBufferBytes bounds the memory of all responses that are being read. While it is
	// used up, responses are passed on as they arrive.
	defaultResponseBufferBytes = 24 << 20
	// passBufferBytes is the buffer size for the rest of a response.
	passBufferBytes = 32 << 10
)

// passRest passes on what is left of a body that is too long to be read first, and returns the number
// of its bytes, and the error of the side that failed.
func passRest(w io.Writer, body io.Reader) (passed int64, readErr, writeErr error) {
	buffer := make([]byte, passBufferBytes)
	for {
		n, err := body.Read(buffer)
		passed += int64(n)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return passed, nil, writeErr
			}
		}
		switch err {
		case nil:
		case io.EOF:
			return passed, nil, nil
		default:
			return passed, err, nil
		}
	}
}

// passLong passes on a response that is too long to be read first, after its beginning.
func (t *transaction) passLong(w http.ResponseWriter, a *upstreamAttempt, response *http.Response, end shuttle.ResponseEnd) {
	passed, readErr, writeErr := passRest(w, response.Body)
	a.bodyBytes += passed
	switch {
	case writeErr != nil || t.request.Context().Err() != nil:
		a.unfinished = true
		t.reportCallerLeft(a)
		t.proxy.logAttempt(t, a, "cannot write to caller", response.StatusCode, "")
		end.Abort()
	case readErr != nil:
		a.outcome = permit.Failed
		t.reportBroken(a, readErr)
		t.proxy.logAttempt(t, a, "broken off", response.StatusCode, readErr.Error())
		end.Abort()
	default:
		t.recordAnswer(a, response.StatusCode)
		end.Complete()
		t.proxy.logAttempt(t, a, "answered", response.StatusCode, "")
	}
}

// judgeBody counts a response without an end as the failure of its upstream, also if the caller left
// or the time was over before the upstream did anything else that is wrong. p.mu is held.
func (p *Proxy) judgeBody(service string, a *upstreamAttempt) {
	switch {
	case a.outcome == permit.Succeeded:
		p.longestBodies.Observe(service, a.bodyBytes)
	case a.unfinished && p.longestBodies.IsExcessive(service, a.bodyBytes, maxBufferedBytes):
		a.outcome = permit.Failed
	}
}

// isOverdueBody reports whether a response other than a stream had begun when the time for the request
// was over.
func (t *transaction) isOverdueBody(ctx context.Context, a *upstreamAttempt) bool {
	return ctx.Err() != nil && a.bodyBytes > 0
}
