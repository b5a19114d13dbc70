package standin

import (
	"sync"
	"time"
)

// ManualClock is a Clock that only moves when Advance is called. It is safe for
// concurrent use.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
	// timerAdded is signalled when a timer is added.
	timerAdded *sync.Cond
}

type timer struct {
	due time.Time
	ch  chan time.Time
}

// NewManualClock returns a clock set to now.
func NewManualClock(now time.Time) *ManualClock {
	c := &ManualClock{now: now}
	c.timerAdded = sync.NewCond(&c.mu)
	return c
}

// Now returns the current time of the clock.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After returns a channel that receives the time once the clock has been
// advanced by d.
func (c *ManualClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := timer{due: c.now.Add(d), ch: make(chan time.Time, 1)}
	if d <= 0 {
		t.ch <- c.now
		return t.ch
	}
	c.timers = append(c.timers, t)
	c.timerAdded.Broadcast()
	return t.ch
}

// Advance moves the clock forward by d and fires the timers that are due.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.due.After(c.now) {
			pending = append(pending, t)
			continue
		}
		t.ch <- c.now
	}
	c.timers = pending
}

// AwaitTimers blocks until at least n timers are pending. A timer whose
// receiver has stopped waiting counts until it is due.
func (c *ManualClock) AwaitTimers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.timers) < n {
		c.timerAdded.Wait()
	}
}
