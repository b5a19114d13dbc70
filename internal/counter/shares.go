package counter

import (
	"cmp"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/fairshare"
	"github.com/lovagelift/lovagelift/internal/permit"
)

// The instance that places the requests for a model sees those of all workspaces. While they wait,
// it divides the engine time of the model between the workspaces by their weights. Only requests of
// instances whose routes mix batch and interactive work take part.

// shareOptions configures the shares of each model. Objectives of interactive work are up to some
// seconds: a workspace that exceeds its share pays for it within about that time.
var shareOptions = fairshare.Options{HalfLife: 2 * time.Second, ForgetAfter: 30 * time.Second, MaxWorkspaces: 1024}

// shares holds the use of each model by workspace.
type shares struct {
	models map[modelKey]*modelShares
	// lastCleanup is when the models without use were last removed.
	lastCleanup time.Time
	// order counts the orders of the queue. entries and sorted are those of the last one.
	order   uint64
	entries []shareEntry
	sorted  []shareEntry
	// heldBack is when each workspace was last logged as held back, for at most maxRoutes workspaces.
	heldBack map[string]time.Time
	// engineTime and rejections are counters by workspace.
	engineTime map[string]tally.Counter
	rejections map[string]tally.Counter
}

func newShares() shares {
	return shares{
		models: map[modelKey]*modelShares{}, heldBack: map[string]time.Time{},
		engineTime: map[string]tally.Counter{}, rejections: map[string]tally.Counter{},
	}
}

// modelShares is the use of one model by workspace.
type modelShares struct {
	scheduler *fairshare.Scheduler
	// order is the last order of the queue in which requests waited for the model, index the number
	// of the model in that order, and next the position of its next request in shares.sorted.
	order uint64
	index int
	next  int
}

// waiterShare places a waiting request among those of other workspaces.
type waiterShare struct {
	// model is nil if the request does not take part in the shares, or not yet.
	model *modelShares
	entry fairshare.Entry
	claim fairshare.Claim
	// start is the virtual start in the last order of the queue.
	start float64
}

// shareEntry is a waiting request that takes part in the shares, in one order of the queue.
type shareEntry struct {
	waiter *waiter
	// position is the place in the queue. class is higher for requests that are less urgent.
	position int
	class    int
}

// orderByShare reorders the requests of each model that are equally urgent by the shares of their
// workspaces. The requests of one model keep their places in the queue as a whole, so that other
// models which share its engines are not affected. p.mu is held.
func (p *Proxy) orderByShare(now time.Time) {
	s := &p.queue.shares
	s.beginOrder(now, p)
	contended := false
	class := 0
	for i := range s.entries {
		w := s.entries[i].waiter
		if i > 0 && s.entries[i-1].waiter.requirements.compareClass(now, &w.requirements) != 0 {
			class++
		}
		s.entries[i].class = class
		w.share.start = w.share.model.scheduler.Start(w.share.entry, w.share.claim)
		contended = contended || w.share.model.scheduler.Contended()
	}
	if contended {
		s.rearrange(p.queue.waiters)
	}
}

// beginOrder collects the entries of a new order.
func (s *shares) beginOrder(now time.Time, p *Proxy) {
	s.order++
	clear(s.entries)
	s.entries = s.entries[:0]
	models := 0
	for position, w := range p.queue.waiters {
		if !w.requirements.mixed || w.boosted || w.lacksHolder() || !p.joinShares(now, w) {
			continue
		}
		if m := w.share.model; m.order != s.order {
			m.order, m.index = s.order, models
			m.scheduler.Begin(now)
			models++
		}
		s.entries = append(s.entries, shareEntry{waiter: w, position: position})
	}
	s.cleanUp(now)
}

// joinShares lets a request take part in the shares of its model. It returns false if no upstream
// has loaded the model: callers may name any model, and no state is kept for them. p.mu is held.
func (p *Proxy) joinShares(now time.Time, w *waiter) bool {
	if w.share.model != nil {
		return true
	}
	key := w.requirements.modelKey()
	if key.model == "" {
		return false
	}
	holders := p.pool.upstreamsWith(key.service, key.model)
	if len(holders) == 0 {
		return false
	}
	model := p.queue.shares.models[key]
	if model == nil {
		model = &modelShares{scheduler: fairshare.New(shareOptions)}
		p.queue.shares.models[key] = model
	}
	w.share.model, w.share.entry = model, model.scheduler.Enter(now)
	w.share.claim = p.shareClaim(&w.requirements, holders[0].slots)
	return true
}

// shareClaim returns what a request asks of an engine with a number of slots. p.mu is held.
func (p *Proxy) shareClaim(req *requirements, slots int) fairshare.Claim {
	running := req.decodeTime
	if req.outputTokens <= 0 {
		// A caller that does not declare the length of the answer must not get more than its share.
		running = req.pacing.serviceTime
	}
	claim := fairshare.Claim{Workspace: req.workspace, Weight: 1, Cost: req.prefillTime + running/time.Duration(max(slots, 1))}
	if table := p.routes.Load(); table != nil {
		claim.Weight = table.Workspaces.Weights().Of(req.workspace)
	}
	return claim
}

// rearrange puts the entries of each model into the places of the model's entries in the queue, in
// the order of class and virtual start.
func (s *shares) rearrange(waiters []*waiter) {
	s.sorted = append(s.sorted[:0], s.entries...)
	slices.SortFunc(s.sorted, func(a, b shareEntry) int {
		return cmp.Or(
			cmp.Compare(a.waiter.share.model.index, b.waiter.share.model.index),
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.waiter.share.start, b.waiter.share.start),
			cmp.Compare(a.position, b.position),
		)
	})
	for i := len(s.sorted) - 1; i >= 0; i-- {
		s.sorted[i].waiter.share.model.next = i
	}
	for _, e := range s.entries {
		m := e.waiter.share.model
		waiters[e.position] = s.sorted[m.next].waiter
		m.next++
	}
	clear(s.sorted)
}

// shareCleanupInterval is the time between two removals of the models without use.
const shareCleanupInterval = time.Second

// cleanUp removes the models for which no request waits and all workspaces are forgotten, and the
// times of old log lines.
func (s *shares) cleanUp(now time.Time) {
	if sinceCleanup := now.Sub(s.lastCleanup); sinceCleanup >= 0 && sinceCleanup < shareCleanupInterval {
		return
	}
	s.lastCleanup = now
	for key, m := range s.models {
		if m.order != s.order && m.scheduler.Idle(now) {
			delete(s.models, key)
		}
	}
	for workspace, last := range s.heldBack {
		if since := now.Sub(last); since < 0 || since >= heldBackLogInterval {
			delete(s.heldBack, workspace)
		}
	}
}

// chargeShare charges a grant to the workspace of a request. p.mu is held.
func (p *Proxy) chargeShare(now time.Time, w *waiter, chosen *upstream) {
	if !w.requirements.mixed || !p.joinShares(now, w) {
		return
	}
	claim := p.shareClaim(&w.requirements, chosen.slots)
	w.share.model.scheduler.Charge(now, w.share.start, claim)
	p.metrics.countByWorkspace(p.queue.shares.engineTime, "workspace_engine_microseconds", claim.Workspace, claim.Cost.Microseconds())
}

// goesBefore reports whether a request is dispatched before other, which waits for the same model.
func (w *waiter) goesBefore(now time.Time, other *waiter) bool {
	if w.share.model == nil || w.share.model != other.share.model {
		return w.requirements.compare(now, &other.requirements) <= 0
	}
	return cmp.Or(
		w.requirements.compareClass(now, &other.requirements),
		cmp.Compare(w.share.start, other.share.start),
		w.requirements.latestSend().Compare(other.requirements.latestSend()),
	) <= 0
}

// waitsLike reports whether the time for which a request has waited tells how long other will wait.
// A workspace that exceeds its share waits longer than the others.
func (w *waiter) waitsLike(other *waiter) bool {
	return w.share.model == nil || w.requirements.workspace == other.requirements.workspace
}

// forecastShareWait returns the time to serve the requests of the same workspace before w, if the
// model is granted at a rate and the workspace gets its share. p.mu is held.
func (p *Proxy) forecastShareWait(now time.Time, w *waiter, ownAhead int, rate float64) time.Duration {
	if w.share.model == nil || ownAhead == 0 {
		return 0
	}
	available := w.share.model.scheduler.Use(now, w.share.claim).Available
	return time.Duration(float64(ownAhead) / (rate * available) * float64(time.Second))
}

// heldBackLogInterval is the time between two log lines about one workspace.
const heldBackLogInterval = time.Second

// recordShareRejection counts a rejected request by workspace, and logs that its workspace is held
// back if it uses more than its share. p.mu is held.
func (p *Proxy) recordShareRejection(now time.Time, w *waiter, rejected *rejection) {
	if w.share.model == nil {
		return
	}
	s := &p.queue.shares
	workspace := w.requirements.workspace
	p.metrics.countByWorkspace(s.rejections, "workspace_rejections", workspace, 1)
	use := w.share.model.scheduler.Use(now, w.share.claim)
	if workspace != "" {
		// The instance of a request that names its workspace can decode the use.
		rejected.relativeUse = use.Relative()
	}
	if rejected.reason != permit.WaitTooLong || use.Granted <= use.Entitled || !s.allowHeldBackLine(now, workspace) {
		return
	}
	p.options.Log.Info().Str("workspace", workspace).Str("service", w.requirements.service).Str("model", w.requirements.model).
		Float64("use", use.Granted).Float64("share", use.Entitled).Float64("weight", w.share.claim.Weight).
		Float64("use-to-mean", use.Relative()).Dur("forecast", rejected.forecastWait).
		Msg("workspace held back: it uses more than its share of a model")
}

// allowHeldBackLine reports whether a line about a workspace may be logged at now.
func (s *shares) allowHeldBackLine(now time.Time, workspace string) bool {
	last, found := s.heldBack[workspace]
	switch since := now.Sub(last); {
	case found && since >= 0 && since < heldBackLogInterval:
		return false
	case !found && len(s.heldBack) >= maxRoutes:
		return false
	}
	s.heldBack[workspace] = now
	return true
}

// countByWorkspace adds to the counter of a workspace. Workspaces beyond maxRoutes are counted
// together, as are requests without a workspace.
func (m *metrics) countByWorkspace(created map[string]tally.Counter, name, workspace string, amount int64) {
	if _, found := created[workspace]; workspace == "" || !found && len(created) >= maxRoutes {
		workspace = otherRoute
	}
	taggedCounter(m.scope, created, name, "workspace", workspace).Inc(amount)
}
