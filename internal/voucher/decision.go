package voucher

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/docket"
)

// Decision is what became of a request for a Voucher: Granted, Recorded,
// Unknown, InProgress, Mismatch or Refused.
type Decision interface {
	isDecision()
}

func (Granted) isDecision()    {}
func (Recorded) isDecision()   {}
func (Unknown) isDecision()    {}
func (InProgress) isDecision() {}
func (Mismatch) isDecision()   {}
func (Refused) isDecision()    {}

// Granted means that the request may be sent, once.
type Granted struct {
	Voucher *Voucher
}

// Recorded means that the request has run. The caller gets the same answer.
type Recorded struct {
	// Response is nil if the answer was not kept.
	Response *docket.Response
}

// Unknown means that the request may have run, and will not be sent again.
type Unknown struct{}

// InProgress means that the request is being run for another caller, and was
// still so after Request.Wait.
type InProgress struct {
	// RetryAfter is when its outcome is known at the latest.
	RetryAfter time.Duration
}

// Mismatch means that the key was used for another request.
type Mismatch struct{}

// Refused means that nothing was claimed. The request is not run.
type Refused struct {
	Reason     string
	RetryAfter time.Duration
}
