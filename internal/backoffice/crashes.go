package backoffice

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

const (
	// gatherTime is how long reports of crashes are gathered into one command: an engine
	// that ends is reported by each entry instance that had requests there.
	gatherTime = 40 * time.Millisecond
	// noteTimeout bounds the recording of what was gathered.
	noteTimeout = 2 * time.Second
	// recallEvery is how often it is looked for upstreams that live after all.
	recallEvery = 500 * time.Millisecond
)

// crashes records what entry instances report of upstreams that ended under requests.
type crashes struct {
	office *Backoffice

	mu       sync.Mutex
	gathered quarantine.Update
	// waiting are who reported what is gathered.
	waiting []chan bool
	// wake holds a token if something is gathered.
	wake chan struct{}
}

func newCrashes(b *Backoffice) *crashes {
	return &crashes{office: b, wake: make(chan struct{}, 1)}
}

// note records an update together with others, and reports whether the voters have it.
func (c *crashes) note(ctx context.Context, update quarantine.Update) bool {
	recorded := make(chan bool, 1)
	c.mu.Lock()
	c.gathered = c.gathered.With(c.office.plausible(update))
	c.waiting = append(c.waiting, recorded)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	select {
	case ok := <-recorded:
		return ok
	case <-ctx.Done():
		return false
	}
}

func (c *crashes) run(ctx context.Context) {
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, gatherTime) {
			return
		}
		c.record(ctx)
	}
}

func (c *crashes) record(ctx context.Context) {
	c.mu.Lock()
	update, waiting := c.gathered, c.waiting
	c.gathered, c.waiting = quarantine.Update{}, nil
	c.mu.Unlock()
	ok := update.Empty() || c.propose(ctx, update)
	for _, recorded := range waiting {
		recorded <- ok
	}
}

func (c *crashes) propose(ctx context.Context, update quarantine.Update) bool {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	update.Now = c.office.options.Now()
	_, err := c.office.voter.Propose(ctx, update)
	if err != nil {
		c.office.options.Log.Warn().Err(err).Int("upstreams", len(update.Reports)).Msg("crashes not recorded")
	}
	return err == nil
}

// listen takes back crashes of upstreams that are heard of later.
func (c *crashes) listen(ctx context.Context) {
	for pause.For(ctx, recallEvery) {
		c.office.voter.RecallCrashes(ctx, c.office.heard)
	}
}

// Quarantined returns the requests in quarantine, and those that are suspected.
func (b *Backoffice) Quarantined(now time.Time) ([]quarantine.Listing, error) {
	return b.voter.Quarantined(now)
}

// Lift has requests in quarantine be sent again. If it may not have, it returns an error.
func (b *Backoffice) Lift(ctx context.Context, digests []quarantine.Digest) error {
	return b.voter.Lift(ctx, digests)
}

// heard returns when a lifetime of an upstream was heard of last.
func (b *Backoffice) heard(lifetime quarantine.Lifetime) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.roster.Upstream(lifetime.Upstream)
	return known.Heard, found && known.Announcement.Incarnation == lifetime.Incarnation
}

// plausible leaves out reports of upstreams that had said that they go.
func (b *Backoffice) plausible(update quarantine.Update) quarantine.Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	update.Reports = slices.DeleteFunc(slices.Clone(update.Reports), func(report quarantine.Report) bool {
		known, found := b.roster.Upstream(report.Upstream)
		// A leave that names no incarnation has the highest one.
		return found && known.Leaving && known.Announcement.Incarnation >= report.Incarnation
	})
	return update
}

// Note records what an entry instance reports of upstreams that ended under requests.
func (f feed) Note(ctx context.Context, args courier.NoteArgs) courier.NoteReply {
	return courier.NoteReply{Recorded: f.office.crashes.note(ctx, args.Update)}
}
