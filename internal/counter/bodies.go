package counter

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shutdown"
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

const (
	// defaultMaxBodyBytes is the body limit where the routes do not set one.
	defaultMaxBodyBytes = 4 << 20
	// noRoomRetryAfter is the Retry-After time while bodies take all their memory. It is about the time
	// in which one of them is sent and answered.
	noRoomRetryAfter = time.Second
)

// keylessHolder holds the memory of requests that need no key, where others do.
const keylessHolder = "(no key)"

// bodyHolder returns the workspace that the body of a request counts to. It is empty if callers are not
// told apart.
func (m match) bodyHolder() string {
	switch {
	case m.workspace != nil:
		return m.workspace.Name
	case !m.table.Workspaces.Empty():
		return keylessHolder
	default:
		return ""
	}
}

// readBody reads the whole body before the request is sent. Only then can the refusal of a
// truncated body state that nothing was run. If the body can't be read, readBody returns a refusal with
// a status. The body must be released in any case. holder is who takes the memory, empty if callers are
// not told apart.
func (p *Proxy) readBody(r *http.Request, limit int64, holder string) (*shuttle.ReadAhead, refusal) {
	if r.ContentLength == 0 {
		return &shuttle.ReadAhead{}, refusal{}
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return &shuttle.ReadAhead{}, refusal{status: http.StatusRequestEntityTooLarge, text: "body not read"}
	}
	body, err := shuttle.ReadWhole(r.Body, r.ContentLength, limit, p.requestBodies.Of(holder))
	switch {
	case errors.Is(err, shuttle.ErrNoRoom):
		return body, refusal{
			status: http.StatusServiceUnavailable, text: "no memory for the body", retryAfter: noRoomRetryAfter,
			bodyMemory: &bodyMemory{holder: holder, bodyBytes: r.ContentLength, takenBytes: p.requestBodies.Taken()},
		}
	case err != nil:
		return body, refusal{status: http.StatusBadRequest, text: "body not read"}
	case !body.Whole:
		return body, refusal{status: http.StatusRequestEntityTooLarge, text: "body not read"}
	default:
		return body, refusal{}
	}
}

// bodyMemory is the memory of bodies when another one did not fit.
type bodyMemory struct {
	// holder is the caller's workspace, if callers are told apart.
	holder string
	// bodyBytes is the stated length of the body, negative if there is none, and takenBytes what the
	// bodies of all requests took.
	bodyBytes, takenBytes int64
}

// MarshalZerologObject adds the fields to a log line.
func (m bodyMemory) MarshalZerologObject(line *zerolog.Event) {
	line.Str("body-holder", m.holder).Int64("body-bytes", m.bodyBytes).Int64("taken-bytes", m.takenBytes)
}

// maxDrainTime bounds how long the rest of the body of a refused request is received.
const maxDrainTime = 2 * time.Second

// refuseBody refuses a request whose body is not read whole. It receives what the caller still sends: the
// connection would be reset, and the caller would not get the refusal.
func (p *Proxy) refuseBody(w http.ResponseWriter, r *http.Request, call Call, route *routes.Route, refused refusal) {
	controller := http.NewResponseController(w)
	if refused.status == http.StatusBadRequest || controller.EnableFullDuplex() != nil {
		p.refuse(w, call, route, refused)
		return
	}
	w.Header().Set("Connection", "close")
	p.refuse(w, call, route, refused)
	// Errors are ignored: the caller may have disconnected.
	_ = controller.Flush()
	// A deadline in the past ends the read.
	defer time.AfterFunc(maxDrainTime, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }).Stop()
	_, _ = io.Copy(io.Discard, r.Body)
}

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
func (t *transaction) passLong(ctx context.Context, w http.ResponseWriter, a *upstreamAttempt, response *http.Response, end shuttle.ResponseEnd) {
	passed, readErr, writeErr := passRest(w, response.Body)
	a.bodyBytes += passed
	if writeErr == nil {
		t.confirmWhole(a, readErr)
	}
	status := response.StatusCode
	switch {
	case readErr == nil && writeErr == nil:
		t.recordAnswer(a, status)
		end.Complete()
		t.recordWhole(a, status)
		return
	case writeErr != nil || t.request.Context().Err() != nil:
		a.unfinished = true
		t.reportCallerLeft(a)
		t.recordEarlyEnd(a, status, unwrittenBy(ctx), "cannot write to caller", "")
	case shutdown.IsStopped(ctx):
		a.unfinished = true
		t.recordCut(a, status, outcome.InstanceStopped)
	default:
		a.outcome = permit.Failed
		t.reportBroken(a, readErr)
		t.recordEarlyEnd(a, status, brokenOffBy(ctx), "broken off", readErr.Error())
	}
	end.Abort()
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
