package desk

import (
	"context"
	"net/http"

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
}

func (s *Server) newCrashEvidence(task task, slot *slot) crashEvidence {
	return crashEvidence{endpoint: s.endpointOf(slot), suspect: quarantine.Suspect{Digest: task.digest, Request: task.id}}
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
		evidence.suspect.Answering = errors.Is(err, shuttle.ErrTruncated)
		s.options.CrashDetector.Interrupted(evidence.endpoint, evidence.suspect)
	}
}

// reportRelay reports the result of relaying a response to crash attribution.
func (s *Server) reportRelay(evidence crashEvidence, status int, err error) {
	var cutOff *shuttle.Error
	switch {
	case err == nil:
		s.options.CrashDetector.Succeeded(evidence.suspect.Digest, status)
	case errors.As(err, &cutOff):
		evidence.suspect.Answering = true
		s.options.CrashDetector.Interrupted(evidence.endpoint, evidence.suspect)
	default:
		s.options.CrashDetector.Abandoned(evidence.endpoint, evidence.suspect)
	}
}

// quarantineRefusal returns the refusal of a quarantined request, and logs it. Nothing of the
// request has been sent.
func (s *Server) quarantineRefusal(task task) *RefusalError {
	s.options.Log.Info().Str("request", task.id).Stringer(quarantine.FieldDigest, task.digest).Msg("quarantined request refused")
	return &RefusalError{
		Status:  http.StatusUnprocessableEntity,
		Code:    CodeQuarantined,
		Message: "upstreams end that run this request; it is not sent on",
		Outcome: outcome.NotRun,
	}
}
