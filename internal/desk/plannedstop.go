package desk

import (
	"cmp"
	"net/http"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/shutdown"
)

// completionKey identifies requests that take similar times.
type completionKey struct {
	service, model string
}

// Stop begins a planned stop by a schedule. Requests that arrive from now on and are not expected to end in time are
// refused at once. What still runs at its end is answered with what is known of its outcome.
func (s *Server) Stop(schedule shutdown.Schedule) {
	now := s.options.Now()
	s.shutdown.Begin(now, now, s.ActiveRequests(), schedule)
}

// isSentInTime reports whether a request that is sent now is expected to end before the instance stops.
func (s *Server) isSentInTime(a admittedRequest, model string) bool {
	return !s.options.Now().After(s.shutdown.LatestStart(shutdown.Request[completionKey]{
		Key: completionKey{service: a.service, model: model}, Received: a.arrivedAt, Deadline: a.deadline,
	}))
}

// StopSummary returns what became of the requests since the planned stop began.
func (s *Server) StopSummary() shutdown.Summary {
	return s.shutdown.Summary()
}

// countStopRefusal counts a refusal in the summary of a planned stop.
func (s *Server) countStopRefusal(refusal *RefusalError) {
	isAnswerLost := refusal.Status == http.StatusBadGateway || refusal.Status == http.StatusGatewayTimeout
	if isAnswerLost && refusal.Outcome != outcome.NotRun {
		s.shutdown.CountUnfinished()
		return
	}
	s.shutdown.CountRefused(cmp.Or(refusal.stopReason, string(refusal.Code)))
}

// DrainingRefusal returns the refusal of a request that arrives at an instance that is stopping, without the
// addresses of others.
func DrainingRefusal() *RefusalError {
	return &RefusalError{
		Status:  http.StatusServiceUnavailable,
		Code:    CodeDraining,
		Message: "this instance is stopping; use another",
		Outcome: outcome.NotRun,
	}
}

// stoppingRefusal returns the refusal of a request that is not sent, or not any longer, because the instance stops.
func (s *Server) stoppingRefusal(run outcome.Outcome, stopReason string) *RefusalError {
	refusal := DrainingRefusal()
	refusal.stopReason = stopReason
	refusal.OtherAddresses = s.otherAddresses("")
	if run != outcome.NotRun {
		refusal.Status, refusal.Outcome = http.StatusBadGateway, run
		refusal.Message = "this instance has stopped before the answer"
	}
	return refusal
}
