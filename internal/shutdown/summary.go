package shutdown

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// Summary is what became of the requests of an instance since its planned shutdown began.
type Summary struct {
	// Open is how many were in progress then, and Taken how many of those that arrived later were not refused
	// on arrival.
	Open, Taken int
	// Whole counts the answers that were passed on in full.
	Whole int
	// Unfinished counts the requests that an upstream may have run and that were answered without its answer.
	Unfinished int
	// Refused counts the requests that were not run, by the reason.
	Refused map[string]int
	// EndedEarly counts the answers that ended after their head, by the cause.
	EndedEarly map[outcome.EarlyEnd]int
	// LastTaken is when the last of Taken arrived, and FirstCut when the instance ended the first answer, both
	// from the beginning of the shutdown on.
	LastTaken, FirstCut time.Duration
}

// MarshalZerologObject adds the summary to a log line.
func (s Summary) MarshalZerologObject(line *zerolog.Event) {
	refused := zerolog.Dict()
	for reason, count := range s.Refused {
		refused.Int(reason, count)
	}
	early := zerolog.Dict()
	for cause, count := range s.EndedEarly {
		early.Int(cause.String(), count)
	}
	line.Int("open", s.Open).Int("taken", s.Taken).Int("whole", s.Whole).Int("unfinished", s.Unfinished).
		Dict("refused", refused).Dict("ended-early", early).Dur("last-taken", s.LastTaken).Dur("first-cut", s.FirstCut)
}

// clone returns a copy that shares nothing with s.
func (s Summary) clone() Summary {
	s.Refused, s.EndedEarly = maps.Clone(s.Refused), maps.Clone(s.EndedEarly)
	return s
}

// Summary returns what became of the requests so far. It is zero before the shutdown.
func (p *Plan[K]) Summary() Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.summary.clone()
}

// CountTaken counts a request that arrived now and was not refused.
func (p *Plan[K]) CountTaken(now time.Time) {
	p.count(func(s *Summary) {
		s.Taken++
		s.LastTaken = now.Sub(p.begunAt)
	})
}

// CountWhole counts an answer that was passed on in full.
func (p *Plan[K]) CountWhole() {
	p.count(func(s *Summary) { s.Whole++ })
}

// CountUnfinished counts a request that may have run and was answered without its upstream's answer.
func (p *Plan[K]) CountUnfinished() {
	p.count(func(s *Summary) { s.Unfinished++ })
}

// CountRefused counts a request that was refused without having run.
func (p *Plan[K]) CountRefused(reason string) {
	p.count(func(s *Summary) { s.Refused[reason]++ })
}

// CountEarlyEnd counts an answer that ended after its head and before it was whole.
func (p *Plan[K]) CountEarlyEnd(now time.Time, cause outcome.EarlyEnd) {
	p.count(func(s *Summary) {
		s.EndedEarly[cause]++
		isCut := cause == outcome.InstanceStopped || cause == outcome.CutBetweenEvents
		if isCut && s.FirstCut == 0 {
			s.FirstCut = now.Sub(p.begunAt)
		}
	})
}

// count changes the summary if the shutdown has begun.
func (p *Plan[K]) count(change func(*Summary)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.begunAt.IsZero() {
		change(&p.summary)
	}
}
