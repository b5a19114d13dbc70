package shutdown

import (
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// tally counts what becomes of requests from the beginning of a shutdown on. It is safe for concurrent use.
type tally struct {
	mu sync.Mutex
	// begunAt is when the shutdown began. Nothing is counted while it is zero.
	begunAt time.Time
	summary Summary
}

func (t *tally) begin(at time.Time, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begunAt = at
	t.summary = Summary{Open: open, Refused: map[string]int{}, EndedEarly: map[outcome.EarlyEnd]int{}}
}

// Summary returns what became of the requests so far. It is zero before the shutdown.
func (t *tally) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.summary.clone()
}

// CountTaken counts a request that had been read at the given time and was not refused.
func (t *tally) CountTaken(received time.Time) {
	t.count(func(s *Summary) {
		s.Taken++
		s.LastTaken = max(s.LastTaken, received.Sub(t.begunAt))
	})
}

// CountWhole counts an answer that was passed on in full.
func (t *tally) CountWhole() {
	t.count(func(s *Summary) { s.Whole++ })
}

// CountUnfinished counts a request that may have run and was answered without its upstream's answer.
func (t *tally) CountUnfinished() {
	t.count(func(s *Summary) { s.Unfinished++ })
}

// CountRefused counts a request that was refused without having run.
func (t *tally) CountRefused(reason string) {
	t.count(func(s *Summary) { s.Refused[reason]++ })
}

// CountLeft counts a request whose caller left before the head of an answer.
func (t *tally) CountLeft() {
	t.count(func(s *Summary) { s.Left++ })
}

// CountEarlyEnd counts an answer that ended after its head and before it was whole.
func (t *tally) CountEarlyEnd(now time.Time, cause outcome.EarlyEnd) {
	t.count(func(s *Summary) {
		s.EndedEarly[cause]++
		isCut := cause == outcome.InstanceStopped || cause == outcome.CutBetweenEvents
		if isCut && s.FirstCut == 0 {
			s.FirstCut = now.Sub(t.begunAt)
		}
	})
}

// count changes the summary if the shutdown has begun.
func (t *tally) count(change func(*Summary)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.begunAt.IsZero() {
		change(&t.summary)
	}
}
