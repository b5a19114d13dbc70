// Package voucher gives an instance the right to send a non-idempotent request
// once: it claims the request's key in the docket before the first byte leaves,
// and records what came of it (idempotency, the deduplicating side).
package voucher

import (
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/docket"
)

// Voucher is the right to send one request once. Exactly one of NotRun, Ran and
// Unknown must be called in the end; of several, the first counts. Its methods
// are safe for concurrent use.
type Voucher struct {
	office *Office
	record docket.Record
	// deadline is when the right ends. It is counted from before the claim was
	// proposed, so that it never lies after the docket's own.
	deadline time.Time
	settle   sync.Once
}

// MaySend tells whether the request may still be sent at now. It must be asked
// immediately before the first byte leaves: an instance that was paused after
// its claim may come back when others are already told that the outcome is
// unknown. It is not what keeps a request from running twice, as no claim is
// taken over; it keeps a late run from surprising a caller who was told to look.
func (v *Voucher) MaySend(now time.Time) bool {
	return now.Before(v.deadline)
}

// Deadline is when the right to send ends.
func (v *Voucher) Deadline() time.Time {
	return v.deadline
}

// Attempt counts the claims granted for the request's key, from 1.
func (v *Voucher) Attempt() uint32 {
	return v.record.Attempt
}

// NotRun records that no byte of the request can have reached an upstream, or
// that the upstream refused it before running. The key may then be claimed again.
func (v *Voucher) NotRun() {
	v.settled(docket.StateNotRun, nil)
}

// Ran records that the request ran. response is kept for callers who ask again;
// it may be nil and must not be changed afterwards.
func (v *Voucher) Ran(response *docket.Response) {
	if response != nil && len(response.Body) > v.office.options.MaxBodyBytes {
		response = nil
	}
	v.settled(docket.StateCompleted, response)
}

// Unknown records that the request may have run.
func (v *Voucher) Unknown() {
	v.settled(docket.StateUnknown, nil)
}

func (v *Voucher) settled(state docket.State, response *docket.Response) {
	v.settle.Do(func() {
		record := v.record
		record.State = state
		record.Response = response
		v.office.enqueue(record)
	})
}
