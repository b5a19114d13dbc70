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
	trial      quarantine.Trial
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

// Completed records that the response to the last attempt was complete. If that was a trial, it ends
// with the request.
func (a *Admission) Completed() {
	a.NotRun()
}

// End ends the trial that a request on probation holds and will not send. One of which the result is
// unknown, or that may have been allowed to another request, stays, and so do those of parts: their
// number in a time is bounded.
func (a *Admission) End() {
	if !a.holdsTrial || a.trial.Crashes == 0 || a.detector.options.Now().Sub(a.allowedAt) >= quarantine.TrialInterval {
		return
	}
	a.holdsTrial = false
	a.detector.options.EndTrial(a.trial)
}

func (a *Admission) rule(now time.Time) quarantine.Ruling {
	a.detector.mu.Lock()
	defer a.detector.mu.Unlock()
	return a.detector.watch.Rule(now, a.digest, a.parts...)
}
