package desk

import (
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// completionKey identifies requests that take similar times.
type completionKey struct {
	service, model string
}

// Stop begins a planned stop, for the end of which it leaves timeLeft. Requests that arrive from now on and are not
// expected to end by then are refused at once. What still runs then is answered with what is known of its outcome.
func (s *Server) Stop(timeLeft time.Duration) {
	s.shutdown.Begin(s.options.Now(), s.ActiveRequests(), timeLeft)
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
