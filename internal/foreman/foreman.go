// Package foreman gives orders to engines (placement controller).
//
// It acts only while its instance holds the right to order. It records what
// engines report, plans, records each order before it is sent, and records what
// became of it. What it knows beyond the replicated state can be lost: another
// leader continues from there.
package foreman

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/demand"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// Register is the replicated state, as a chamber.Voter gives it.
type Register interface {
	// OrderRight reports whether orders may be given at now, under the fencing
	// number term, and until when.
	OrderRight(now time.Time) (term jury.Term, until time.Time, ok bool)
	// Manifest returns what this replica has recorded.
	Manifest() manifest.View
	// Propose returns once this replica has carried out the command. After an
	// error, it may be carried out yet.
	Propose(ctx context.Context, command registry.Command) (registry.Result, error)
}

// World is what the instance knows.
type World interface {
	// Upstreams returns the upstreams whose announcement lease holds.
	Upstreams(now time.Time) []roster.Upstream
	// Issue returns the configuration in force.
	Issue() *gazette.Issue
}

// Options is what a Foreman needs.
type Options struct {
	Register Register
	World    World
	// Demand returns what callers ask for. Nil stands for no knowledge: models
	// are then placed by floors and losses alone.
	Demand func(now time.Time) []demand.Estimate
	// Planner makes the plans, for WeightStore and WeightOfMoves.
	Planner       placement.Planner
	WeightStore   placement.WeightStore
	WeightOfMoves float64
	// Client calls engines. It must not follow redirects.
	Client *http.Client
	// OrderFlight is the longest time that an order can be under way.
	OrderFlight time.Duration
	// UpstreamLease is the announcement lease. For that long, a new leader plans
	// nothing: engines that it has not heard of yet would count as lost.
	UpstreamLease time.Duration
	// Every is the time between two rounds, DefaultEvery if 0.
	Every time.Duration
	Now   func() time.Time
	Log   zerolog.Logger
}

// The intervals that no setting changes.
const (
	// DefaultEvery is how soon a report or a lost answer is acted upon.
	DefaultEvery = 250 * time.Millisecond
	// planEvery is the time between two plans, unless they are costly.
	planEvery = time.Second
	// planShare bounds what plans take of one core to one part in so many, and
	// maxPlanPause what that delays a need.
	planShare    = 30
	maxPlanPause = 5 * time.Second
	// retryAfter is the time between two calls about one order.
	retryAfter = time.Second
	// proposeTimeout bounds one proposal.
	proposeTimeout = 2 * time.Second
	// orderLife is how long an engine may take an order for, on its own clock.
	orderLife = 10 * time.Second
	// forgetAfter is when an engine that is gone, with no order open, is dropped.
	forgetAfter = time.Hour
	// avoidRefused is how long a load is not tried again at an engine that refused
	// it or failed, and avoidUnsent at one that could not be reached.
	avoidRefused = 30 * time.Second
	avoidUnsent  = 2 * time.Second
	// maxMoves is how many orders of one plan are given. The rest follow with the
	// next.
	maxMoves = 32
)

// Foreman gives orders while its instance may. It is safe for concurrent use.
type Foreman struct {
	options Options
	line    line
	ctx     context.Context
	stop    context.CancelFunc
	loop    sync.WaitGroup
	// calls are the calls to engines that are under way.
	calls sync.WaitGroup

	mu sync.Mutex
	// term is that of the right under which this process has acted last, since
	// its first round under it.
	term  uint64
	since time.Time
	// hands are by the id of the order. They outlast a right that lapses and comes
	// back under the same term: an order without one counts as never sent.
	hands map[string]hand
	// missing is from when each recorded engine has not been heard of.
	missing map[string]time.Time
	// alarmed are the incarnations of engines whose contradictions were logged.
	alarmed  map[string]uint64
	previous placement.State
	planned  time.Time
	// pause is the time from planned to the next plan.
	pause time.Duration
	plan  placement.Plan
}

// New starts a Foreman.
func New(options Options) *Foreman {
	f := newForeman(options)
	f.loop.Go(f.run)
	return f
}

func newForeman(options Options) *Foreman {
	if options.Every == 0 {
		options.Every = DefaultEvery
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Foreman{
		options: options,
		line:    line{client: options.Client, timeout: options.OrderFlight},
		ctx:     ctx,
		stop:    cancel,
		hands:   map[string]hand{},
		missing: map[string]time.Time{},
		alarmed: map[string]uint64{},
	}
}

// Close stops giving orders. Calls under way are cut off: their orders are
// recorded, and the next leader asks after them.
func (f *Foreman) Close() {
	f.stop()
	f.loop.Wait()
	f.calls.Wait()
}

func (f *Foreman) run() {
	ticker := time.NewTicker(f.options.Every)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
		f.round(f.options.Now())
	}
}

// round does all that is due at now.
func (f *Foreman) round(now time.Time) {
	right, _, held := f.options.Register.OrderRight(now)
	if !held {
		f.rest()
		return
	}
	term := uint64(right)
	state := f.options.Register.Manifest()
	switch {
	case state.Term > term:
		return
	case state.Term < term:
		// Also applies all that earlier leaders had recorded.
		if !f.propose(manifest.Lead{Term: term}) {
			return
		}
	}
	f.lead(now, term)
	present := f.present(now)
	f.report(present)
	f.alarm()
	f.forget(now, present)
	f.pursue(now, term, present)
	f.place(now, term, present)
}

// rest forgets what was known under a right that has ended.
func (f *Foreman) rest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term, f.since = 0, time.Time{}
	f.plan, f.previous, f.planned = placement.Plan{}, placement.State{}, time.Time{}
}

// lead begins to act under a right, unless this process does already.
func (f *Foreman) lead(now time.Time, term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == term {
		return
	}
	f.term, f.since = term, now
	f.previous, f.planned = placement.State{}, time.Time{}
	f.missing = map[string]time.Time{}
	f.alarmed = map[string]uint64{}
	f.options.Log.Info().Uint64("term", term).Msg("gives orders to engines from now on")
}

// propose has a command carried out, and tells whether it was accepted.
func (f *Foreman) propose(command manifest.Command) bool {
	ctx, cancel := context.WithTimeout(f.ctx, proposeTimeout)
	defer cancel()
	result, err := f.options.Register.Propose(ctx, command)
	switch {
	case err != nil:
		f.options.Log.Warn().Err(err).Type("command", command).Msg("placement not recorded")
		return false
	case result.Manifest == nil || !result.Manifest.Accepted:
		reason := ""
		if result.Manifest != nil {
			reason = result.Manifest.Reason
		}
		f.options.Log.Info().Type("command", command).Str("reason", reason).Msg("placement not accepted")
		return false
	}
	return true
}

// mayOrder tells whether an order under the fencing number may be sent now.
//
// It is asked right before each send: the right may have run out while the order
// was being recorded, and another leader may count on that none is sent.
func (f *Foreman) mayOrder(fencing uint64) bool {
	term, _, held := f.options.Register.OrderRight(f.options.Now())
	return held && uint64(term) == fencing
}
