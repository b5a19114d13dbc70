package counter

import (
	"time"

	"github.com/rs/zerolog"
)

// linesPerSecond is how many lines of one kind are logged within a second. A line
// takes some 10 us, so that a kind takes 1 part in 1,000 of a core at most; what
// is left out is counted and told with the next second's first line.
const linesPerSecond = 100

// quota bounds the log lines of one kind.
type quota struct {
	second  int64
	lines   int
	leftOut int
}

// allow reports whether a line may be logged at now, and how many were left out
// since the last that was.
func (q *quota) allow(now time.Time) (leftOut int, ok bool) {
	if second := now.Unix(); second != q.second {
		q.second, q.lines = second, 0
	}
	if q.lines >= linesPerSecond {
		q.leftOut++
		return 0, false
	}
	q.lines++
	leftOut, q.leftOut = q.leftOut, 0
	return leftOut, true
}

// logLine returns a log line of a kind, or nil if there are too many of it. zerolog
// takes nil for a line that is not logged.
func (c *Counter) logLine(now time.Time, kind string) *zerolog.Event {
	c.mu.Lock()
	kept := c.quotas[kind]
	if kept == nil {
		kept = &quota{}
		c.quotas[kind] = kept
	}
	leftOut, ok := kept.allow(now)
	c.mu.Unlock()
	if !ok {
		return nil
	}
	event := c.options.Log.Info()
	if leftOut > 0 {
		event = event.Int("left-out", leftOut)
	}
	return event
}
