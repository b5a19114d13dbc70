package counter

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shutdown"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// streamBufferBytes is the buffer size of a stream. An event has about 50 bytes.
const streamBufferBytes = 4 << 10

// passResponse passes an upstream's response to the caller. It returns false if nothing was sent to the
// caller and the request may be retried.
func (t *transaction) passResponse(ctx context.Context, w http.ResponseWriter, a *upstreamAttempt, response *http.Response) bool {
	t.possibleRuns++
	t.proxy.crashes.Responded(a.upstream.endpoint().Lifetime)
	if t.route.Kind == routes.Stream && response.StatusCode < http.StatusMultipleChoices {
		if t.needsAnotherRun(a, response) {
			return false
		}
		if err := awaitFirstByte(response); err != nil {
			t.confirmWhole(a, err)
			t.possibleRuns--
			return t.handleFailure(ctx, w, a, err)
		}
		if !t.recordOrigin(a) {
			return t.dropResponse(w, a, response.StatusCode)
		}
		if !t.run.BeginResponse() {
			t.possibleRuns--
			return t.handleFailure(ctx, w, a, shutdown.ErrStopping)
		}
		t.stream(ctx, w, a, response)
		return true
	}
	ahead, err := shuttle.ReadBody(response.Body, response.ContentLength, maxBufferedBytes, t.proxy.responseBuffers)
	defer ahead.Release()
	a.bodyBytes = int64(len(ahead.Bytes))
	if ahead.Whole || err != nil {
		t.confirmWhole(a, err)
	}
	if err != nil {
		t.possibleRuns--
		a.bodyStarted = a.bodyBytes > 0
		return t.handleFailure(ctx, w, a, err)
	}
	if response.StatusCode >= http.StatusInternalServerError && t.retryFailedAnswer(a, response.StatusCode) {
		return false
	}
	if ahead.Whole {
		t.recordAnswer(a, response.StatusCode)
	} else if !t.run.BeginResponse() {
		t.possibleRuns--
		return t.handleFailure(ctx, w, a, shutdown.ErrStopping)
	}
	end := beginResponse(w, t.request, response, a.framing)
	if _, err := w.Write(ahead.Bytes); err != nil {
		a.unfinished = !ahead.Whole
		t.recordEarlyEnd(a, response.StatusCode, outcome.CallerLeft, "cannot write to caller", err.Error())
		return true
	}
	if !ahead.Whole {
		ahead.Release()
		t.passLong(ctx, w, a, response, end)
		return true
	}
	end.Complete()
	t.recordWhole(a, response.StatusCode)
	return true
}

// recordWhole logs and counts a response that was passed on in full.
func (t *transaction) recordWhole(a *upstreamAttempt, status int) {
	t.proxy.shutdown.CountWhole()
	t.proxy.logAttempt(t, a, "answered", status, "")
}

// recordEarlyEnd logs and counts a response that ends early after its head has been passed on.
func (t *transaction) recordEarlyEnd(a *upstreamAttempt, status int, cause outcome.EarlyEnd, event, reason string) {
	p := t.proxy
	p.shutdown.CountEarlyEnd(p.options.Now(), cause)
	p.mu.Lock()
	p.metrics.countEarlyEnd(cause)
	p.mu.Unlock()
	a.earlyEnd = cause
	p.logAttempt(t, a, event, status, reason)
}

// unwrittenBy returns why a response can't be written to its caller. An instance that stops closes the connections of
// callers that read late.
func unwrittenBy(ctx context.Context) outcome.EarlyEnd {
	if shutdown.IsStopped(ctx) {
		return outcome.InstanceStopped
	}
	return outcome.CallerLeft
}

// brokenOffBy returns why the response of an upstream has ended early while its caller waited and the instance did
// not stop.
func brokenOffBy(ctx context.Context) outcome.EarlyEnd {
	if ctx.Err() != nil {
		return outcome.DeadlinePassed
	}
	return outcome.UpstreamBrokeOff
}

// recordAnswer records a complete response other than a stream.
func (t *transaction) recordAnswer(a *upstreamAttempt, status int) {
	a.outcome = permit.Succeeded
	t.observePlainStatus(a, status)
	t.reportSuccess(a, status)
}

// observePlainStatus records what a complete response of a plain service says of its upstream.
func (t *transaction) observePlainStatus(a *upstreamAttempt, status int) {
	switch {
	case t.group == "":
	case status >= http.StatusInternalServerError:
		a.outcome = permit.Failed
	default:
		a.speed = t.measuredSpeed()
	}
}

// retryFailedAnswer decides whether a request that an upstream answered with a server error is
// retried. Only repeatable requests are.
func (t *transaction) retryFailedAnswer(a *upstreamAttempt, status int) bool {
	if !t.route.Repeatable() {
		return false
	}
	p := t.proxy
	now := p.options.Now()
	p.mu.Lock()
	verdict := t.verdict(now, outcome.Ran)
	p.mu.Unlock()
	if verdict != retry.Again {
		return false
	}
	t.observePlainStatus(a, status)
	t.tried = append(t.tried, a.upstream.name)
	p.logAttempt(t, a, "failed", status, verdict.String())
	return true
}

// dropResponse ends an attempt whose stream is not passed on, since another process may have begun it than the
// one that was granted. It reports whether the caller was answered.
func (t *transaction) dropResponse(w http.ResponseWriter, a *upstreamAttempt, status int) bool {
	p := t.proxy
	p.mu.Lock()
	verdict := t.verdict(p.options.Now(), outcome.Ran)
	p.mu.Unlock()
	p.logAttempt(t, a, "process replaced", status, verdict.String())
	if verdict == retry.Again {
		return false
	}
	p.refuse(w, t.call, t.route, refusal{status: http.StatusBadGateway, text: "the upstream was replaced meanwhile"})
	return true
}

// stream relays events as they arrive. If the upstream breaks off, or may have done so and the caller can
// resume the stream, the caller's connection is aborted as well, so that a truncated stream does not look
// complete.
func (t *transaction) stream(ctx context.Context, w http.ResponseWriter, a *upstreamAttempt, response *http.Response) {
	end := beginResponse(w, t.request, response, a.framing)
	readErr, writeErr := copyChunks(w, t.withCut(a, response.Body), func(bytes int) {
		a.bodyStarted = true
		a.bodyBytes += int64(bytes)
		t.resumptionResult = resumptionWentOn
		t.timing.recordChunk(t.proxy.options.Now())
	})
	if writeErr == nil {
		t.confirmWhole(a, readErr)
	}
	status := response.StatusCode
	switch {
	case writeErr != nil:
		t.reportCallerLeft(a)
		t.recordEarlyEnd(a, status, unwrittenBy(ctx), "cannot write to caller", writeErr.Error())
	case readErr == nil:
		a.outcome, a.speed = permit.Succeeded, t.measuredSpeed()
		t.reportSuccess(a, status)
		t.endStream(a, status, end)
		return
	case shutdown.IsStopped(ctx):
		t.recordCut(a, status, outcome.InstanceStopped)
	case t.request.Context().Err() != nil:
		t.reportCallerLeft(a)
		t.recordEarlyEnd(a, status, outcome.CallerLeft, "caller disconnected", "the caller left")
	case errors.Is(readErr, shutdown.ErrStopping):
		t.recordCut(a, status, outcome.CutBetweenEvents)
	default:
		t.reportBroken(a, readErr)
		if ctx.Err() == nil {
			a.outcome = permit.Failed
		}
		t.recordEarlyEnd(a, status, brokenOffBy(ctx), "broken off", readErr.Error())
	}
	a.unfinished = true
	end.Abort()
}

// endStream ends the caller's connection after a stream that its upstream has ended regularly.
func (t *transaction) endStream(a *upstreamAttempt, status int, end shuttle.ResponseEnd) {
	if t.isLeftToCaller(a) {
		t.recordEarlyEnd(a, status, outcome.LeftToCaller, "left to caller", "")
		end.Abort()
	}
	end.Complete()
	t.resumptionResult = resumptionWentOn
	t.completeOrigin()
	t.recordWhole(a, status)
}

// copyChunks copies body to w and flushes after each chunk, for whose size it calls observe. It
// returns the error of the side that failed.
func copyChunks(w http.ResponseWriter, body io.Reader, observe func(bytes int)) (readErr, writeErr error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			observe(n)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
			if flushErr := controller.Flush(); flushErr != nil {
				return nil, flushErr
			}
		}
		switch err {
		case nil:
		case io.EOF:
			return nil, nil
		default:
			return err, nil
		}
	}
}

// beginResponse sends the header of an upstream's response, in its framing.
func beginResponse(w http.ResponseWriter, r *http.Request, response *http.Response, framing shuttle.Framing) shuttle.ResponseEnd {
	copyHeader(w, response)
	end := shuttle.BeginResponse(w, r, framing)
	w.WriteHeader(response.StatusCode)
	return end
}

func copyHeader(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range shuttle.EndToEndHeader(response.Header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// Without an entry, net/http would guess the content type.
		header["Content-Type"] = nil
	}
}

// logAttempt logs and counts the result of an attempt.
func (p *Proxy) logAttempt(t *transaction, a *upstreamAttempt, event string, status int, verdict string) {
	now := p.options.Now()
	factor := 1.0
	p.mu.Lock()
	if status != 0 {
		p.metrics.countAnswer(now, t, status)
		if a.framing == shuttle.UntilClose {
			p.metrics.countUntilClose(event, a.endsInsideEvent())
			p.metrics.countConfirmation(a.confirmation)
		}
		factor = p.speedFactor(now, t, a.upstream)
	} else {
		p.metrics.countFailedSend(verdict)
	}
	p.mu.Unlock()
	line := p.logLine(now, event)
	if line == nil {
		return
	}
	line = line.Str("request", t.call.ID).Str(quarantine.FieldDigest, t.digest.Short()).Str("route", t.route.Name).
		Uint64("version", t.version).Str("upstream", a.upstream.name).Int("send", t.sends).
		Int("status", status).Dur("took", now.Sub(t.arrived)).Str("verdict", verdict)
	if status == 0 && t.lastError != nil {
		line = line.Str("error", t.lastError.Error())
	}
	if t.call.Resumes != "" {
		line = line.Str("resumes", t.call.Resumes)
	}
	if t.originSource != "" {
		line = line.Str("origin", string(t.originSource))
	}
	if version := a.upstream.software; version != "" {
		line = line.Str("software-version", version)
	}
	if t.call.Model != "" {
		line = line.Str("model", t.call.Model).Str("adapter", t.call.Adapter).Int("prompt-tokens", t.call.PromptTokens).
			Int("answer-tokens", t.call.OutputTokens)
	}
	if t.quotaCost > 0 {
		line = line.Str("workspace", t.workspaceName()).Float64("cost", t.quotaCost)
	}
	if factor != 1 {
		line = line.Float64("speed-factor", factor)
	}
	if a.owner.IsValid() {
		line = line.Stringer("placed-by", a.owner)
	}
	if a.relayedBy.IsValid() {
		line = line.Stringer("relayed-by", a.relayedBy)
	}
	if a.pushback > 0 {
		line = line.Dur("pushback", a.pushback)
	}
	if a.tolerance > 0 {
		line = line.Int("tolerance", a.tolerance)
	}
	if a.statesLeave {
		line = line.Bool("upstream-leaving", true)
	}
	line = a.logEnd(line)
	if !t.timing.sent.IsZero() {
		line = line.Dur("waited", t.timing.sent.Sub(t.arrived))
	}
	if !t.timing.firstChunk.IsZero() {
		line = line.Dur("first", t.timing.firstChunk.Sub(t.arrived)).Dur("longest-pause", t.timing.longestPause)
	}
	line.Msg(event)
}

// logEnd adds how the response ended to a log line.
func (a *upstreamAttempt) logEnd(line *zerolog.Event) *zerolog.Event {
	if a.framing == shuttle.UntilClose {
		line = line.Stringer("framing", a.framing)
	}
	if a.liveness != NotChecked {
		line = line.Stringer("upstream-after", a.liveness)
	}
	if a.confirmation != notEnded {
		line = line.Stringer("end", a.confirmation)
	}
	if a.endsInsideEvent() {
		line = line.Bool("inside-event", true)
	}
	if a.earlyEnd != 0 {
		line = line.Stringer("early-end", a.earlyEnd)
	}
	return line
}

// logOutcome logs the end of a request that was sent to no upstream.
func (p *Proxy) logOutcome(t *transaction, event, reason string) {
	now := p.options.Now()
	p.logLine(now, event).Str("request", t.call.ID).Str("route", t.route.Name).
		Dur("took", now.Sub(t.arrived)).Str("reason", reason).Msg(event)
}
