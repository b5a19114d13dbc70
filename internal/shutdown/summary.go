package shutdown

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// Why a stopping instance does not serve a request, for Refused of a Summary.
const (
	ReasonTooLong = "expected-to-take-too-long"
	ReasonWaited  = "no-upstream-in-time"
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
	// Refused counts the requests that were not run, by the reason: on arrival, and after they were taken.
	Refused map[string]int
	// Left counts the requests whose callers left before the head of an answer.
	Left int
	// EndedEarly counts the answers that ended after their head, by the cause.
	EndedEarly map[outcome.EarlyEnd]int
	// LastTaken is when the last of Taken had been read, and FirstCut when the instance ended the first answer, both
	// from the beginning of the shutdown on. 0 means that there was none.
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
	line.Int("open", s.Open).Int("taken", s.Taken).Int("whole", s.Whole).Int("unfinished", s.Unfinished).Int("left", s.Left).
		Dict("refused", refused).Dict("ended-early", early).Dur("last-taken", s.LastTaken).Dur("first-cut", s.FirstCut)
}

// clone returns a copy that shares nothing with s.
func (s Summary) clone() Summary {
	s.Refused, s.EndedEarly = maps.Clone(s.Refused), maps.Clone(s.EndedEarly)
	return s
}
