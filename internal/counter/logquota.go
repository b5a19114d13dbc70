package counter

import (
	"time"

	"github.com/rs/zerolog"
)

// maxLinesPerSecond bounds the log lines of one kind. A line takes about 10 us, so that one kind
// takes at most 1/1,000 of a core. Suppressed lines are counted, and the count is logged with the
// first line of the next second.
const maxLinesPerSecond = 100

// logQuota limits the log lines of one kind.
type logQuota struct {
	second     int64
	logged     int
	suppressed int
}

// allow reports whether a line may be logged at now, and how many lines were suppressed since the
// last one.
func (q *logQuota) allow(now time.Time) (suppressed int, ok bool) {
	if second := now.Unix(); second != q.second {
		q.second, q.logged = second, 0
	}
	if q.logged >= maxLinesPerSecond {
		q.suppressed++
		return 0, false
	}
	q.logged++
	suppressed, q.suppressed = q.suppressed, 0
	return suppressed, true
}

// logLine returns a log event of a kind, or nil if its quota is used up. zerolog ignores calls on a
// nil event.
func (p *Proxy) logLine(now time.Time, kind string) *zerolog.Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logLineLocked(now, kind)
}

// logLineLocked is logLine for callers that hold p.mu.
func (p *Proxy) logLineLocked(now time.Time, kind string) *zerolog.Event {
	quota := p.logQuotas[kind]
	if quota == nil {
		quota = &logQuota{}
		p.logQuotas[kind] = quota
	}
	suppressed, ok := quota.allow(now)
	if !ok {
		return nil
	}
	event := p.options.Log.Info()
	if suppressed > 0 {
		event = event.Int("left-out", suppressed)
	}
	return event
}
