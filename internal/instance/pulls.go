package instance

import (
	"context"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/roster"
)

// pullsPerIntroduction is the interval, in pulls from the same instance, at which a
// pull includes this instance's own record. The record is repeated because the other
// instance may have removed it.
const pullsPerIntroduction = 40

// rosterPeer is another instance that this one pulls roster changes from.
type rosterPeer struct {
	address      string
	rosterSource roster.PullState
	// directOnly limits pulls to members that announce themselves to the peer, without
	// those that the peer knows from other instances.
	directOnly bool
	// pulling is true while a pull is in progress.
	pulling bool
	// lastPullFailed is true if the last pull returned an error.
	lastPullFailed bool
	pullCount      int
}

// runPulls pulls roster changes from other instances until ctx ends.
func (i *Instance) runPulls(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		for _, peer := range i.startPulls(i.options.Now()) {
			i.goroutines.Go(func() { i.pullFrom(ctx, peer) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// startPulls returns the peers to pull from now, and marks each as pulling.
func (i *Instance) startPulls(now time.Time) []*rosterPeer {
	i.mu.Lock()
	defer i.mu.Unlock()
	candidates, unreachable, addresses := i.pullCandidatesLocked(now)
	self := roster.Location{
		Name:          i.options.Settings.Name,
		FailureDomain: i.options.Settings.FailureDomain,
		Voter:         i.options.Settings.Voter,
	}
	sources := roster.SelectSources(self, candidates)
	fullPulls := slices.Concat(sources.All, i.throughFirstReachable(sources.Alternatives), unreachable)
	started := i.markPullingLocked(fullPulls, addresses, false)
	return append(started, i.markPullingLocked(sources.Direct, addresses, true)...)
}

// markPullingLocked marks the named peers as pulling and returns them, without
// those that already were.
func (i *Instance) markPullingLocked(names []string, addresses map[string]string, directOnly bool) []*rosterPeer {
	var started []*rosterPeer
	for _, name := range names {
		peer := i.peers[name]
		if peer == nil || peer.address != addresses[name] {
			peer = &rosterPeer{address: addresses[name]}
			i.peers[name] = peer
		}
		if !peer.pulling {
			peer.pulling = true
			peer.directOnly = directOnly
			peer.pullCount++
			started = append(started, peer)
		}
	}
	return started
}

// throughFirstReachable returns names up to and including the first peer whose
// last pull succeeded or that was never pulled from. The unreachable peers before
// it are included to detect when they are reachable again.
func (i *Instance) throughFirstReachable(names []string) []string {
	for n, name := range names {
		if peer := i.peers[name]; peer == nil || !peer.lastPullFailed {
			return names[:n+1]
		}
	}
	return names
}

// pullCandidatesLocked returns the other instances that are alive, and those from
// the settings that are neither alive nor known to be unreachable. Unreachable
// instances from the settings are returned separately: they are pulled from to detect
// when they are back, but this instance must not depend on them, since its own updates
// would not propagate through them.
func (i *Instance) pullCandidatesLocked(now time.Time) (candidates []roster.Location, unreachable []string, addresses map[string]string) {
	addresses = map[string]string{}
	for _, alive := range i.roster.Instances(now) {
		if alive.Name == i.options.Settings.Name {
			continue
		}
		addresses[alive.Name] = alive.InnerAddress
		candidates = append(candidates, roster.Location{Name: alive.Name, FailureDomain: alive.FailureDomain, Voter: alive.Voter})
	}
	for _, configured := range i.options.Settings.Instances {
		if addresses[configured.Name] != "" {
			continue
		}
		addresses[configured.Name] = configured.InnerAddress.String()
		if peer := i.peers[configured.Name]; peer != nil && peer.lastPullFailed {
			unreachable = append(unreachable, configured.Name)
			continue
		}
		candidates = append(candidates, roster.Location{Name: configured.Name, FailureDomain: configured.FailureDomain, Voter: configured.Voter})
	}
	return candidates, unreachable, addresses
}

func (i *Instance) pullFrom(ctx context.Context, peer *rosterPeer) {
	i.mu.Lock()
	cursor := peer.rosterSource.Cursor(peer.directOnly)
	var introduction *roster.InstanceRecord
	if cursor.Incarnation == 0 || peer.pullCount%pullsPerIntroduction == 0 {
		introduction = i.roster.SelfRecord(i.options.Now())
	}
	i.mu.Unlock()
	requestedAt := i.options.Now()
	changes, err := i.pools.rosters.PullRoster(ctx, peer.address, cursor, introduction)
	if err != nil {
		i.options.Log.Debug().Err(err).Str("peer", peer.address).Msg("roster pull failed")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	peer.pulling = false
	peer.lastPullFailed = err != nil
	if err == nil {
		i.roster.Merge(requestedAt, &peer.rosterSource, changes)
		i.forwardUpstreamChangesLocked()
	}
}

// servePull handles a pull of another instance. That instance may be unknown here:
// it sends its own record, so that this instance pulls from it as well.
func (i *Instance) servePull(cursor roster.Cursor, from *roster.InstanceRecord) roster.Changes {
	now := i.options.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if from != nil {
		i.roster.Discover(now, *from)
	}
	return i.roster.Since(now, cursor)
}
