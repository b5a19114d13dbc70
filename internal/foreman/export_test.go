package foreman

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// NewWithoutLoop returns a Controller without its control loop: it acts only in Reconcile.
func NewWithoutLoop(options Options) *Controller {
	return newController(options)
}

// Reconcile runs one reconciliation at now and waits for its calls to engines.
func (c *Controller) Reconcile(now time.Time) {
	c.reconcile(now)
	c.inFlight.Wait()
}

// ImmediateResends returns the ids of the orders that are sent again in the given state without a
// status query.
func ImmediateResends(now time.Time, state manifest.View, live map[string]roster.Upstream, declared declaration.Set) []string {
	var ids []string
	for _, next := range dueActions(now, actionInput{state: state, live: live, declared: declared, retryDelay: callRetryDelay}) {
		if r, ok := next.(resend); ok {
			ids = append(ids, r.target.order.ID)
		}
	}
	return ids
}

// PlanPauseAfter returns the time until the next plan after one that took cost to compute.
func PlanPauseAfter(cost time.Duration) time.Duration {
	return planPauseAfter(cost)
}

// SendOrder sends an order to an engine, as a Controller with a client does.
func SendOrder(ctx context.Context, client *http.Client, address string, order upstreamapi.Order) (upstreamapi.OrderResponse, error) {
	return engineClient{client: client, timeout: time.Minute}.sendOrder(ctx, address, order)
}

// ErrNotSent marks the errors of orders that were not sent.
var ErrNotSent = errNotSent
