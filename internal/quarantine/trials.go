package quarantine

import (
	"maps"
	"time"
)

// Trials decides which requests are sent as trials. One instance decides on all trials of a TrialID.
// It is not safe for concurrent use. The zero value allows one trial of each.
type Trials struct {
	allowedAt map[TrialID]time.Time
}

const (
	// TrialInterval is the time in which the result of a trial becomes known to all instances.
	TrialInterval = 5 * time.Second
	// maxTrials bounds the trials that are remembered. The news names fewer.
	maxTrials = 2 * maxAnnounced
)

// Take reports whether a trial may be sent now, if this instance has decided on such trials since a given
// time. If it returns true, the next one may be sent after the result is known. It returns false while
// the result of one that another instance, or the process before, allowed may be unknown.
func (t *Trials) Take(now, since time.Time, trial TrialID) bool {
	if now.Sub(since) < TrialInterval {
		return false
	}
	maps.DeleteFunc(t.allowedAt, func(_ TrialID, at time.Time) bool { return now.Sub(at) >= TrialInterval })
	if _, recent := t.allowedAt[trial]; recent || len(t.allowedAt) >= maxTrials {
		return false
	}
	if t.allowedAt == nil {
		t.allowedAt = map[TrialID]time.Time{}
	}
	t.allowedAt[trial] = now
	return true
}
