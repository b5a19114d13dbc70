package counter

import "time"

// stopSchedule is the schedule of a planned shutdown.
type stopSchedule struct {
	// waitsEnd is when requests may no longer wait for an upstream.
	waitsEnd time.Time
	// runsEnd is when requests may no longer run, zero if they may run until they end.
	runsEnd time.Time
}

// latestSend returns the latest time to send a request that is expected to take runTime at most. One whose deadline
// is within the schedule ends in time whatever it takes.
func (s stopSchedule) latestSend(deadline time.Time, runTime time.Duration) time.Time {
	if s.runsEnd.IsZero() || !deadline.After(s.runsEnd) {
		return deadline
	}
	return s.runsEnd.Add(-runTime)
}

// waitEnd returns when such a request may no longer wait for an upstream.
func (s stopSchedule) waitEnd(deadline time.Time, runTime time.Duration) time.Time {
	if latest := s.latestSend(deadline, runTime); latest.Before(s.waitsEnd) {
		return latest
	}
	return s.waitsEnd
}

// streamCutTime is the time before the end of a shutdown from which on streams that may be resumed are cut after
// their next event.
const streamCutTime = 400 * time.Millisecond

// cutsStreams reports whether streams that may be resumed are cut.
func (s stopSchedule) cutsStreams(now time.Time) bool {
	return !s.runsEnd.IsZero() && !now.Before(s.runsEnd.Add(-streamCutTime))
}
