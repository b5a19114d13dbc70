package counter

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

const (
	// quotaOwnerService takes the place of the service name in the key that assigns the quotas of
	// workspaces to owners.
	quotaOwnerService = "\x00quota"
	// chargeTTL is how long a charge is valid until the request is sent. Requests that were charged
	// over several seconds and are sent at once would exceed the quota.
	chargeTTL = time.Second
	// quotaWaitShare is the share of a request's objective for which it may wait for its quota.
	quotaWaitShare = 0.25
	// standInTTL is how long an instance counts as standing in for an owner after it was asked.
	standInTTL = time.Second
	// overQuota is the text sent to callers whose workspace has used up its quota.
	overQuota = "the workspace is over its quota"
)

// quotaAccount is the state of one workspace's quota at this instance.
type quotaAccount struct {
	lease quota.Lease
	// bucket holds the units of all instances while this one owns the quota or stands in for its owner,
	// and ownShare those of this instance while it reaches neither. They are nil before the first request.
	bucket   *quota.Bucket
	ownShare *quota.Bucket
	// usedAt is the last use of bucket. lost is true if another instance has owned the quota since, or may have
	// granted units of it while this one stood still.
	usedAt time.Time
	lost   bool
	// requesters are the instances that have asked this one while it stood in for the owner, and when
	// each last did.
	requesters map[netip.AddrPort]time.Time
	// initial are the units with which bucket began at begunAt. They are 0 once they have been taken
	// back.
	initial float64
	begunAt time.Time
	// formerOwnerSince is when another instance began to grant units, the latest such time before
	// begunAt that is known. It is zero if none is.
	formerOwnerSince time.Time
	// servedBy is the instance that has decided on requests of this one since servedSince. It is not
	// valid before the first decision.
	servedBy    netip.AddrPort
	servedSince time.Time
}

// followOwner records that another instance has granted units since a given time.
func (a *quotaAccount) followOwner(since time.Time) {
	a.lost = true
	if since.After(a.formerOwnerSince) && (a.initial == 0 || since.Before(a.begunAt)) {
		a.formerOwnerSince = since
	}
}

// takeInitialBack returns the units with which bucket began if another instance had begun with some in
// the same window, and 0 otherwise or if it has returned them before.
func (a *quotaAccount) takeInitialBack(window time.Duration) float64 {
	if a.initial == 0 || a.formerOwnerSince.IsZero() || a.begunAt.Sub(a.formerOwnerSince) >= window {
		return 0
	}
	surplus := a.initial
	a.initial = 0
	return surplus
}

// recordServer records which instance has decided on a request of this one.
func (a *quotaAccount) recordServer(now time.Time, server netip.AddrPort) {
	if a.servedBy != server {
		a.servedBy, a.servedSince = server, now
	}
}

// formerServerSince returns since when another instance than the given one has decided on the requests
// of this one. It returns false if none has.
func (a *quotaAccount) formerServerSince(server netip.AddrPort) (time.Time, bool) {
	return a.servedSince, a.servedBy.IsValid() && a.servedBy != server
}

// quotaAccounts maps the names of workspaces to their accounts.
type quotaAccounts map[string]*quotaAccount

func (q quotaAccounts) get(name string) *quotaAccount {
	account := q[name]
	if account == nil {
		account = &quotaAccount{}
		q[name] = account
	}
	return account
}

// quotaOwner returns the other instance that owns the quota of a workspace. It returns false if
// this instance does. p.mu is held.
func (p *Proxy) quotaOwner(now time.Time, name string) (netip.AddrPort, bool) {
	if p.peers.conn == nil {
		return netip.AddrPort{}, false
	}
	return p.owners.remoteOwnerOf(now, quotaOwnerService, name)
}

// ownerBucket returns the bucket of all instances, for a request of the given instance, and the limit
// by which it fills. p.mu is held.
//
// The owner fills it by the whole quota. An instance that stands in for an owner fills it by the share
// of the instances that ask it, because the owner may still answer the others. Neither knows what was
// granted while it was not asked, so nothing comes in for that time.
//
// A new bucket begins with units that the former owner may have granted as well. They are taken back if
// the former owner had begun with some in the same window.
func (p *Proxy) ownerBucket(now time.Time, name string, limit quota.Limit, from netip.AddrPort) (*quota.Bucket, quota.Limit) {
	p.noticeStandstill(now)
	account := p.quotas.get(name)
	idle := now.Sub(account.usedAt)
	standsIn := p.standsIn(name)
	interrupted := account.lost || standsIn && idle >= standInTTL
	switch {
	case account.bucket == nil, interrupted && idle >= p.options.QuotaTolerance.Window:
		account.begunAt, account.initial = now, p.options.QuotaTolerance.InitialUnits(limit)
		account.bucket = new(quota.NewBucket(now, account.initial))
	case interrupted:
		paused := account.bucket.Paused(now)
		account.bucket = &paused
	}
	account.lost, account.usedAt = false, now
	if standsIn {
		limit.PerSecond *= float64(account.countRequester(now, from)) / float64(max(p.control.entryInstances, 1))
	}
	*account.bucket = account.bucket.Adjust(now, limit, -account.takeInitialBack(p.options.QuotaTolerance.Window))
	return account.bucket, limit
}

// standsIn reports whether another instance owns the quota of a workspace, though it may not answer.
// p.mu is held.
func (p *Proxy) standsIn(name string) bool {
	_, elsewhere := p.remoteFixedOwner(quotaOwnerService, name)
	return elsewhere
}

// countRequester records a request of an instance and returns the number of instances that have asked
// recently.
func (a *quotaAccount) countRequester(now time.Time, from netip.AddrPort) int {
	if a.requesters == nil {
		a.requesters = map[netip.AddrPort]time.Time{}
	}
	a.requesters[from] = now
	maps.DeleteFunc(a.requesters, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= standInTTL })
	return len(a.requesters)
}

// takeAsOwner takes units from the bucket of all instances for a request of the given one. p.mu is
// held.
func (p *Proxy) takeAsOwner(now time.Time, name string, limit quota.Limit, need, ahead float64, from netip.AddrPort) quota.Decision {
	bucket, filling := p.ownerBucket(now, name, limit, from)
	var decision quota.Decision
	*bucket, decision = bucket.Take(now, filling, need, ahead)
	return decision
}

// takeOwnShare takes units from this instance's share of a quota.
func (p *Proxy) takeOwnShare(now time.Time, w *workspace.Workspace, need float64) quota.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := w.Quota.Share(p.control.entryInstances)
	account := p.quotas.get(w.Name)
	if account.ownShare == nil {
		bucket := quota.NewBucket(now, p.options.QuotaTolerance.Share(p.control.entryInstances).InitialUnits(share))
		account.ownShare = &bucket
	}
	var decision quota.Decision
	*account.ownShare, decision = account.ownShare.Take(now, share, need, 0)
	return decision
}

// takeQuota takes units for one request of a workspace: from the lease of this instance, from the
// owner of the quota or, if none answers, from this instance's share.
func (p *Proxy) takeQuota(ctx context.Context, w *workspace.Workspace, need float64) quota.Decision {
	for range maxOwnersAsked {
		now := p.options.Now()
		p.mu.Lock()
		decision, owner, ahead := p.takeQuotaHere(now, w, need)
		if decision != nil {
			p.mu.Unlock()
			return decision
		}
		p.announceFormerServer(now, w.Name, owner)
		id, pending := p.expectReply(owner)
		p.mu.Unlock()
		answer := p.exchange(ctx, owner, permit.QuotaRequest{
			ID: id, Workspace: w.Name, PerSecond: w.Quota.PerSecond, Burst: w.Quota.Burst, Need: need, Ahead: ahead,
		}, pending)
		p.dropReplies(id)
		switch m := answer.(type) {
		case permit.QuotaGranted:
			p.recordQuotaDecision(w.Name, owner, m.Units-need)
			return quota.Granted{Units: need, Scarce: m.Scarce}
		case permit.QuotaDenied:
			p.recordQuotaDecision(w.Name, owner, 0)
			return quota.Denied{Wait: m.Wait}
		case permit.ShuttingDown:
			p.avoidOwner(owner, drainingAvoidance)
			continue
		}
		if ctx.Err() != nil {
			return quota.Denied{}
		}
		p.avoidOwner(owner, unresponsiveAvoidance)
		p.logLine(p.options.Now(), "quota owner unresponsive").Stringer("owner", owner).Str("workspace", w.Name).
			Msg("quota owner does not answer; asking another instance")
	}
	return p.takeOwnShare(p.options.Now(), w, need)
}

// takeQuotaHere decides by the lease of this instance, or as the owner. If neither is possible, the
// decision is nil, and it returns the owner and the units to ask for ahead. p.mu is held.
func (p *Proxy) takeQuotaHere(now time.Time, w *workspace.Workspace, need float64) (quota.Decision, netip.AddrPort, float64) {
	owner, elsewhere := p.quotaOwner(now, w.Name)
	account := p.quotas.get(w.Name)
	if !elsewhere {
		if since, served := account.formerServerSince(p.owners.self); served {
			account.followOwner(since)
		}
		account.recordServer(now, p.owners.self)
		return p.takeAsOwner(now, w.Name, w.Quota, need, 0, p.owners.self), owner, 0
	}
	account.lease = account.lease.WithUse(now, need)
	var spent bool
	if account.lease, spent = account.lease.Spend(now, need); spent {
		return quota.Granted{Units: need}, owner, 0
	}
	var unspent float64
	if account.lease, unspent = account.lease.Expired(now); unspent >= 1 {
		p.peers.send(owner, permit.QuotaReturn{Workspace: w.Name, Units: unspent})
	}
	return nil, owner, account.lease.Ahead(now, need)
}

// announceFormerServer tells an instance that is about to be asked which other one has granted units of
// a quota recently. p.mu is held.
func (p *Proxy) announceFormerServer(now time.Time, name string, owner netip.AddrPort) {
	since, served := p.quotas.get(name).formerServerSince(owner)
	if age := now.Sub(since); served && age < p.options.QuotaTolerance.Window {
		p.peers.send(owner, permit.QuotaContinued{Workspace: name, Age: age})
	}
}

// recordQuotaDecision records that an owner has decided on a request, and the units that it granted
// ahead.
func (p *Proxy) recordQuotaDecision(name string, owner netip.AddrPort, ahead float64) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	account := p.quotas.get(name)
	account.recordServer(now, owner)
	if ahead > 0 {
		account.lease = account.lease.WithGrant(now, ahead)
	}
}

// adjustQuota returns units to the owner of a quota, or debits them if units is negative.
func (p *Proxy) adjustQuota(w *workspace.Workspace, units float64) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var message permit.Message = permit.QuotaReturn{Workspace: w.Name, Units: units}
	if units < 0 {
		message = permit.QuotaDebit{Workspace: w.Name, Units: -units}
	}
	if owner, elsewhere := p.quotaOwner(now, w.Name); elsewhere {
		p.peers.send(owner, message)
		return
	}
	p.applyQuotaAdjustment(now, w, units, p.owners.self)
}

// applyQuotaAdjustment returns units of an instance to the bucket of all, or debits them if units is
// negative. p.mu is held.
func (p *Proxy) applyQuotaAdjustment(now time.Time, w *workspace.Workspace, units float64, from netip.AddrPort) {
	bucket, filling := p.ownerBucket(now, w.Name, w.Quota, from)
	*bucket = bucket.Adjust(now, filling, units)
}

// handleQuotaRequest decides a peer's quota request, or repeats the earlier decision. p.mu is held.
func (p *Proxy) handleQuotaRequest(now time.Time, from netip.AddrPort, m permit.QuotaRequest) {
	if p.draining {
		p.peers.send(from, permit.ShuttingDown{ID: m.ID})
		return
	}
	p.answerOnce(now, peerRequest{from, m.ID}, func() permit.Message {
		limit := quota.Limit{PerSecond: m.PerSecond, Burst: m.Burst}
		if known := p.workspaceNamed(m.Workspace); known != nil && known.Quota.Limited() {
			limit = known.Quota
		}
		switch decision := p.takeAsOwner(now, m.Workspace, limit, m.Need, m.Ahead, from).(type) {
		case quota.Granted:
			return permit.QuotaGranted{ID: m.ID, Units: decision.Units, Scarce: decision.Scarce}
		case quota.Denied:
			return permit.QuotaDenied{ID: m.ID, Wait: decision.Wait}
		default:
			return nil
		}
	})
}

// handleQuotaAdjustment returns or debits units that a peer reports. p.mu is held.
func (p *Proxy) handleQuotaAdjustment(now time.Time, from netip.AddrPort, name string, units float64) {
	if w := p.workspaceNamed(name); w != nil && w.Quota.Limited() {
		p.applyQuotaAdjustment(now, w, units, from)
	}
}

// workspaceNamed returns a workspace of the routes in force, or nil.
func (p *Proxy) workspaceNamed(name string) *workspace.Workspace {
	table := p.routes.Load()
	if table == nil {
		return nil
	}
	return table.Workspaces.Named(name)
}

// loseForeignQuotas marks the buckets of quotas that other instances own. A bucket that fills while
// another instance grants would double the quota if the ownership came back. p.mu is held.
func (p *Proxy) loseForeignQuotas() {
	for name, account := range p.quotas {
		account.lost = account.lost || p.standsIn(name)
	}
}

// chargeQuota charges the request to the quota of its workspace, and waits for up to maxWait if the
// quota is used up. If it can't charge the request, it answers the caller and returns false.
func (t *transaction) chargeQuota(ctx context.Context, w http.ResponseWriter, maxWait time.Duration) bool {
	if t.workspace == nil || !t.workspace.Quota.Limited() {
		return true
	}
	p := t.proxy
	t.quotaCost = t.workspace.Quota.Cost(t.call.Size)
	giveUp := p.options.Now().Add(maxWait)
	for {
		decision := p.takeQuota(ctx, t.workspace, t.quotaCost)
		granted, ok := decision.(quota.Granted)
		p.countQuotaDecision(t.workspace.Name, ok)
		if ok {
			t.chargedAt = p.options.Now()
			t.yields = granted.Scarce
			return true
		}
		denied, _ := decision.(quota.Denied)
		if p.options.Now().Add(denied.Wait).After(giveUp) || !pause.For(ctx, denied.Wait) {
			t.refuseOverQuota(w, denied.Wait)
			return false
		}
	}
}

// renewCharge charges a request again that has waited for long since it was charged. It returns
// false if it has answered the caller instead.
func (t *transaction) renewCharge(ctx context.Context, w http.ResponseWriter) bool {
	p := t.proxy
	switch {
	case t.chargedAt.IsZero():
		return true
	case t.possibleRuns > 0:
		p.adjustQuota(t.workspace, -t.quotaCost)
		return true
	case p.options.Now().Sub(t.chargedAt) < chargeTTL:
		return true
	}
	t.returnCharge()
	// The engine holds a place for the request, which must not stay empty.
	return t.chargeQuota(ctx, w, 0)
}

// returnCharge returns the charge of a request that no upstream has run.
func (t *transaction) returnCharge() {
	if t.chargedAt.IsZero() || t.possibleRuns > 0 {
		return
	}
	t.chargedAt = time.Time{}
	t.proxy.adjustQuota(t.workspace, t.quotaCost)
}

func (t *transaction) refuseOverQuota(w http.ResponseWriter, wait time.Duration) {
	p := t.proxy
	t.abortIfCallerLeft("the caller left while the request waited for its quota")
	p.refuse(w, t.call, t.route, refusal{
		status: http.StatusTooManyRequests, text: overQuota, retryAfter: max(wait, minRetryAfter),
		workspace: t.workspace, quotaCost: t.quotaCost, waited: p.options.Now().Sub(t.arrived),
	})
}

func (p *Proxy) countQuotaDecision(name string, granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.metrics.countQuotaDecision(name, granted)
}
