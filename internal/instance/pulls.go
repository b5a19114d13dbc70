package instance

import (
	"context"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/roster"
)

// introduceEvery is how many pulls pass between two introductions to the same
// instance, so that one that has forgotten this instance learns of it again.
const introduceEvery = 40

// pulled is another instance that this one pulls from.
type pulled struct {
	address string
	source  roster.Source
	// direct says to ask only for what the other heard itself.
	direct bool
	// busy is true while a pull is under way.
	busy bool
	// failed is true if the last pull got no answer.
	failed bool
	pulls  int
}

// pull keeps asking other instances for what changed in their rosters.
func (i *Instance) pull(ctx context.Context) {
	ticker := time.NewTicker(pullEvery)
	defer ticker.Stop()
	for {
		for _, peer := range i.beginPulls(i.options.Now()) {
			i.done.Go(func() { i.pullFrom(ctx, peer) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beginPulls returns whom to pull from now, each marked as busy.
func (i *Instance) beginPulls(now time.Time) []*pulled {
	i.mu.Lock()
	defer i.mu.Unlock()
	sites, lost, addresses := i.sitesLocked(now)
	self := roster.Site{
		Name:          i.options.Settings.Name,
		FailureDomain: i.options.Settings.FailureDomain,
		Voter:         i.options.Settings.Voter,
	}
	sources := roster.SourcesOf(self, sites)
	wanted := slices.Concat(sources.All, i.firstAnswering(sources.FirstOf), lost)
	begun := i.beginLocked(wanted, addresses, false)
	return append(begun, i.beginLocked(sources.Direct, addresses, true)...)
}

func (i *Instance) beginLocked(names []string, addresses map[string]string, direct bool) []*pulled {
	var begun []*pulled
	for _, name := range names {
		peer := i.peers[name]
		if peer == nil || peer.address != addresses[name] {
			peer = &pulled{address: addresses[name]}
			i.peers[name] = peer
		}
		if !peer.busy {
			peer.busy = true
			peer.direct = direct
			peer.pulls++
			begun = append(begun, peer)
		}
	}
	return begun
}

// firstAnswering returns the names up to the first whose last pull was answered
// or was never tried. The ones before it are tried too, to see when they are
// back.
func (i *Instance) firstAnswering(names []string) []string {
	for n, name := range names {
		if peer := i.peers[name]; peer == nil || !peer.failed {
			return names[:n+1]
		}
	}
	return names
}

// sitesLocked returns the other instances that are alive, or that the settings
// name and that were not tried yet, and the names of those of the settings that
// are lost. These are asked all the same, to see when they are back, but nobody
// must lean on them: what an instance hears would reach no one.
func (i *Instance) sitesLocked(now time.Time) (sites []roster.Site, lost []string, addresses map[string]string) {
	addresses = map[string]string{}
	for _, alive := range i.roster.Instances(now) {
		if alive.Name == i.options.Settings.Name {
			continue
		}
		addresses[alive.Name] = alive.InnerAddress
		sites = append(sites, roster.Site{Name: alive.Name, FailureDomain: alive.FailureDomain, Voter: alive.Voter})
	}
	for _, named := range i.options.Settings.Instances {
		if addresses[named.Name] != "" {
			continue
		}
		addresses[named.Name] = named.InnerAddress.String()
		if peer := i.peers[named.Name]; peer != nil && peer.failed {
			lost = append(lost, named.Name)
			continue
		}
		sites = append(sites, roster.Site{Name: named.Name, FailureDomain: named.FailureDomain, Voter: named.Voter})
	}
	return sites, lost, addresses
}

func (i *Instance) pullFrom(ctx context.Context, peer *pulled) {
	i.mu.Lock()
	cursor := peer.source.Cursor(peer.direct)
	var introduction *roster.InstanceRecord
	if cursor.Incarnation == 0 || peer.pulls%introduceEvery == 0 {
		introduction = i.roster.Introduction(i.options.Now())
	}
	i.mu.Unlock()
	asked := i.options.Now()
	changes, err := i.pools.rosters.PullRoster(ctx, peer.address, cursor, introduction)
	if err != nil {
		i.options.Log.Debug().Err(err).Str("peer", peer.address).Msg("roster not pulled")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	peer.busy = false
	peer.failed = err != nil
	if err == nil {
		i.roster.Merge(asked, &peer.source, changes)
		i.tellDeskLocked()
	}
}

// answerPull answers another instance's pull. The one that pulls may be new
// here: it brings its own record, so that it is pulled from as well.
func (i *Instance) answerPull(cursor roster.Cursor, from *roster.InstanceRecord) roster.Changes {
	now := i.options.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if from != nil {
		i.roster.Introduce(now, *from)
	}
	return i.roster.Since(now, cursor)
}
