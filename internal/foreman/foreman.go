// Package foreman is the placement controller: a control loop that issues load and unload orders to
// engines.
//
// It acts only while its instance holds the order right: the permission to send orders, which only
// the leader has and only until its lease ends. It records the engines' reports, plans, records
// each order before sending it, and records the order's result. State that it keeps outside the
// replicated state can be lost at any time: the next leader continues from the replicated state.
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

// ReplicatedState is the replicated state, as a chamber.Voter provides it.
type ReplicatedState interface {
	// OrderRight reports whether orders may be sent at now, under which fencing number, and until
	// when.
	OrderRight(now time.Time) (term jury.Term, until time.Time, ok bool)
	// Manifest returns the engines and orders recorded at this replica.
	Manifest() manifest.View
	// Propose returns once this replica has applied the command. After an error, the command may
	// still be applied later.
	Propose(ctx context.Context, command registry.Command) (registry.Result, error)
}

// Cluster is the instance's view of upstreams and configuration.
type Cluster interface {
	// Upstreams returns the upstreams with a valid announcement lease.
	Upstreams(now time.Time) []roster.Upstream
	// Configuration returns the active configuration.
	Configuration() *gazette.Configuration
}

// Options configures a Controller.
type Options struct {
	State   ReplicatedState
	Cluster Cluster
	// Demand returns the current demand estimates. If it is nil, models are placed by minimum
	// copies and failure tolerance alone.
	Demand func(now time.Time) []demand.Estimate
	// Planner computes the plans, within the limits of WeightStore and with WeightOfMoves.
	Planner       placement.Planner
	WeightStore   placement.WeightStore
	WeightOfMoves float64
	// Client calls engines. It must not follow redirects.
	Client *http.Client
	// OrderTimeout is the longest time that an order can be in flight.
	OrderTimeout time.Duration
	// UpstreamLease is the duration of the announcement lease. A new leader does not plan before it
	// has passed: engines that have not yet announced themselves to it would count as lost.
	UpstreamLease time.Duration
	// Interval is the interval of the control loop. 0 means DefaultInterval.
	Interval time.Duration
	Now      func() time.Time
	Log      zerolog.Logger
}

// Intervals and limits without a setting.
const (
	// DefaultInterval bounds the delay until a report or a lost answer is handled.
	DefaultInterval = 250 * time.Millisecond
	// planInterval is the shortest time between two plans.
	planInterval = time.Second
	// After a plan, the next one is delayed by planCostMultiple times the computing time, which
	// limits planning to 1/planCostMultiple of one core. maxPlanInterval limits this delay.
	planCostMultiple = 30
	maxPlanInterval  = 5 * time.Second
	// callRetryDelay is the time from the end of a call about an order to the next call.
	callRetryDelay = time.Second
	// proposeTimeout limits one proposal.
	proposeTimeout = 2 * time.Second
	// orderValidity is the time in which an engine may accept an order, on the engine's own clock.
	orderValidity = 10 * time.Second
	// goneEngineRetention is how long the record of a missing engine without open orders is kept.
	goneEngineRetention = time.Hour
	// A load is not retried at an engine within refusedLoadBackoff after the engine refused it or
	// failed it, and within unsentLoadBackoff after the engine was unreachable.
	refusedLoadBackoff = 30 * time.Second
	unsentLoadBackoff  = 2 * time.Second
	// maxOrdersPerPlan limits the orders issued from one plan. The next plan contains the remaining
	// ones.
	maxOrdersPerPlan = 32
)

// Controller issues orders while its instance holds the order right. It is safe for concurrent use.
type Controller struct {
	options Options
	engines engineClient
	ctx     context.Context
	cancel  context.CancelFunc
	loop    sync.WaitGroup
	// inFlight counts the calls to engines in progress.
	inFlight sync.WaitGroup

	mu sync.Mutex
	// term is the term in which this process last acted, and termStart the time of its first
	// reconciliation in that term. Both are zero without the order right.
	term      uint64
	termStart time.Time
	// orderCalls is keyed by order ID. It is kept when the order right lapses and returns in the
	// same term: an order without an entry counts as never sent.
	orderCalls map[string]orderCall
	// missingSince is when each recorded engine was first absent from liveEngines.
	missingSince map[string]time.Time
	// loggedIncarnations holds, by engine, the incarnation whose contradictions were logged.
	loggedIncarnations map[string]uint64
	planState          placement.State
	lastPlanned        time.Time
	// planPause is the time from lastPlanned to the next plan.
	planPause time.Duration
	plan      placement.Plan
}

// New starts a Controller.
func New(options Options) *Controller {
	c := newController(options)
	c.loop.Go(c.run)
	return c
}

func newController(options Options) *Controller {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Controller{
		options:            options,
		engines:            engineClient{client: options.Client, timeout: options.OrderTimeout},
		ctx:                ctx,
		cancel:             cancel,
		orderCalls:         map[string]orderCall{},
		missingSince:       map[string]time.Time{},
		loggedIncarnations: map[string]uint64{},
	}
}

// Close stops the control loop and cancels the calls in progress. Their orders are recorded, so the
// next leader queries their state.
func (c *Controller) Close() {
	c.cancel()
	c.loop.Wait()
	c.inFlight.Wait()
}

func (c *Controller) run() {
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		c.reconcile(c.options.Now())
	}
}

// reconcile performs everything that is due at now.
func (c *Controller) reconcile(now time.Time) {
	rightTerm, _, held := c.options.State.OrderRight(now)
	if !held {
		c.resetTerm()
		return
	}
	term := uint64(rightTerm)
	state := c.options.State.Manifest()
	switch {
	case state.Term > term:
		return
	case state.Term < term:
		// Once this command is applied here, so are all commands that earlier leaders committed.
		if !c.propose(manifest.NewLeader{Term: term}) {
			return
		}
	}
	c.beginTerm(now, term)
	live := c.liveEngines(now)
	c.recordReports(live)
	c.logContradictions()
	c.removeGoneEngines(now, live)
	c.followUpOrders(now, term, live)
	c.updatePlacement(now, term, live)
}

// resetTerm clears the state that is bound to an order right that has ended.
func (c *Controller) resetTerm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term, c.termStart = 0, time.Time{}
	c.plan, c.planState, c.lastPlanned = placement.Plan{}, placement.State{}, time.Time{}
}

// beginTerm initializes the state of a term, unless this process already acts in it.
func (c *Controller) beginTerm(now time.Time, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == term {
		return
	}
	c.term, c.termStart = term, now
	c.planState, c.lastPlanned = placement.State{}, time.Time{}
	c.missingSince = map[string]time.Time{}
	c.loggedIncarnations = map[string]uint64{}
	c.options.Log.Info().Uint64("term", term).Msg("order right acquired; issuing orders to engines")
}

// propose proposes a command and reports whether it was accepted.
func (c *Controller) propose(command manifest.Command) bool {
	ctx, cancel := context.WithTimeout(c.ctx, proposeTimeout)
	defer cancel()
	result, err := c.options.State.Propose(ctx, command)
	switch {
	case err != nil:
		c.options.Log.Warn().Err(err).Type("command", command).Msg("placement command not committed")
		return false
	case result.Manifest == nil || !result.Manifest.Accepted:
		reason := ""
		if result.Manifest != nil {
			reason = result.Manifest.Reason
		}
		c.options.Log.Info().Type("command", command).Str("reason", reason).Msg("placement command rejected")
		return false
	}
	return true
}

// maySend reports whether an order with the fencing number may be sent now.
//
// It is checked immediately before each send: the order right may have expired while the order was
// being recorded, and another leader may rely on no order being sent.
func (c *Controller) maySend(fencing uint64) bool {
	currentTerm, _, held := c.options.State.OrderRight(c.options.Now())
	return held && uint64(currentTerm) == fencing
}
