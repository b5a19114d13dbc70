package shuttle

import "sync"

// lentDivisor is the divisor of the bytes of a SharedBudget that no holder may take beyond its share.
const lentDivisor = 4

// SharedBudget is a ByteBudget that is divided between holders. A holder may take more than its share, an
// equal part for each holder and for one more, only as long as a quarter of all bytes stays free: so one
// that has nothing yet finds room beside others that take all they can. While nobody has anything, the first
// may take all at once: a body that needs so much would otherwise find room never. It is safe for concurrent
// use.
type SharedBudget struct {
	whole *ByteBudget

	mu sync.Mutex
	// taken holds the bytes of each holder that has any.
	taken map[string]int64
}

// NewSharedBudget returns whole, divided between holders. If whole is nil, there is no bound.
func NewSharedBudget(whole *ByteBudget) *SharedBudget {
	return &SharedBudget{whole: whole, taken: map[string]int64{}}
}

// Taken returns the number of bytes that all holders have taken.
func (s *SharedBudget) Taken() int64 {
	return s.whole.Taken()
}

// Of returns the budget of a holder. The empty name stands for callers that are not told apart, which may
// take all.
func (s *SharedBudget) Of(holder string) Budget {
	if s.whole == nil || holder == "" {
		return s.whole
	}
	return holderBudget{s, holder}
}

// holderBudget is the budget of one holder of a SharedBudget.
type holderBudget struct {
	shared *SharedBudget
	holder string
}

func (b holderBudget) take(bytes int64) bool {
	s := b.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := int64(len(s.taken))
	if s.taken[b.holder] == 0 {
		holders++
	}
	own, left := s.taken[b.holder]+bytes, int64(0)
	if own > s.whole.limit/(holders+1) && len(s.taken) > 0 {
		left = s.whole.limit / lentDivisor
	}
	if !s.whole.takeLeaving(bytes, left) {
		return false
	}
	s.taken[b.holder] = own
	return true
}

func (b holderBudget) giveBack(bytes int64) {
	s := b.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole.giveBack(bytes)
	if s.taken[b.holder] -= bytes; s.taken[b.holder] == 0 {
		delete(s.taken, b.holder)
	}
}
