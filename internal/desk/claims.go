package desk

import (
	"context"
	"net/http"
	"slices"
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
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// KeyHeader carries the idempotency key of a request that must not run twice. A caller that
// does not know the outcome of a request sends it again with the same key.
const KeyHeader = "Idempotency-Key"

// replayedHeader is set to "true" on a response replayed from an idempotency record.
const replayedHeader = "Lovagelift-Replayed"

// Timing of idempotency claims.
const (
	// claimTimeout is the time limit of a claim proposal. A failed leader is replaced within
	// two election timeouts; after that the caller gets a not-run refusal instead of waiting
	// longer.
	claimTimeout = 3 * time.Second
	// recordTimeout is the time limit of recording an outcome. It is longer than an election,
	// as no caller waits for it.
	recordTimeout = 10 * time.Second
	// inProgressPollInterval is the interval between lookups of a claim that another request
	// holds.
	inProgressPollInterval = 100 * time.Millisecond
)

// claim is an idempotency claim of a request: once granted, it allows sending the request.
type claim struct {
	task        task
	key         docket.Key
	fingerprint docket.Fingerprint
	claimant    docket.Claimant
	// attempt is 0 until the claim is granted.
	attempt uint32
}

func (s *Server) newClaim(task task, key string) claim {
	request := task.request
	return claim{
		task:        task,
		key:         docket.KeyOf(keyScope(strings.TrimSpace(task.service), task.admitted.workspace), key),
		fingerprint: docket.FingerprintOf([]byte(request.Method), []byte(request.Target), request.Body),
		claimant: docket.Claimant{
			Instance:    s.options.Name,
			Incarnation: s.options.Incarnation,
			Request:     s.lastClaimID.Add(1),
		},
	}
}

// serveClaimed serves a request that must not run twice. The claim is committed before the
// first byte is sent to an upstream. Any other instance that receives the same key, now or
// after a restart, therefore replays the recorded response and never runs the request again.
func (s *Server) serveClaimed(c echo.Context, task task, key string) error {
	claim := s.newClaim(task, key)
	now := s.options.Now()
	waitDeadline := now.Add(s.options.Limits.InProgressWait)
	wait := s.shutdown.Start(c.Request().Context(), task.deadline.Sub(now))
	defer wait.End()
	for {
		answer, err := s.proposeClaim(wait.Context(), claim)
		if err != nil {
			return err
		}
		switch answer.Verdict {
		case docket.VerdictGranted:
			claim.attempt = answer.Attempt
			return s.sendClaimed(c, claim)
		case docket.VerdictInProgress:
			if refusal := s.awaitInProgress(wait.Context(), claim, waitDeadline); refusal != nil {
				return refusal
			}
			// The other request has ended, possibly without running. A claimant that already
			// got an answer must not be reused.
			claim.claimant.Request = s.lastClaimID.Add(1)
		default:
			return s.replayRecorded(c, task, answer)
		}
	}
}

// proposeClaim proposes the claim to the voters. If it gets no answer, the request is not sent,
// and the claim is withdrawn because it may still be granted.
func (s *Server) proposeClaim(ctx context.Context, claim claim) (docket.Answer, error) {
	now := s.options.Now()
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, claim.task.deadline.Sub(now)))
	defer cancel()
	result, err := s.options.Instance.Propose(ctx, docket.Claim{
		Key:         claim.key,
		Fingerprint: claim.fingerprint,
		Claimant:    claim.claimant,
		Timeout:     claim.task.deadline.Sub(now),
	})
	if err == nil && result.Docket != nil {
		return *result.Docket, nil
	}
	s.options.Log.Warn().Err(err).Str("request", claim.task.id).Msg("idempotency claim failed; request not sent")
	if !errors.Is(err, chamber.ErrNotAccepted) {
		s.pendingRecords.Go(func() { s.record(claim, docket.StateNotRun, nil) })
	}
	return docket.Answer{}, &RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeNotClaimed,
		Message:    "the voters did not take the claim in time, so the request was not sent",
		Outcome:    outcome.NotRun,
		RetryAfter: defaultRetryAfter,
	}
}

// sendClaimed sends a request whose claim was granted, and records the outcome in the
// background. The caller does not wait for the record; a resend in the meantime waits, as the
// claim is still in progress.
func (s *Server) sendClaimed(c echo.Context, claim claim) error {
	run := s.startRun(c.Request().Context(), claim.task)
	defer run.End()
	proxied, err := s.tryUpstreams(run.Context(), claim.task)
	if err != nil {
		s.pendingRecords.Go(func() { s.record(claim, stateOf(err), nil) })
		return s.finalRefusal(run.Context(), claim.task, err)
	}
	defer proxied.slot.release(dispatch.FailureCanceled)
	recorded := s.recordableResponse(proxied.response)
	s.pendingRecords.Go(func() { s.record(claim, docket.StateCompleted, recorded) })
	return s.relayResponse(c, claim.task, run, proxied)
}

// record proposes the outcome of a claimed request to the voters. If that fails, the outcome
// becomes unknown when the claim times out, which is still correct.
func (s *Server) record(claim claim, state docket.State, response *docket.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	result, err := s.options.Instance.Propose(ctx, docket.Record{
		Key:         claim.key,
		Claimant:    claim.claimant,
		Attempt:     claim.attempt,
		Fingerprint: claim.fingerprint,
		State:       state,
		Response:    response,
	})
	event := s.options.Log.Info()
	if err != nil {
		event = s.options.Log.Error().Err(err)
	} else if result.Docket != nil {
		event = event.Stringer("verdict", result.Docket.Verdict)
	}
	event.Str("request", claim.task.id).Stringer("state", state).Msg("idempotency record proposed")
}

// stateOf returns the state to record for a request that failed with err.
func stateOf(err error) docket.State {
	switch outcomeOf(err) {
	case outcome.NotRun:
		return docket.StateNotRun
	case outcome.Ran:
		return docket.StateCompleted
	default:
		return docket.StateUnknown
	}
}

// recordableResponse returns the response to record. It returns nil for a response that was not
// prefetched in full, such as an event stream, and for one that is too large.
func (s *Server) recordableResponse(response *shuttle.Response) *docket.Response {
	body, whole := response.PrefetchedBody()
	if !whole || int64(len(body)) > s.options.Limits.MaxRecordedBytes {
		return nil
	}
	recorded := &docket.Response{Status: response.Status, Body: body}
	for _, name := range []string{"Content-Type", "Content-Encoding", "Location"} {
		if value := response.Header.Get(name); value != "" {
			recorded.Headers = append(recorded.Headers, docket.Header{Name: name, Value: value})
		}
	}
	if response.Framing == shuttle.UntilClose {
		recorded.Headers = append(recorded.Headers, untilCloseMark)
	}
	return recorded
}

// untilCloseMark marks the record of a response that ended with its connection. Instances that do not
// know the mark replay it as a header, which has the same effect in net/http.
var untilCloseMark = docket.Header{Name: "Transfer-Encoding", Value: "identity"}

// framingOfRecord returns the framing with which a recorded response is replayed.
func framingOfRecord(recorded *docket.Response) shuttle.Framing {
	if slices.Contains(recorded.Headers, untilCloseMark) {
		return shuttle.UntilClose
	}
	return shuttle.Delimited
}

// awaitInProgress waits while another claimant holds the key. It returns nil when the state of
// the record has changed, and a refusal at the deadline.
func (s *Server) awaitInProgress(ctx context.Context, claim claim, deadline time.Time) *RefusalError {
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(s.options.Now()))
	defer cancel()
	for {
		answer, err := s.options.Instance.Lookup(ctx, claim.key)
		if err == nil && answer.Verdict != docket.VerdictInProgress {
			return nil
		}
		if !pause.For(ctx, inProgressPollInterval) {
			return inProgressRefusal(answer.Wait)
		}
	}
}

// replayRecorded responds with the recorded response, or a refusal if there is none.
func (s *Server) replayRecorded(c echo.Context, task task, answer docket.Answer) error {
	if answer.Verdict != docket.VerdictCompleted || answer.Response == nil {
		return refusalOfRecord(answer)
	}
	header := c.Response().Header()
	for _, field := range answer.Response.Headers {
		header.Set(field.Name, field.Value)
	}
	header.Set(outcome.Header, outcome.Ran.String())
	header.Set(replayedHeader, "true")
	end := shuttle.BeginResponse(c.Response(), c.Request(), framingOfRecord(answer.Response))
	c.Response().WriteHeader(answer.Response.Status)
	if _, err := c.Response().Write(answer.Response.Body); err != nil {
		s.recordEarlyEnd(task.id, errors.Wrap(errCallerLeft, err.Error()))
		end.Abort()
	}
	end.Complete()
	s.shutdown.CountWhole()
	return nil
}

// refusalOfRecord returns the refusal for a request whose claim was not granted and whose
// recorded response is not available.
func refusalOfRecord(answer docket.Answer) *RefusalError {
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

// maxInProgressRetryAfter bounds the Retry-After value for a request that is in progress
// elsewhere.
const maxInProgressRetryAfter = 10 * time.Second

func inProgressRefusal(wait time.Duration) *RefusalError {
	return &RefusalError{
		Status:     http.StatusConflict,
		Code:       CodeInProgress,
		Message:    "the request is in progress; send it again with the same key for its answer",
		Outcome:    outcome.Unknown,
		RetryAfter: max(time.Second, min(wait, maxInProgressRetryAfter)),
	}
}

type requestStatusReply struct {
	State   string            `json:"state"`
	Outcome outcome.Outcome   `json:"outcome"`
	Attempt uint32            `json:"attempt"`
	Answer  *recordedResponse `json:"answer,omitempty"`
}

type recordedResponse struct {
	Status int    `json:"status"`
	Body   []byte `json:"body-base64"`
}

// handleRequestStatus handles GET /v1/requests/{key}?service=NAME. A caller that lost a
// response can retrieve it here without sending the request again.
func (s *Server) handleRequestStatus(c echo.Context) error {
	run := s.shutdown.Start(c.Request().Context(), claimTimeout)
	defer run.End()
	ctx := run.Context()
	service := c.QueryParam("service")
	caller, refusal := s.workspaces.authorize(c.Request().Header, s.options.Instance.Configuration(), service)
	if refusal != nil {
		return refusal
	}
	key := docket.KeyOf(keyScope(service, caller), c.Param("key"))
	answer, err := s.options.Instance.Lookup(ctx, key)
	if err != nil {
		return &RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeNotClaimed,
			Message:    "no voter can confirm what is recorded",
			Outcome:    outcome.Unknown,
			RetryAfter: defaultRetryAfter,
		}
	}
	if answer.Verdict == docket.VerdictNotFound {
		return &RefusalError{
			Status:  http.StatusNotFound,
			Code:    CodeNotFound,
			Message: "nothing is recorded under this key, or its record has expired",
			Outcome: outcome.Unknown,
		}
	}
	return c.JSON(http.StatusOK, requestStatusOf(answer))
}

func requestStatusOf(answer docket.Answer) requestStatusReply {
	reply := requestStatusReply{State: answer.Verdict.String(), Attempt: answer.Attempt}
	switch answer.Verdict {
	case docket.VerdictCompleted:
		reply.Outcome = outcome.Ran
		if answer.Response != nil {
			reply.Answer = &recordedResponse{Status: answer.Response.Status, Body: answer.Response.Body}
		}
	case docket.VerdictRecorded:
		// The request was not run. Its key may be claimed again.
		reply.State = docket.StateNotRun.String()
		reply.Outcome = outcome.NotRun
	default:
		reply.Outcome = outcome.Unknown
	}
	return reply
}

// keyScope returns the namespace of an idempotency key: the same key of two services or two
// workspaces identifies two requests.
func keyScope(service string, caller *workspace.Workspace) string {
	if caller == nil {
		return service
	}
	return caller.Name + "\x00" + service
}
