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

// refusal is the answer to a request of which nothing was run.
type refusal struct {
	status  int
	code    string
	message string
}

// refuse answers r and marks the answer as that of a request that was not run.
func refuse(c echo.Context, r *refusal) error {
	c.Response().Header().Set(upstreamapi.RefusedHeader, upstreamapi.RefusedNotRun)
	return c.JSON(r.status, apiError{apiErrorBody{Message: r.message, Type: "invalid_request_error", Code: r.code}})
}

// completions answers POST /v1/chat/completions and /v1/completions.
func (e *Engine) completions(c echo.Context) error {
	var request completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return refuse(c, &refusal{http.StatusBadRequest, "invalid_body", "standin: body: " + err.Error()})
	}
	chat := strings.HasPrefix(c.Path(), "/v1/chat/")
	r, refused := e.admit(c.Request().Header, chat, request)
	if refused != nil {
		return refuse(c, refused)
	}
	go e.produce(r)
	if request.Stream {
		return e.stream(c, r, r.answer.first)
	}
	return e.whole(c, r)
}

// admit claims a place for a request, or returns why it is not run.
func (e *Engine) admit(header http.Header, chat bool, request completionRequest) (*run, *refusal) {
	id := header.Get(upstreamapi.RequestIDHeader)
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		e.unnamed++
		id = fmt.Sprintf("unnamed-%d", e.unnamed)
	}
	r, refused := e.admitLocked(id, header, chat, request)
	if refused != nil {
		if e.log.Find(id).state == upstreamapi.RequestNeverSeen {
			e.log.Add(id, logEntry{state: upstreamapi.RequestRefused})
		}
		return nil, refused
	}
	e.log.Add(id, logEntry{run: r})
	for _, key := range r.use.keys {
		e.busy[key]++
	}
	return r, nil
}

func (e *Engine) admitLocked(id string, header http.Header, chat bool, request completionRequest) (*run, *refusal) {
	if e.log.Find(id).state == upstreamapi.RequestBarred {
		return nil, &refusal{http.StatusConflict, "barred", "standin: the request was cancelled before it arrived"}
	}
	using, served := e.memory.serves(request.Model)
	if !served {
		return nil, &refusal{http.StatusNotFound, "model_not_found", "standin: the model " + request.Model + " is not loaded"}
	}
	if request.Continue != nil && !e.can(upstreamapi.CapabilityContinue) {
		return nil, &refusal{http.StatusBadRequest, "cannot_continue", "standin: the engine lacks continue"}
	}
	a, err := newAnswer(id, chat, request, e.clock.Now().Unix())
	if err != nil {
		return nil, &refusal{http.StatusBadRequest, "cannot_continue", err.Error()}
	}
	priority := 0
	if e.can(upstreamapi.CapabilityPriority) {
		priority, _ = strconv.Atoi(header.Get(upstreamapi.PriorityHeader))
	}
	place, free := e.slots.Claim(priority)
	if !free {
		return nil, &refusal{http.StatusTooManyRequests, "busy", "standin: as many requests run and wait as may"}
	}
	return newRun(a, using, prefixesOf(header), place), nil
}

func prefixesOf(header http.Header) []string {
	var names []string
	for name := range strings.SplitSeq(header.Get(upstreamapi.PrefixHeader), ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// produce makes the tokens of a run until the last, a cancel, or the end of the
// time in which a lost connection may come back.
func (e *Engine) produce(r *run) {
	defer e.ended(r)
	select {
	case <-r.ctx.Done():
		r.Enter(upstreamapi.RequestRefused)
		return
	case <-r.claim.granted:
	}
	if r.ctx.Err() != nil {
		r.Enter(upstreamapi.RequestRefused)
		return
	}
	delay := e.started(r)
	for i := r.answer.first; i < len(r.answer.tokens); i++ {
		if wait(r.ctx, e.clock, delay) != nil || r.Abandoned(e.clock.Now(), e.options.ResumeWindow) {
			r.Enter(upstreamapi.RequestCancelled)
			return
		}
		r.Made()
		delay = e.options.TokenDelay
	}
	r.Enter(upstreamapi.RequestFinished)
}

// started counts the run and returns the delay of its first token.
func (e *Engine) started(r *run) time.Duration {
	prompt := len(r.answer.request.prompt())
	e.mu.Lock()
	e.runs[r.answer.id]++
	r.cached = e.cache.Use(r.use.model, r.prefixes, prompt)
	e.mu.Unlock()
	e.wakePublisher()
	r.Enter(upstreamapi.RequestRunning)
	return e.options.FirstTokenDelay + time.Duration(prompt-r.cached)*e.options.PrefillTokenDelay
}

func (e *Engine) ended(r *run) {
	r.cancel()
	e.slots.Release(r.claim)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range r.use.keys {
		e.busy[key]--
	}
	close(e.idle)
	e.idle = make(chan struct{})
}

// lost says that a connection is gone. The run ends with its newest connection,
// unless that may come back.
func (e *Engine) lost(r *run, viewer int) {
	newest := r.Unview(viewer, e.clock.Now())
	if newest && (e.options.ResumeWindow == 0 || !e.can(upstreamapi.CapabilityResume)) {
		r.cancel()
	}
}

// await returns the progress once ready tells that it is enough. If the
// connection is lost before, await returns an error.
func (e *Engine) await(ctx context.Context, r *run, viewer int, ready func(progress) bool) (progress, error) {
	for {
		p := r.Progress()
		if ready(p) {
			return p, nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			e.lost(r, viewer)
			return p, errors.Wrap(ctx.Err(), "standin: connection lost")
		}
	}
}

// whole answers with the whole answer once it is made.
func (e *Engine) whole(c echo.Context, r *run) error {
	p, err := e.await(c.Request().Context(), r, r.View(), func(p progress) bool {
		return p.state != upstreamapi.RequestWaiting && p.state != upstreamapi.RequestRunning
	})
	switch {
	case err != nil:
		return err
	case p.state == upstreamapi.RequestRefused:
		return refuse(c, &refusal{http.StatusConflict, "cancelled", "standin: cancelled before it ran"})
	case p.state == upstreamapi.RequestCancelled:
		return c.JSON(http.StatusConflict, apiError{apiErrorBody{Message: "standin: cancelled", Type: "server_error"}})
	}
	c.Response().Header().Set(upstreamapi.CachedTokensHeader, strconv.Itoa(r.cached))
	return c.JSON(http.StatusOK, r.answer.complete())
}

// stream answers with the events after the one of that id, as they are made.
func (e *Engine) stream(c echo.Context, r *run, after int) error {
	viewer := r.View()
	ctx := c.Request().Context()
	p, err := e.await(ctx, r, viewer, func(p progress) bool { return p.state != upstreamapi.RequestWaiting })
	if err != nil {
		return err
	}
	if p.state == upstreamapi.RequestRefused {
		return refuse(c, &refusal{http.StatusConflict, "cancelled", "standin: cancelled before it ran"})
	}
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	header.Set(upstreamapi.CachedTokensHeader, strconv.Itoa(r.cached))
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()

	for sent := after; ; sent++ {
		p, err := e.await(ctx, r, viewer, func(p progress) bool {
			return p.viewer != viewer || p.made > sent || p.state != upstreamapi.RequestRunning
		})
		if err != nil {
			return err
		}
		e.fault(ctx, sent-after)
		switch {
		case p.viewer != viewer:
			abort()
		case p.made > sent:
			err = writeEvent(c, sent+1, r.answer.chunk(sent))
		case p.state != upstreamapi.RequestFinished:
			abort()
		case sent == len(r.answer.tokens):
			return e.endStream(c, r)
		default:
			return writeDone(c)
		}
		if err != nil {
			e.lost(r, viewer)
			return err
		}
	}
}

// fault does what the options say goes wrong after that many events of a
// connection.
func (e *Engine) fault(ctx context.Context, events int) {
	if at := e.options.Faults.CutStreamAfter; at > 0 && events >= at {
		abort()
	}
	if at := e.options.Faults.SilentAfter; at > 0 && events >= at {
		<-ctx.Done()
	}
}

// abort cuts the connection, so that a stream that is not whole does not look
// like one that is: a handler that returns would end it in good order.
func abort() {
	panic(http.ErrAbortHandler)
}

func (e *Engine) endStream(c echo.Context, r *run) error {
	if err := writeEvent(c, len(r.answer.tokens)+1, r.answer.last()); err != nil {
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
