package counter

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// survey is a permit.Survey for the log: who reads of a refusal must see which limit
// refused.
type survey permit.Survey

// survey looks at the upstreams of a wish.
func (f *fleet) survey(now time.Time, w wish) survey {
	var s survey
	for _, u := range f.holders(w.service, w.model) {
		if !f.alive(now, u) || !u.holds(w.model, w.adapter) {
			continue
		}
		s.Holders++
		if !u.reportedAt.IsZero() {
			s.ReportAge = max(s.ReportAge, now.Sub(u.reportedAt))
		}
		switch {
		case slices.Contains(w.tried, u.name) && now.Before(u.avoidUntil):
			s.Avoided++
		case u.full(now):
			s.Full++
		case now.Before(u.unread.low(w.pace)):
			s.Paced++
		default:
			s.Yielding++
		}
	}
	return s
}

// MarshalZerologObject writes the fields of a log line.
func (s survey) MarshalZerologObject(event *zerolog.Event) {
	event.Int("holders", s.Holders).Int("no-slot", s.Full).Int("paced", s.Paced).Int("not-its-turn", s.Yielding).
		Int("avoided", s.Avoided).Dur("report-age", s.ReportAge)
}
