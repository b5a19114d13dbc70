package coroner

import (
	"context"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Admission decides whether one request may be sent, when it arrives and before each attempt. It is
// not safe for concurrent use.
type Admission struct {
	detector *CrashDetector
	digest   quarantine.Digest
	parts    []quarantine.Digest
	// trial is the trial that the request holds for its next attempt, if holdsTrial is true.
	trial      quarantine.TrialID
	holdsTrial bool
}

// Admit returns the Admission of a request with the given parts of its prompt.
func (d *CrashDetector) Admit(digest quarantine.Digest, parts ...quarantine.Digest) *Admission {
	return &Admission{detector: d, digest: digest, parts: parts}
}

// Reserve decides on a request that has arrived. If it returns false, the request must be refused
// by the ruling. A request that may be sent as a trial holds the trial until it is sent.
func (a *Admission) Reserve(ctx context.Context) (quarantine.Ruling, bool) {
	ruling := a.rule()
	if ruling.Decision != quarantine.DecisionTry {
		return ruling, ruling.Decision == quarantine.DecisionSend
	}
	if trial := ruling.Trial(); !a.holdsTrial || a.trial != trial {
		a.trial = trial
		a.holdsTrial = a.detector.options.AllowTrial(ctx, trial)
	}
	return ruling, a.holdsTrial
}

// Send decides on an attempt that is about to be sent. If it returns false, the request must be
// refused by the ruling.
func (a *Admission) Send(ctx context.Context) (quarantine.Ruling, bool) {
	ruling, allowed := a.Reserve(ctx)
	a.holdsTrial = false
	return ruling, allowed
}

func (a *Admission) rule() quarantine.Ruling {
	now := a.detector.options.Now()
	a.detector.mu.Lock()
	defer a.detector.mu.Unlock()
	return a.detector.watch.Rule(now, a.digest, a.parts...)
}
