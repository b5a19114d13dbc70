// Package standin holds small stand-ins for upstreams (test doubles): a model
// engine and a plain service that speak the interface of package upstreamapi
// and announce themselves to an instance as any other upstream does.
//
// They serve the examples and the tests. Time and the HTTP client are injected,
// so that a test decides when a token is made and what the network does.
package standin

import "time"

// Clock tells the time and waits for it.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// Now returns the machine's time.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// After returns time.After(d).
func (SystemClock) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
