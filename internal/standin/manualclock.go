package standin

import (
	"sync"
	"time"
)

// ManualClock is a Clock that only moves when Advance is called. It is safe for
// concurrent use.
type ManualClock struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
	// changed is signalled when a waiter is added.
	changed *sync.Cond
}

type waiter struct {
	due time.Time
	ch  chan time.Time
}

// NewManualClock returns a clock set to now.
func NewManualClock(now time.Time) *ManualClock {
	c := &ManualClock{now: now}
	c.changed = sync.NewCond(&c.mu)
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
	w := waiter{due: c.now.Add(d), ch: make(chan time.Time, 1)}
	if d <= 0 {
		w.ch <- c.now
		return w.ch
	}
	c.waiters = append(c.waiters, w)
	c.changed.Broadcast()
	return w.ch
}

// Advance moves the clock forward by d and fires the timers that are due.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		if w.due.After(c.now) {
			kept = append(kept, w)
			continue
		}
		w.ch <- c.now
	}
	c.waiters = kept
}

// AwaitWaiters blocks until at least n timers are pending. A timer whose
// receiver has stopped waiting counts until it is due.
func (c *ManualClock) AwaitWaiters(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiters) < n {
		c.changed.Wait()
	}
}
