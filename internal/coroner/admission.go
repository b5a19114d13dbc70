package coroner

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Admission decides whether one request may be sent, when it arrives and before each attempt. It is
// not safe for concurrent use.
type Admission struct {
	detector *CrashDetector
	digest   quarantine.Digest
	parts    []quarantine.Digest
	// trial is the trial that the request holds for its next attempt, if holdsTrial is true. It was
	// allowed at allowedAt at the earliest.
	trial      quarantine.TrialID
	holdsTrial bool
	allowedAt  time.Time
	// sentTrial is true if the last attempt was sent as the trial.
	sentTrial bool
}

// Admit returns the Admission of a request with the given parts of its prompt.
func (d *CrashDetector) Admit(digest quarantine.Digest, parts ...quarantine.Digest) *Admission {
	return &Admission{detector: d, digest: digest, parts: parts}
}

// Reserve decides on a request that has arrived. If it returns false, the request must be refused
// by the ruling. A request that may be sent as a trial holds the trial until it is sent.
func (a *Admission) Reserve(ctx context.Context) (quarantine.Ruling, bool) {
	now := a.detector.options.Now()
	ruling := a.rule(now)
	if ruling.Decision != quarantine.DecisionTry {
		return ruling, ruling.Decision == quarantine.DecisionSend
	}
	trial := ruling.Trial()
	if !a.holdsTrial || a.trial != trial || now.Sub(a.allowedAt) >= quarantine.TrialInterval {
		a.trial, a.allowedAt = trial, now
		a.holdsTrial = a.detector.options.AllowTrial(ctx, trial)
	}
	return ruling, a.holdsTrial
}

// Send decides on an attempt that is about to be sent. If it returns false, the request must be
// refused by the ruling.
func (a *Admission) Send(ctx context.Context) (quarantine.Ruling, bool) {
	ruling, allowed := a.Reserve(ctx)
	a.sentTrial = allowed && ruling.Decision == quarantine.DecisionTry
	a.holdsTrial = false
	return ruling, allowed
}

// NotRun records that the upstream did not run the last attempt. If that was a trial, the request
// holds it for the next attempt.
func (a *Admission) NotRun() {
	a.holdsTrial, a.sentTrial = a.sentTrial, false
}

func (a *Admission) rule(now time.Time) quarantine.Ruling {
	a.detector.mu.Lock()
	defer a.detector.mu.Unlock()
	ruling := a.detector.watch.Rule(now, a.digest, a.parts...)
	if ruling.Probation && !a.detector.options.Probation {
		return quarantine.Ruling{}
	}
	return ruling
}
