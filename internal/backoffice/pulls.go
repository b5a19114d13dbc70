package backoffice

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/roster"
)

// peer is another control instance.
type peer struct {
	address string
	// seed is true if the settings name it. It is pulled from also while it is
	// lost, to see when it is back.
	seed   bool
	source roster.Source
	// busy is true while a pull is under way.
	busy bool
	// lost is true while pulls go unanswered.
	lost bool
}

// pull keeps asking the other control instances for what changed.
func (b *Backoffice) pull(ctx context.Context) {
	ticker := time.NewTicker(pullEvery)
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

// beginPulls renews this instance's record and returns whom to pull from, each
// marked as busy.
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
	var begun []*peer
	for name, p := range b.peers {
		if !p.seed && !alive[name] {
			delete(b.peers, name)
			continue
		}
		if !p.busy {
			p.busy = true
			begun = append(begun, p)
		}
	}
	return begun
}

func (b *Backoffice) pullFrom(ctx context.Context, p *peer) {
	b.mu.Lock()
	cursor := p.source.Cursor(true)
	introduction := b.roster.Introduction(b.options.Now())
	b.mu.Unlock()
	asked := b.options.Now()
	changes, err := b.calls.PullRoster(ctx, p.address, cursor, introduction)
	b.mu.Lock()
	defer b.mu.Unlock()
	p.busy = false
	if lost := err != nil; lost != p.lost && ctx.Err() == nil {
		p.lost = lost
		b.options.Log.Info().Err(err).Str("peer", p.address).Bool("lost", lost).Msg("control instance lost or regained")
	}
	if err == nil {
		b.roster.Merge(asked, &p.source, changes)
	}
}

// answerPull answers another control instance's pull, which brings its record.
func (b *Backoffice) answerPull(cursor roster.Cursor, from *roster.InstanceRecord) roster.Changes {
	now := b.options.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if from != nil {
		b.roster.Introduce(now, *from)
	}
	return b.roster.Since(now, cursor)
}
