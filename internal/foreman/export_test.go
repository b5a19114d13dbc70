package foreman

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// NewStill returns a Foreman that acts only in Round.
func NewStill(options Options) *Foreman {
	return newForeman(options)
}

// Round does all that is due at now, and returns when the calls to engines have
// ended.
func (f *Foreman) Round(now time.Time) {
	f.round(now)
	f.calls.Wait()
}

// Resent returns the ids of the orders that are sent again at once in that
// state, without a question before.
func Resent(now time.Time, state manifest.View, present map[string]roster.Upstream, declared declaration.Set) []string {
	var ids []string
	for _, due := range duties(now, facts{state: state, present: present, declared: declared, retryAfter: retryAfter}) {
		if again, ok := due.(resend); ok {
			ids = append(ids, again.at.order.ID)
		}
	}
	return ids
}

// PauseAfter returns the time until the next plan after one that took so long.
func PauseAfter(cost time.Duration) time.Duration {
	return pauseAfter(cost)
}
