package backoffice

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/roster"
)

// peer is another control instance.
type peer struct {
	address string
	// seed is set if the settings list the instance. A seed is also pulled from while it
	// is unreachable, to notice its return.
	seed   bool
	source roster.Source
	// pulling is set during a pull.
	pulling bool
	// unreachable is set while pulls fail.
	unreachable bool
}

// runPulls pulls the roster changes of the other control instances until ctx
// ends.
func (b *Backoffice) runPulls(ctx context.Context) {
	ticker := time.NewTicker(rosterPullInterval)
	defer ticker.Stop()
	for {
		for _, p := range b.beginPulls(b.options.Now()) {
			b.done.Go(func() { b.pullFrom(ctx, p) })
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
func (b *Backoffice) beginPulls(now time.Time) []*peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roster.Beat(now, roster.InstanceBeat{})
	b.roster.Sweep(now)
	alive := map[string]bool{}
	for _, instance := range b.roster.Instances(now) {
		if instance.Identity == "" || instance.Name == b.options.Address {
			continue
		}
		alive[instance.Name] = true
		if b.peers[instance.Name] == nil {
			b.peers[instance.Name] = &peer{address: instance.InnerAddress}
		}
	}
	var started []*peer
	for name, p := range b.peers {
		if !p.seed && !alive[name] {
			delete(b.peers, name)
			continue
		}
		if !p.pulling {
			p.pulling = true
			started = append(started, p)
		}
	}
	return started
}

func (b *Backoffice) pullFrom(ctx context.Context, p *peer) {
	b.mu.Lock()
	cursor := p.source.Cursor(true)
	introduction := b.roster.Introduction(b.options.Now())
	b.mu.Unlock()
	sentAt := b.options.Now()
	changes, err := b.callPool.PullRoster(ctx, p.address, cursor, introduction)
	b.mu.Lock()
	defer b.mu.Unlock()
	p.pulling = false
	if failed := err != nil; failed != p.unreachable && ctx.Err() == nil {
		p.unreachable = failed
		b.options.Log.Info().Err(err).Str("peer", p.address).Bool("lost", failed).Msg("reachability of a control instance changed")
	}
	if err == nil {
		b.roster.Merge(sentAt, &p.source, changes)
	}
}

// handlePull answers the pull of another control instance, which includes the
// caller's own record.
func (b *Backoffice) handlePull(cursor roster.Cursor, from *roster.InstanceRecord) roster.Changes {
	now := b.options.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if from != nil {
		b.roster.Introduce(now, *from)
	}
	return b.roster.Since(now, cursor)
}
