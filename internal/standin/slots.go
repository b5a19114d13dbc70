package standin

import (
	"slices"
	"sync"
)

// slots is the set of slots in an engine's running batch, with a queue of
// waiting requests. It is safe for concurrent use.
type slots struct {
	// limit is the number of slots, 0 for no limit. queueLimit is the maximum
	// number of waiting requests.
	limit      int
	queueLimit int

	mu      sync.Mutex
	running int
	// queue is ordered by priority, then by arrival.
	queue []*slotClaim
}

// slotClaim is one request's claim to a slot.
type slotClaim struct {
	// priority is 0 for the highest.
	priority int
	// granted is closed once the request has the slot.
	granted chan struct{}
}

// Acquire claims a slot. If the batch and the queue are full, Acquire returns
// false.
func (s *slots) Acquire(priority int) (*slotClaim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &slotClaim{priority: priority, granted: make(chan struct{})}
	if s.limit == 0 || s.running < s.limit {
		s.running++
		close(c.granted)
		return c, true
	}
	if len(s.queue) >= s.queueLimit {
		return nil, false
	}
	position := slices.IndexFunc(s.queue, func(other *slotClaim) bool { return other.priority > priority })
	if position < 0 {
		position = len(s.queue)
	}
	s.queue = slices.Insert(s.queue, position, c)
	return c, true
}

// Release frees the slot, or removes the claim from the queue.
func (s *slots) Release(c *slotClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, c); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return
	}
	if len(s.queue) == 0 {
		s.running--
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	close(next.granted)
}

// Counts returns the number of running and of waiting requests.
func (s *slots) Counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
