// Package standin provides test doubles of upstreams: a model engine and a
// plain service. They implement the API of package upstreamapi and announce
// themselves to an instance like any other upstream.
//
// The examples and the tests use them. The clock and the HTTP client are
// injected, so that a test controls when tokens are generated and how the
// network behaves.
package standin

import "time"

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time after d.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns time.Now().
func (SystemClock) Now() time.Time {
	return time.Now()
}

// After returns time.After(d).
func (SystemClock) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
