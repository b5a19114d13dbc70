package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// rejection is the response to a request of which nothing was run.
type rejection struct {
	status  int
	code    string
	message string
}

// reject sends r and marks the request as not run.
func reject(c echo.Context, r *rejection) error {
	c.Response().Header().Set(upstreamapi.RefusedHeader, upstreamapi.RefusedNotRun)
	return c.JSON(r.status, apiError{apiErrorBody{Message: r.message, Type: "invalid_request_error", Code: r.code}})
}

// completions handles POST /v1/chat/completions and /v1/completions.
func (e *Engine) completions(c echo.Context) error {
	var request completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return reject(c, &rejection{http.StatusBadRequest, "invalid_body", "standin: body: " + err.Error()})
	}
	chat := strings.HasPrefix(c.Path(), "/v1/chat/")
	r, rejected := e.admit(c.Request().Header, chat, request)
	if rejected != nil {
		return reject(c, rejected)
	}
	go e.generate(r)
	if request.Stream {
		return e.sendStream(c, r, r.answer.continuedTokens)
	}
	return e.sendWhole(c, r)
}

// admit claims a slot for a request, or returns a rejection.
func (e *Engine) admit(header http.Header, chat bool, request completionRequest) (*run, *rejection) {
	id := header.Get(upstreamapi.RequestIDHeader)
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		e.requestsWithoutID++
		id = fmt.Sprintf("unnamed-%d", e.requestsWithoutID)
	}
	r, rejected := e.admitLocked(id, header, chat, request)
	if rejected != nil {
		if e.requests.Find(id).state == upstreamapi.RequestNeverSeen {
			e.requests.Add(id, logEntry{state: upstreamapi.RequestRefused})
		}
		return nil, rejected
	}
	e.requests.Add(id, logEntry{run: r})
	for _, key := range r.target.usageKeys {
		e.activeRequests[key]++
	}
	return r, nil
}

func (e *Engine) admitLocked(id string, header http.Header, chat bool, request completionRequest) (*run, *rejection) {
	if e.requests.Find(id).state == upstreamapi.RequestBarred {
		return nil, &rejection{http.StatusConflict, "barred", "standin: the request was cancelled before it arrived"}
	}
	target, loaded := e.memory.resolve(request.Model)
	if !loaded {
		return nil, &rejection{http.StatusNotFound, "model_not_found", "standin: the model " + request.Model + " is not loaded"}
	}
	if request.Continue != nil && !e.supports(upstreamapi.CapabilityContinue) {
		return nil, &rejection{http.StatusBadRequest, "cannot_continue", "standin: the engine lacks continue"}
	}
	a, err := newAnswer(id, chat, request, e.clock.Now().Unix())
	if err != nil {
		return nil, &rejection{http.StatusBadRequest, "cannot_continue", err.Error()}
	}
	priority := 0
	if e.supports(upstreamapi.CapabilityPriority) {
		priority, _ = strconv.Atoi(header.Get(upstreamapi.PriorityHeader))
	}
	slot, acquired := e.slots.Acquire(priority)
	if !acquired {
		return nil, &rejection{http.StatusTooManyRequests, "busy", "standin: as many requests run and wait as may"}
	}
	return newRun(a, target, parsePrefixes(header), slot), nil
}

func parsePrefixes(header http.Header) []string {
	var names []string
	for name := range strings.SplitSeq(header.Get(upstreamapi.PrefixHeader), ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// generate produces the tokens of a run until the last token, a cancel, or the
// end of the resume window after a lost connection.
func (e *Engine) generate(r *run) {
	defer e.finishRun(r)
	select {
	case <-r.ctx.Done():
		r.SetState(upstreamapi.RequestRefused)
		return
	case <-r.slot.granted:
	}
	if r.ctx.Err() != nil {
		r.SetState(upstreamapi.RequestRefused)
		return
	}
	delay := e.startRun(r)
	for i := r.answer.continuedTokens; i < len(r.answer.tokens); i++ {
		if wait(r.ctx, e.clock, delay) != nil || r.Abandoned(e.clock.Now(), e.options.ResumeWindow) {
			r.SetState(upstreamapi.RequestCancelled)
			return
		}
		r.AddToken()
		delay = e.options.TokenDelay
	}
	r.SetState(upstreamapi.RequestFinished)
}

// startRun counts the run, updates the prefix cache and returns the delay
// before the first token.
func (e *Engine) startRun(r *run) time.Duration {
	prompt := len(r.answer.request.promptWords())
	e.mu.Lock()
	e.runCounts[r.answer.id]++
	r.cachedTokens = e.cache.Prefill(r.target.model, r.prefixes, prompt)
	e.mu.Unlock()
	e.wakePublisher()
	r.SetState(upstreamapi.RequestRunning)
	return e.options.FirstTokenDelay + time.Duration(prompt-r.cachedTokens)*e.options.PrefillTokenDelay
}

func (e *Engine) finishRun(r *run) {
	r.cancel()
	e.slots.Release(r.slot)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range r.target.usageKeys {
		e.activeRequests[key]--
	}
	close(e.requestEnded)
	e.requestEnded = make(chan struct{})
}

// connectionLost records that a connection was closed. The run is cancelled if
// this was its newest connection and it cannot be resumed.
func (e *Engine) connectionLost(r *run, connection int) {
	newest := r.Detach(connection, e.clock.Now())
	if newest && (e.options.ResumeWindow == 0 || !e.supports(upstreamapi.CapabilityResume)) {
		r.cancel()
	}
}

// awaitProgress waits until enough returns true for the progress of r. If the
// connection is lost before, awaitProgress returns an error.
func (e *Engine) awaitProgress(ctx context.Context, r *run, connection int, enough func(progress) bool) (progress, error) {
	for {
		p := r.Progress()
		if enough(p) {
			return p, nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			e.connectionLost(r, connection)
			return p, errors.Wrap(ctx.Err(), "standin: connection lost")
		}
	}
}

// sendWhole sends the response once the answer is complete.
func (e *Engine) sendWhole(c echo.Context, r *run) error {
	p, err := e.awaitProgress(c.Request().Context(), r, r.Attach(), func(p progress) bool {
		return p.state != upstreamapi.RequestWaiting && p.state != upstreamapi.RequestRunning
	})
	switch {
	case err != nil:
		return err
	case p.state == upstreamapi.RequestRefused:
		return reject(c, &rejection{http.StatusConflict, "cancelled", "standin: cancelled before it ran"})
	case p.state == upstreamapi.RequestCancelled:
		return c.JSON(http.StatusConflict, apiError{apiErrorBody{Message: "standin: cancelled", Type: "server_error"}})
	}
	c.Response().Header().Set(upstreamapi.CachedTokensHeader, strconv.Itoa(r.cachedTokens))
	return c.JSON(http.StatusOK, r.answer.wholeCompletion())
}

// sendStream sends the events after the event with id after, as they are
// generated.
func (e *Engine) sendStream(c echo.Context, r *run, after int) error {
	connection := r.Attach()
	ctx := c.Request().Context()
	p, err := e.awaitProgress(ctx, r, connection, func(p progress) bool { return p.state != upstreamapi.RequestWaiting })
	if err != nil {
		return err
	}
	if p.state == upstreamapi.RequestRefused {
		return reject(c, &rejection{http.StatusConflict, "cancelled", "standin: cancelled before it ran"})
	}
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	header.Set(upstreamapi.CachedTokensHeader, strconv.Itoa(r.cachedTokens))
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()

	for sent := after; ; sent++ {
		p, err := e.awaitProgress(ctx, r, connection, func(p progress) bool {
			return p.connection != connection || p.generatedTokens > sent || p.state != upstreamapi.RequestRunning
		})
		if err != nil {
			return err
		}
		e.injectFault(ctx, sent-after)
		switch {
		case p.connection != connection:
			abortConnection()
		case p.generatedTokens > sent:
			err = writeEvent(c, sent+1, r.answer.chunk(sent))
		case p.state != upstreamapi.RequestFinished:
			abortConnection()
		case sent == len(r.answer.tokens):
			return e.finishStream(c, r)
		default:
			return writeDone(c)
		}
		if err != nil {
			e.connectionLost(r, connection)
			return err
		}
	}
}

// injectFault applies the configured fault once the connection has carried that
// many events.
func (e *Engine) injectFault(ctx context.Context, events int) {
	if limit := e.options.Faults.CutStreamAfter; limit > 0 && events >= limit {
		abortConnection()
	}
	if limit := e.options.Faults.SilentAfter; limit > 0 && events >= limit {
		<-ctx.Done()
	}
}

// abortConnection closes the connection, so that an incomplete stream does not
// look complete: if the handler returned, the response would end normally.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func (e *Engine) finishStream(c echo.Context, r *run) error {
	if err := writeEvent(c, len(r.answer.tokens)+1, r.answer.finalChunk()); err != nil {
		return err
	}
	return writeDone(c)
}

func writeEvent(c echo.Context, id int, event completion) error {
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "standin: encode")
	}
	if _, err := fmt.Fprintf(c.Response(), "id: %d\ndata: %s\n\n", id, data); err != nil {
		return errors.Wrap(err, "standin: write")
	}
	c.Response().Flush()
	return nil
}

func writeDone(c echo.Context) error {
	if _, err := fmt.Fprint(c.Response(), "data: [DONE]\n\n"); err != nil {
		return errors.Wrap(err, "standin: write")
	}
	c.Response().Flush()
	return nil
}
