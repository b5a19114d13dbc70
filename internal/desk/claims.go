package desk

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// KeyHeader names a request that must not run twice. A caller sends the same key
// with the same request when it does not know what became of it.
const KeyHeader = "Idempotency-Key"

// replayedHeader is set to "true" on an answer that was recorded earlier.
const replayedHeader = "Lovagelift-Replayed"

// The times of a claim.
const (
	// claimTimeout bounds the wait for a claim. A leader is replaced within two
	// election timeouts; a caller is told not-run rather than kept longer.
	claimTimeout = 3 * time.Second
	// recordTimeout bounds the recording of what came of a request. It outlasts
	// an election, since nobody waits for it.
	recordTimeout = 10 * time.Second
	// progressPoll is how often that other is asked after.
	progressPoll = 100 * time.Millisecond
)

// claim is a request with a key, and the right to send it once it is granted.
type claim struct {
	task        task
	key         docket.Key
	fingerprint docket.Fingerprint
	claimant    docket.Claimant
	// attempt is 0 until the claim is granted.
	attempt uint32
}

// newClaim returns the claim of a request whose caller gave a key.
func (d *Desk) newClaim(task task, key string) claim {
	request := task.request
	return claim{
		task:        task,
		key:         docket.KeyOf(task.scope(), key),
		fingerprint: docket.FingerprintOf([]byte(request.Method), []byte(request.Target), request.Body),
		claimant: docket.Claimant{
			Instance:    d.options.Name,
			Incarnation: d.options.Incarnation,
			Request:     d.claims.Add(1),
		},
	}
}

// serveOnce serves a request that must not run twice. The claim is committed
// before the first byte leaves, so that the same key at any other instance, now
// or after a restart, gets the recorded answer and never a second run.
func (d *Desk) serveOnce(c echo.Context, task task, key string) error {
	claim := d.newClaim(task, key)
	waitUntil := d.options.Now().Add(d.options.Limits.ProgressWait)
	for {
		answer, err := d.propose(c.Request().Context(), claim)
		if err != nil {
			return err
		}
		switch answer.Verdict {
		case docket.VerdictGranted:
			claim.attempt = answer.Attempt
			return d.sendOnce(c, claim)
		case docket.VerdictInProgress:
			if refusal := d.awaitOther(c.Request().Context(), claim, waitUntil); refusal != nil {
				return refusal
			}
			// The other has finished, or given up without sending. A claimant
			// that was answered is not used again.
			claim.claimant.Request = d.claims.Add(1)
		default:
			return replay(c, answer)
		}
	}
}

// propose asks for the claim. If there is no answer, nothing is sent, and the
// claim is withdrawn in case it is granted yet.
func (d *Desk) propose(ctx context.Context, claim claim) (docket.Answer, error) {
	now := d.options.Now()
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, claim.task.deadline.Sub(now)))
	defer cancel()
	result, err := d.options.Instance.Propose(ctx, docket.Claim{
		Key:         claim.key,
		Fingerprint: claim.fingerprint,
		Claimant:    claim.claimant,
		Timeout:     claim.task.deadline.Sub(now),
	})
	if err == nil && result.Docket != nil {
		return *result.Docket, nil
	}
	d.options.Log.Warn().Err(err).Str("request", claim.task.id).Msg("not claimed")
	if !errors.Is(err, chamber.ErrNotAccepted) {
		d.background.Go(func() { d.record(claim, docket.StateNotRun, nil) })
	}
	return docket.Answer{}, &RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeNotClaimed,
		Message:    "the voters did not take the claim in time, so the request was not sent",
		Outcome:    outcome.NotRun,
		RetryAfter: retryLater,
	}
}

// sendOnce sends a request whose claim was granted, and records what came of it.
// The caller is answered first: it must not wait for the record, and a resend
// meanwhile waits.
func (d *Desk) sendOnce(c echo.Context, claim claim) error {
	ctx, cancel := d.attemptContext(c.Request().Context(), claim.task)
	defer cancel()
	delivery, err := d.deliver(ctx, claim.task)
	if err != nil {
		d.background.Go(func() { d.record(claim, stateAfter(err), nil) })
		return d.giveUp(claim.task, err)
	}
	defer delivery.trip.end(dispatch.FailureCanceled)
	response := d.captured(delivery.answer)
	d.background.Go(func() { d.record(claim, docket.StateCompleted, response) })
	return d.relay(c, claim.task, delivery)
}

// record tells the voters what came of a claimed request. If it can't, the claim
// is unknown once its timeout has passed, which is true.
func (d *Desk) record(claim claim, state docket.State, response *docket.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	result, err := d.options.Instance.Propose(ctx, docket.Record{
		Key:         claim.key,
		Claimant:    claim.claimant,
		Attempt:     claim.attempt,
		Fingerprint: claim.fingerprint,
		State:       state,
		Response:    response,
	})
	event := d.options.Log.Info()
	if err != nil {
		event = d.options.Log.Error().Err(err)
	} else if result.Docket != nil {
		event = event.Stringer("verdict", result.Docket.Verdict)
	}
	event.Str("request", claim.task.id).Stringer("state", state).Msg("recorded")
}

// stateAfter returns what is recorded of a request that has no answer.
func stateAfter(err error) docket.State {
	switch outcomeOf(err) {
	case outcome.NotRun:
		return docket.StateNotRun
	case outcome.Ran:
		return docket.StateCompleted
	default:
		return docket.StateUnknown
	}
}

// captured returns an answer as it is recorded. A stream of events is not kept,
// and neither is an answer that was not read ahead whole or is too large.
func (d *Desk) captured(answer *shuttle.Answer) *docket.Response {
	body, whole := answer.Whole()
	if !whole || int64(len(body)) > d.options.Limits.RecordedBytes {
		return nil
	}
	response := &docket.Response{Status: answer.Status, Body: body}
	for _, name := range []string{"Content-Type", "Content-Encoding", "Location"} {
		if value := answer.Header.Get(name); value != "" {
			response.Headers = append(response.Headers, docket.Header{Name: name, Value: value})
		}
	}
	return response
}

// awaitOther waits while another claimant holds the key. It returns nil when the
// state has changed.
func (d *Desk) awaitOther(ctx context.Context, claim claim, until time.Time) *RefusalError {
	ctx, cancel := context.WithTimeout(ctx, until.Sub(d.options.Now()))
	defer cancel()
	for {
		answer, err := d.options.Instance.Lookup(ctx, claim.key)
		if err == nil && answer.Verdict != docket.VerdictInProgress {
			return nil
		}
		if !pause.For(ctx, progressPoll) {
			return inProgressRefusal(answer.Wait)
		}
	}
}

// replay answers with what is recorded of a request.
func replay(c echo.Context, answer docket.Answer) error {
	if answer.Verdict != docket.VerdictCompleted || answer.Response == nil {
		return recordedRefusal(answer)
	}
	header := c.Response().Header()
	for _, field := range answer.Response.Headers {
		header.Set(field.Name, field.Value)
	}
	header.Set(outcome.Header, outcome.Ran.String())
	header.Set(replayedHeader, "true")
	c.Response().WriteHeader(answer.Response.Status)
	_, err := c.Response().Write(answer.Response.Body)
	return errors.Wrap(err, "desk: writing to the caller")
}

// recordedRefusal is the answer to a request whose recorded answer can't be
// given.
func recordedRefusal(answer docket.Answer) *RefusalError {
	switch answer.Verdict {
	case docket.VerdictMismatch:
		return &RefusalError{
			Status:  http.StatusUnprocessableEntity,
			Code:    CodeKeyReused,
			Message: "the key was used for another request; nothing was sent",
			Outcome: outcome.NotRun,
		}
	case docket.VerdictFull:
		return &RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeNotClaimed,
			Message:    "there is no room for another idempotency record; nothing was sent",
			Outcome:    outcome.NotRun,
			RetryAfter: answer.Wait,
		}
	case docket.VerdictCompleted:
		return &RefusalError{
			Status:  http.StatusConflict,
			Code:    CodeAnswerNotKept,
			Message: "the request has run; its answer was lost or was too large to keep",
			Outcome: outcome.Ran,
		}
	case docket.VerdictInProgress:
		return inProgressRefusal(answer.Wait)
	default:
		return &RefusalError{
			Status:  http.StatusConflict,
			Code:    CodeOutcomeUnknown,
			Message: "the request may have run; it is not sent again. Ask the service whether it did",
			Outcome: outcome.Unknown,
		}
	}
}

// maxInProgressRetry bounds what a caller is told to wait for another.
const maxInProgressRetry = 10 * time.Second

func inProgressRefusal(wait time.Duration) *RefusalError {
	return &RefusalError{
		Status:     http.StatusConflict,
		Code:       CodeInProgress,
		Message:    "the request is in progress; send it again with the same key for its answer",
		Outcome:    outcome.Unknown,
		RetryAfter: max(time.Second, min(wait, maxInProgressRetry)),
	}
}

type requestReply struct {
	State   string           `json:"state"`
	Outcome outcome.Outcome  `json:"outcome"`
	Attempt uint32           `json:"attempt"`
	Answer  *requestResponse `json:"answer,omitempty"`
}

type requestResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body-base64"`
}

// requests answers GET /v1/requests/{key}?service=NAME, so that a caller that
// lost the answer need not send the request again.
func (d *Desk) requests(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), claimTimeout)
	defer cancel()
	key := docket.KeyOf(c.QueryParam("service"), c.Param("key"))
	answer, err := d.options.Instance.Lookup(ctx, key)
	if err != nil {
		return &RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeNotClaimed,
			Message:    "no voter can confirm what is recorded",
			Outcome:    outcome.Unknown,
			RetryAfter: retryLater,
		}
	}
	if answer.Verdict == docket.VerdictNone {
		return &RefusalError{
			Status:  http.StatusNotFound,
			Code:    CodeNotFound,
			Message: "nothing is recorded under this key, or its record has expired",
			Outcome: outcome.Unknown,
		}
	}
	return c.JSON(http.StatusOK, requestReplyOf(answer))
}

func requestReplyOf(answer docket.Answer) requestReply {
	reply := requestReply{State: answer.Verdict.String(), Attempt: answer.Attempt}
	switch answer.Verdict {
	case docket.VerdictCompleted:
		reply.Outcome = outcome.Ran
		if answer.Response != nil {
			reply.Answer = &requestResponse{Status: answer.Response.Status, Body: answer.Response.Body}
		}
	case docket.VerdictRecorded:
		// The claimant gave up without sending a byte.
		reply.State = docket.StateNotRun.String()
		reply.Outcome = outcome.NotRun
	default:
		reply.Outcome = outcome.Unknown
	}
	return reply
}

// scope is where the keys of a task belong: the same key of two services names
// two requests.
func (t task) scope() string {
	return strings.TrimSpace(t.service)
}
