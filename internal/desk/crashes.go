package desk

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// digestOf returns the digest that identifies a caller's request. Callers are distinguished by
// their Authorization header.
func digestOf(r *http.Request, body []byte) quarantine.Digest {
	return quarantine.Identity{
		Caller: r.Header.Get("Authorization"), Method: r.Method, Target: r.URL.RequestURI(), Body: body,
	}.Digest()
}

// partsOf returns the digests of the parts of a completion's prompt that other requests may share:
// all messages but the last, which belongs to the request itself.
func partsOf(completion completionRequest) []quarantine.Digest {
	var parts []quarantine.Digest
	shared := completion.Messages[:max(0, len(completion.Messages)-1)]
	for _, message := range shared[:min(len(shared), maxPromptParts)] {
		parts = append(parts, quarantine.PartDigest(string(message)))
	}
	return parts
}

// maxPromptParts bounds the messages of a prompt to which a crash may be attributed.
const maxPromptParts = 1024

// endpointOf returns the upstream process that a slot belongs to.
func (s *Server) endpointOf(slot *slot) quarantine.Endpoint {
	chosen := &slot.decision.Chosen
	lifetime := quarantine.Lifetime{Upstream: chosen.Name}
	if known, found := s.options.Instance.Upstream(chosen.Name); found {
		lifetime.Incarnation = known.Announcement.Incarnation
	}
	return quarantine.Endpoint{Lifetime: lifetime, Address: chosen.Address}
}

// crashEvidence identifies an attempt for crash attribution.
type crashEvidence struct {
	endpoint quarantine.Endpoint
	suspect  quarantine.Suspect
	// answeredAt is when the response, or the first event of a stream, had arrived.
	answeredAt time.Time
	// endsUnproven is true if the response ends with its connection and nothing else.
	endsUnproven bool
}

func (s *Server) newCrashEvidence(task task, slot *slot) crashEvidence {
	return crashEvidence{
		endpoint: s.endpointOf(slot),
		suspect:  quarantine.Suspect{Digest: task.digest, Request: task.id, Parts: task.parts},
	}
}

// reportFailedAttempt reports an attempt that got no response to crash attribution.
func (s *Server) reportFailedAttempt(ctx context.Context, evidence crashEvidence, err error) {
	var failure *shuttle.Error
	switch {
	case !errors.As(err, &failure) || failure.Refused:
	case failure.Outcome == outcome.NotRun:
		s.options.CrashDetector.ConnectionFailed(evidence.endpoint, err)
	case errors.Is(ctx.Err(), context.Canceled):
		s.options.CrashDetector.Abandoned(evidence.endpoint, evidence.suspect)
	default:
		if errors.Is(err, shuttle.ErrTruncated) {
			evidence.suspect = evidence.suspect.WithAnswering(0)
		}
		s.options.CrashDetector.Interrupted(evidence.endpoint, evidence.suspect)
	}
}

// reportRelay reports the result of relaying a response to crash attribution.
func (s *Server) reportRelay(evidence crashEvidence, status int, err error) {
	var cutOff *shuttle.Error
	switch {
	case err == nil:
		s.reportSuccess(evidence, status)
	case errors.As(err, &cutOff):
		answering := evidence.suspect.WithAnswering(s.options.Now().Sub(evidence.answeredAt))
		s.options.CrashDetector.Interrupted(evidence.endpoint, answering)
	default:
		s.options.CrashDetector.Abandoned(evidence.endpoint, evidence.suspect)
	}
}

// reportSuccess reports a complete response to crash attribution. One that ended with its connection
// proves that only later.
func (s *Server) reportSuccess(evidence crashEvidence, status int) {
	if evidence.endsUnproven {
		answering := evidence.suspect.WithAnswering(s.options.Now().Sub(evidence.answeredAt))
		s.options.CrashDetector.Closed(evidence.endpoint, answering, status, evidence.suspect.Parts...)
		return
	}
	s.options.CrashDetector.Succeeded(evidence.suspect.Digest, status, evidence.suspect.Parts...)
}

// quarantineRefusal returns the refusal of a quarantined or a suspected request, and logs it.
func (s *Server) quarantineRefusal(task task, ruling quarantine.Ruling) *RefusalError {
	event := s.options.Log.Info()
	if ruling.Digests[0] != task.digest {
		event = event.Strs(quarantine.FieldParts, quarantine.ShortDigests(ruling.Digests))
	}
	event = event.Str("request", task.id).Stringer(quarantine.FieldDigest, task.digest)
	if ruling.Suspected {
		event.Msg("suspected request refused")
		return &RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeSuspected,
			Message:    "upstreams may end that run this request; another one is tried first",
			Outcome:    outcome.NotRun,
			RetryAfter: quarantine.SuspectedRetryAfter,
		}
	}
	event.Msg("quarantined request refused")
	return &RefusalError{
		Status:  http.StatusUnprocessableEntity,
		Code:    CodeQuarantined,
		Message: "upstreams end that run this request; it is not sent on",
		Outcome: outcome.NotRun,
	}
}
