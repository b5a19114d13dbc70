package standin

import (
	"slices"
	"sync"
)

// slots are the places in an engine's running batch, with a queue before them.
// It is safe for concurrent use.
type slots struct {
	// limit is the number of places, 0 for no limit, and queueLimit the most that
	// wait for one.
	limit      int
	queueLimit int

	mu      sync.Mutex
	running int
	// queue is sorted by priority, then by arrival.
	queue []*claim
}

// claim is one request's claim of a place.
type claim struct {
	// priority is 0 for the highest.
	priority int
	// granted is closed once the place is taken.
	granted chan struct{}
}

// Claim claims a place. If the batch and the queue are full, Claim returns false.
func (s *slots) Claim(priority int) (*claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &claim{priority: priority, granted: make(chan struct{})}
	if s.limit == 0 || s.running < s.limit {
		s.running++
		close(c.granted)
		return c, true
	}
	if len(s.queue) >= s.queueLimit {
		return nil, false
	}
	behind := slices.IndexFunc(s.queue, func(other *claim) bool { return other.priority > priority })
	if behind < 0 {
		behind = len(s.queue)
	}
	s.queue = slices.Insert(s.queue, behind, c)
	return c, true
}

// Release gives back a place, or takes the claim out of the queue.
func (s *slots) Release(c *claim) {
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

// Counts returns how many run and how many wait.
func (s *slots) Counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}
