package counter

import (
	"context"
	"io"
	"net/http"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// wholeBytes is the size up to which an answer is read whole before any of it
// goes to the caller, so that one that breaks off can be told as what it is.
const wholeBytes = 1 << 20

// relayBytes is the size of the buffer of a stream. An event has some 50 bytes.
const relayBytes = 4 << 10

// answer relays an upstream's answer. It reports false if nothing went to the
// caller and the request may be sent again.
func (t *trip) answer(ctx context.Context, w http.ResponseWriter, a *sending, response *http.Response) bool {
	t.runs++
	if t.route.Kind == routes.Stream && response.StatusCode < http.StatusMultipleChoices {
		t.stream(ctx, w, a, response)
		return true
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBytes+1))
	if err != nil {
		t.runs--
		a.answering = len(body) > 0
		return t.failed(ctx, w, a, err)
	}
	if response.StatusCode >= http.StatusInternalServerError && t.again(a, response.StatusCode) {
		return false
	}
	a.outcome = permit.Worked
	t.counter.coroner.Succeeded(t.digest, response.StatusCode)
	copyHead(w, response)
	w.WriteHeader(response.StatusCode)
	if _, err := w.Write(body); err != nil {
		t.counter.logAttempt(t, a, "caller gone", response.StatusCode, "")
		return true
	}
	if len(body) > wholeBytes {
		if _, err := io.Copy(w, response.Body); err != nil {
			t.counter.logAttempt(t, a, "broken off", response.StatusCode, err.Error())
			panic(http.ErrAbortHandler)
		}
	}
	t.counter.logAttempt(t, a, "answered", response.StatusCode, "")
	return true
}

// again decides whether a request that an upstream has answered with a failure
// goes to another one, and notes it. Only what may run twice does.
func (t *trip) again(a *sending, status int) bool {
	if !t.route.Repeatable() {
		return false
	}
	c := t.counter
	now := c.options.Now()
	c.mu.Lock()
	verdict := t.verdict(now, outcome.Ran)
	c.mu.Unlock()
	if verdict != retry.Again {
		return false
	}
	t.tried = append(t.tried, a.upstream.name)
	c.logAttempt(t, a, "failed", status, verdict.String())
	return true
}

// stream relays events as they come. If the upstream breaks off, the caller's
// connection breaks as well: a stream that ends early must not look whole.
func (t *trip) stream(ctx context.Context, w http.ResponseWriter, a *sending, response *http.Response) {
	copyHead(w, response)
	w.WriteHeader(response.StatusCode)
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			a.answering = true
			t.timing.piece(t.counter.options.Now())
			if _, err := w.Write(buffer[:n]); err != nil || control.Flush() != nil {
				t.noteLeft(a)
				t.counter.logAttempt(t, a, "caller gone", response.StatusCode, "")
				panic(http.ErrAbortHandler)
			}
		}
		if readErr == io.EOF {
			a.outcome, a.sample = permit.Worked, t.sample()
			t.counter.coroner.Succeeded(t.digest, response.StatusCode)
			t.counter.logAttempt(t, a, "answered", response.StatusCode, "")
			return
		}
		if readErr != nil && t.request.Context().Err() != nil {
			t.noteLeft(a)
			t.counter.logAttempt(t, a, "left", response.StatusCode, "the caller left")
			panic(http.ErrAbortHandler)
		}
		if readErr != nil {
			t.noteBroken(a, readErr)
			if ctx.Err() == nil {
				a.outcome = permit.Failed
			}
			t.counter.logAttempt(t, a, "broken off", response.StatusCode, readErr.Error())
			panic(http.ErrAbortHandler)
		}
	}
}

func copyHead(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range shuttle.Forwardable(response.Header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Else net/http would guess one.
		header["Content-Type"] = nil
	}
}

// logAttempt tells what became of a request at an upstream, and counts it.
func (c *Counter) logAttempt(t *trip, a *sending, what string, status int, verdict string) {
	now := c.options.Now()
	c.mu.Lock()
	if status != 0 {
		c.metrics.answered(now, t, status)
	} else {
		c.metrics.sent(verdict)
	}
	c.mu.Unlock()
	event := c.logLine(now, what)
	if event == nil {
		return
	}
	event = event.Str("request", t.call.ID).Str(quarantine.FieldDigest, t.digest.Short()).Str("route", t.route.Name).
		Uint64("version", t.version).Str("upstream", a.upstream.name).Int("send", t.sends).
		Int("status", status).Dur("took", now.Sub(t.began)).Str("verdict", verdict)
	if status == 0 && t.cause != nil {
		event = event.Str("error", t.cause.Error())
	}
	if t.call.Model != "" {
		event = event.Str("model", t.call.Model).Str("adapter", t.call.Adapter).Int("prompt-tokens", t.call.PromptTokens).
			Int("answer-tokens", t.call.AnswerTokens)
	}
	if a.owner.IsValid() {
		event = event.Stringer("placed-by", a.owner)
	}
	if !t.timing.sent.IsZero() {
		event = event.Dur("waited", t.timing.sent.Sub(t.began))
	}
	if !t.timing.first.IsZero() {
		event = event.Dur("first", t.timing.first.Sub(t.began)).Dur("longest-pause", t.timing.pause)
	}
	event.Msg(what)
}

// log tells what became of a request that went to no upstream.
func (c *Counter) log(t *trip, what, why string) {
	now := c.options.Now()
	c.logLine(now, what).Str("request", t.call.ID).Str("route", t.route.Name).
		Dur("took", now.Sub(t.began)).Str("reason", why).Msg(what)
}
