// Package pause waits for a time that a context may cut short (sleep with
// cancellation). It is for drivers; what decides takes the time as an argument.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true. If ctx ends before, For returns false at
// once.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
