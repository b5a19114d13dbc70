package desk

import (
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
	s.shutdown.Begin(s.options.Now(), s.ActiveRequests(), schedule)
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
func (s *Server) stoppingRefusal(run outcome.Outcome) *RefusalError {
	refusal := DrainingRefusal()
	refusal.OtherAddresses = s.otherAddresses("")
	if run != outcome.NotRun {
		refusal.Status, refusal.Outcome = http.StatusBadGateway, run
		refusal.Message = "this instance has stopped before the answer"
	}
	return refusal
}
