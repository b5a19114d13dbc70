package backoffice

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// peer is another control instance.
type peer struct {
	address string
	// seed is set if the settings list the instance. A seed is also pulled from while it
	// is unreachable, to notice its return.
	seed   bool
	source roster.PullState
	// pulling is set during a pull. pulledAt is when the last one that succeeded was sent.
	pulling  bool
	pulledAt time.Time
	// unreachable is set while pulls fail.
	unreachable bool
}

// runPulls pulls the roster changes of the other control instances until ctx
// ends.
func (i *Instance) runPulls(ctx context.Context) {
	ticker := time.NewTicker(rosterPullInterval)
	defer ticker.Stop()
	for {
		for _, p := range i.beginPulls(i.options.Now()) {
			i.done.Go(func() { i.pullFrom(ctx, p) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beginPulls renews this instance's record and returns the peers to pull from, with
// pulling set.
func (i *Instance) beginPulls(now time.Time) []*peer {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster.Heartbeat(now, roster.InstanceBeat{})
	i.roster.EvictExpired(now)
	i.adoptDepartures(now)
	alive := map[string]bool{}
	i.aliveControls = alive
	for _, instance := range i.roster.Instances(now) {
		if instance.Identity == "" || instance.Name == i.options.Address {
			continue
		}
		alive[instance.Name] = true
		if i.peers[instance.Name] == nil {
			i.peers[instance.Name] = &peer{address: instance.InnerAddress}
		}
	}
	var started []*peer
	for name, p := range i.peers {
		if !p.seed && !alive[name] {
			delete(i.peers, name)
			continue
		}
		if !p.pulling {
			p.pulling = true
			started = append(started, p)
		}
	}
	i.chooseWholePull(now, started)
	return started
}

// wholePullTime is how long the same peer is pulled from for all members. Each change of the peer
// transfers all of them again.
const wholePullTime = 2 * time.Second

// chooseWholePull sets which of the peers is pulled from for all members that it knows, and not only
// those that report to it. While a peer is unreachable from here, one of the others has to tell of the
// members that report to that one. i.mu is held.
func (i *Instance) chooseWholePull(now time.Time, started []*peer) {
	needed := false
	for _, p := range i.peers {
		needed = needed || p.unreachable && i.mayHaveMembers(now, p)
	}
	current := i.wholePullFrom
	if needed && current != nil && !current.unreachable && now.Sub(i.wholePullSince) < wholePullTime {
		return
	}
	i.wholePullFrom, i.wholePullSince = nil, now
	if !needed {
		return
	}
	for _, p := range started {
		if !p.unreachable {
			i.wholePullFrom = p
		}
	}
}

// lostPeerTime is how long after the last pull members may still report to a peer that no other one
// knows to be alive.
const lostPeerTime = 4 * time.Second

// mayHaveMembers reports whether members may report to a peer. i.mu is held.
func (i *Instance) mayHaveMembers(now time.Time, p *peer) bool {
	if i.aliveControls[p.address] {
		return true
	}
	return now.Sub(p.pulledAt) < lostPeerTime || now.Sub(i.startedAt) < lostPeerTime
}

func (i *Instance) pullFrom(ctx context.Context, p *peer) {
	i.mu.Lock()
	whole := p == i.wholePullFrom
	cursor := p.source.Cursor(!whole)
	introduction := i.roster.SelfRecord(i.options.Now())
	i.mu.Unlock()
	sentAt := i.options.Now()
	changes, err := i.callPool.PullRoster(ctx, p.address, cursor, introduction)
	i.mu.Lock()
	defer i.mu.Unlock()
	p.pulling = false
	if failed := err != nil; failed != p.unreachable && ctx.Err() == nil {
		p.unreachable = failed
		i.options.Log.Info().Err(err).Str("peer", p.address).Bool("lost", failed).Msg("reachability of a control instance changed")
	}
	if err == nil {
		i.roster.Merge(sentAt, &p.source, changes)
		p.pulledAt = sentAt
		if whole {
			i.wholePulledAt = sentAt
		}
	}
}

// isRosterIncomplete reports whether this instance may lack members that others know: it has run for
// less than a lease, or has not pulled in time from a majority of the voters, or neither from each
// voter to which members may report nor all members from one. i.mu is held.
func (i *Instance) isRosterIncomplete(now time.Time, voters []jury.Identity) bool {
	if now.Sub(i.startedAt) < i.options.UpstreamLease {
		return true
	}
	// Members expire a lease after their last contact, which was before the pull.
	inTime := i.options.UpstreamLease / 2
	pulled, missing := 0, 0
	for _, voter := range voters {
		p := i.peers[voter.Instance()]
		switch {
		case voter.Instance() == i.options.Address || p != nil && now.Sub(p.pulledAt) < inTime:
			pulled++
		case p != nil && i.mayHaveMembers(now, p):
			missing++
		}
	}
	return 2*pulled <= len(voters) || missing > 0 && now.Sub(i.wholePulledAt) >= inTime
}

// handlePull answers the pull of another control instance, which includes the
// caller's own record.
func (i *Instance) handlePull(cursor roster.Cursor, from *roster.InstanceRecord) roster.Changes {
	now := i.options.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if from != nil {
		i.roster.Discover(now, *from)
	}
	return i.roster.Since(now, cursor)
}
