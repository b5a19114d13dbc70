package counter

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// survey is a permit.Survey that can be logged. The log shows which limit caused a refusal.
type survey permit.Survey

// survey counts the states of the upstreams that match q except for capacity.
func (p *upstreamPool) survey(now time.Time, q upstreamQuery) survey {
	var s survey
	for u := range p.eligible(now, q) {
		if !u.canRun(q.model, q.adapter) {
			continue
		}
		s.Holders++
		if !u.reportedAt.IsZero() {
			s.ReportAge = max(s.ReportAge, now.Sub(u.reportedAt))
		}
		switch {
		case slices.Contains(q.tried, u.name) && now.Before(u.avoidUntil), u.pushesBack(now, q.sender):
			s.Avoided++
		case u.isFull(now):
			s.Full++
		case now.Before(u.backlog.readySince(q.at(now, u).pacing)):
			s.PrefillBusy++
		default:
			s.Yielding++
		}
	}
	return s
}

func (s survey) MarshalZerologObject(event *zerolog.Event) {
	event.Int("holders", s.Holders).Int("no-slot", s.Full).Int("paced", s.PrefillBusy).Int("not-its-turn", s.Yielding).
		Int("avoided", s.Avoided).Dur("report-age", s.ReportAge)
}
