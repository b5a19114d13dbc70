// Package pause is a sleep that a context can cancel. It is meant for loops that drive a component;
// the decision logic takes the time as an argument instead.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true. If ctx ends first, For returns false immediately.
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
