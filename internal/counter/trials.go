package counter

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// trialOwnerService takes the place of the service name in the key that assigns trials to owners.
const trialOwnerService = "\x00trial"

// allowTrial asks the owner of a trial whether a suspected request may be sent. If the owner does not
// answer, none may, because two owners would allow two.
func (p *Proxy) allowTrial(ctx context.Context, trial quarantine.Trial) bool {
	now := p.options.Now()
	p.mu.Lock()
	owner, remote := p.remoteFixedOwner(trialOwnerService, trialKey(trial.ID))
	if !remote {
		defer p.mu.Unlock()
		return p.takeTrial(now, trial)
	}
	id, pending := p.expectReply(owner)
	p.mu.Unlock()
	defer p.dropReplies(id)
	_, allowed := p.exchange(ctx, owner, permit.TrialRequest{ID: id, Trial: trial}, pending).(permit.SendAllowed)
	return allowed
}

// trialKey returns the name under which a trial has an owner.
func trialKey(trial quarantine.TrialID) string {
	return strconv.FormatUint(uint64(trial), 16)
}

// ownerChangeTime is the time within which all instances know of a change of owners.
const ownerChangeTime = time.Second

// takeTrial decides on a trial as its owner. Without a recent sync another instance may own it, and the
// result of an earlier trial may be unknown here. p.mu is held.
func (p *Proxy) takeTrial(now time.Time, trial quarantine.Trial) bool {
	if synced := p.control.lastSyncSent; !synced.IsZero() && now.Sub(synced) >= quarantine.TrialInterval {
		return false
	}
	since := p.startedAt
	if p.peers.conn != nil {
		if owned := p.owners.ownedSince(now, trialOwnerService, trialKey(trial.ID)); owned.After(since) {
			since = owned
		}
	}
	if trial.Crashes > 0 {
		trial, since = p.withKnownCrashes(trial, since)
	}
	return p.trials.Take(now, since, trial)
}

// withKnownCrashes returns a trial after the crashes that are known here, and the time since which this
// instance has decided on such trials. A crash after the owners have changed is one of which the owner
// before did not decide. p.mu is held.
func (p *Proxy) withKnownCrashes(trial quarantine.Trial, since time.Time) (quarantine.Trial, time.Time) {
	known := p.crashes.KnownCrashes(trial.ID)
	if known.Crashes < trial.Crashes {
		return trial, since
	}
	trial.Crashes = known.Crashes
	if !known.Since.Before(since.Add(ownerChangeTime)) {
		since = time.Time{}
	}
	return trial, since
}

// endTrial tells the owner of a trial that it has ended without a crash.
func (p *Proxy) endTrial(trial quarantine.Trial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if owner, remote := p.remoteFixedOwner(trialOwnerService, trialKey(trial.ID)); remote {
		p.peers.send(owner, permit.TrialEnded{Trial: trial})
		return
	}
	p.trials.End(p.options.Now(), trial)
}

// handleTrialRequest decides on a peer's trial, or repeats the earlier answer. p.mu is held.
func (p *Proxy) handleTrialRequest(now time.Time, from netip.AddrPort, m permit.TrialRequest) {
	p.answerOnce(now, peerRequest{from, m.ID}, func() permit.Message {
		if p.takeTrial(now, m.Trial) {
			return permit.SendAllowed{ID: m.ID}
		}
		return permit.SendDelayed{ID: m.ID, Wait: quarantine.SuspectedRetryAfter}
	})
}
