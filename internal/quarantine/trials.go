package quarantine

import (
	"maps"
	"time"
)

// Trial is a request that is sent to show whether upstreams crash on it.
type Trial struct {
	ID TrialID
	// Crashes is the number of crashes that are known of a request on probation, and 0 if the trial
	// is about parts of prompts.
	Crashes int
}

// Trials decides which requests are sent as trials. One instance decides on all trials of a TrialID.
// It is not safe for concurrent use. The zero value allows one trial of each.
type Trials struct {
	latest map[TrialID]latestTrial
}

// latestTrial is the trial that was allowed last. Its result is known if it has ended or if a trial
// after more crashes is asked for.
type latestTrial struct {
	at      time.Time
	crashes int
	ended   bool
}

const (
	// TrialInterval is the time after which another trial may be sent although nothing is known of
	// the one before.
	TrialInterval = 5 * time.Second
	// maxTrials bounds the trials that are remembered. The news names fewer.
	maxTrials = 3 * maxAnnounced
)

// Take reports whether a trial may be sent now, if this instance has decided on such trials since a given
// time. If it returns true, the next one may be sent after the result is known. It returns false while
// the result of one that another instance, or the process before, allowed may be unknown.
func (t *Trials) Take(now, since time.Time, trial Trial) bool {
	t.removeExpired(now)
	latest, found := t.latest[trial.ID]
	if found && !latest.isKnownBefore(trial) {
		return false
	}
	isOwn := found && !latest.at.Before(since)
	if !isOwn && now.Sub(since) < TrialInterval {
		return false
	}
	return t.put(trial.ID, latestTrial{at: now, crashes: trial.Crashes})
}

// End records that a trial has ended without a crash.
func (t *Trials) End(now time.Time, trial Trial) {
	t.removeExpired(now)
	if latest, found := t.latest[trial.ID]; found && latest.crashes > trial.Crashes {
		return
	}
	t.put(trial.ID, latestTrial{at: now, crashes: trial.Crashes, ended: true})
}

// isKnownBefore reports whether the result is known where another trial is asked for. An instance that
// knows of fewer crashes lags.
func (l latestTrial) isKnownBefore(next Trial) bool {
	return next.Crashes > l.crashes || next.Crashes == l.crashes && l.ended
}

func (t *Trials) removeExpired(now time.Time) {
	maps.DeleteFunc(t.latest, func(_ TrialID, l latestTrial) bool { return now.Sub(l.at) >= TrialInterval })
}

// put reports whether there was room.
func (t *Trials) put(id TrialID, latest latestTrial) bool {
	if _, found := t.latest[id]; !found && len(t.latest) >= maxTrials {
		return false
	}
	if t.latest == nil {
		t.latest = map[TrialID]latestTrial{}
	}
	t.latest[id] = latest
	return true
}
