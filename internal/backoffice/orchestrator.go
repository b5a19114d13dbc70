package backoffice

import (
	"context"
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	// minRoundPause is the minimum pause between two rounds of reports and orders.
	minRoundPause = 125 * time.Millisecond
	// roundPauseFactor is the minimum pause after a round, as a multiple of the round's
	// duration. A plan for 140 engines and 242 models takes 1.6 ms of a whole core.
	// With 0.12 of a core, rounds must leave time for the consensus protocol.
	roundPauseFactor = 6
	// idleReportInterval is the minimum interval between two reports of an engine that is
	// not changing. Reports lag by about 100 ms, so that shorter intervals would add
	// little.
	idleReportInterval = 500 * time.Millisecond
	// busyReportInterval is the minimum interval between two reports of an engine that is
	// loading or unloading. The next order has to wait until it has finished.
	busyReportInterval = 125 * time.Millisecond
	// minReportSpacing is the minimum average time between two reports, both among the
	// engines that are changing and among all engines. A report takes 45 µs of a core
	// on both sides together, and system time in addition. A leader with 0.12 of a core
	// that polls 140 engines as often as 12 is replaced about every 7 s.
	minReportSpacing = 10 * time.Millisecond
	// reportTimeout bounds the call for one report.
	reportTimeout = time.Second
	// orderTimeout bounds the call for one order. An engine answers within some ms. If
	// the answer is lost, the engine gets no other order until the timeout.
	orderTimeout = 300 * time.Millisecond
	// adapterLoadTime is how long an adapter takes to load (specified as 5 to 14 ms).
	adapterLoadTime = 20 * time.Millisecond
	// minAdapterResidence is the minimum time that an adapter stays loaded after its last
	// request. The request may still be on its way to the engine, and entry instances
	// report their requests in flight only every 250 ms.
	minAdapterResidence = 600 * time.Millisecond
	// demandTTL is how long the time of the last request for a model or an adapter is
	// kept. All models and adapters without a request since then are treated the same.
	demandTTL = 30 * time.Second
	// adapterUsesTTL is how long the adapters that a silent entry instance last reported
	// still count as in use.
	adapterUsesTTL = 5 * time.Second
	// adapterUnloadTime is how long an adapter that may be in use is assumed to keep its
	// slot after the order to unload it. The longest streams take about 10 s.
	adapterUnloadTime = 8 * time.Second
)

// orchestrator polls the reports of engines and orders engines to load and unload
// models and adapters, while this instance leads.
type orchestrator struct {
	instance *Instance

	mu      sync.Mutex
	engines map[string]*engine
	// formerOrders are the unconfirmed orders to processes that are no longer in engines, by name.
	formerOrders formerOrders
	// table is parsed from the edition of the routes with its version.
	table *routes.Table
	// term is the leadership term in which engines was collected, or 0 while this
	// instance does not lead. revision grows with each change of the engine states that entry
	// instances receive. changed is closed and replaced with each such change.
	term      uint64
	revision  uint64
	changed   chan struct{}
	wakeDelay wakeDelay
	// termSince is the time at which this instance began to lead in term.
	termSince time.Time
	leases    *leaseBatcher
	// encodedStates are the engine states for entry instances, encoded at encodedAt from
	// encodedRevision.
	encodedStates   []byte
	encodedRevision uint64
	encodedAt       time.Time
	// demand is the demand for each model. It is kept when the leadership is lost, so
	// that it is available when this instance leads again.
	demand map[demandKey]*modelDemand
	// keptTimeouts is for how long after the last request for a model of a service the last copy at each
	// software version is kept.
	keptTimeouts map[string]time.Duration
	// usesByEntry holds the adapters in use at each entry instance, adapterUsers the
	// number of entry instances that use each adapter, and adapterRequestedAt the time of
	// the last request for each adapter.
	usesByEntry        map[string]adapterUses
	adapterUsers       map[Adapter]int
	adapterRequestedAt map[Adapter]time.Time
	// initialCopies is the highest number of copies of each model before the first demand.
	initialCopies map[demandKey]int
	// limits are the rate limits that upstreams state in their responses, by name.
	limits map[string]reportedLimit
	// fetchTokens is how many loads from the weight store may start, as of fetchTokensAt
	// (token bucket).
	fetchTokens   float64
	fetchTokensAt time.Time
}

func newOrchestrator(ctx context.Context, i *Instance) *orchestrator {
	o := &orchestrator{
		instance: i, engines: map[string]*engine{}, formerOrders: formerOrders{}, changed: make(chan struct{}),
		demand: map[demandKey]*modelDemand{}, keptTimeouts: map[string]time.Duration{}, usesByEntry: map[string]adapterUses{},
		initialCopies: map[demandKey]int{}, adapterUsers: map[Adapter]int{}, adapterRequestedAt: map[Adapter]time.Time{}, limits: map[string]reportedLimit{},
	}
	o.leases = newLeaseBatcher(ctx, o)
	return o
}

func (o *orchestrator) run(ctx context.Context) {
	roundPause := minRoundPause
	ended := o.instance.options.Now()
	for pause.For(ctx, roundPause) {
		began := o.instance.options.Now()
		o.round(ctx, began.Sub(ended)-roundPause)
		ended = o.instance.options.Now()
		roundPause = max(minRoundPause, roundPauseFactor*ended.Sub(began))
	}
}

// fencingNumber returns the fencing number of this instance's orders. ok is false if it
// may not send orders. Each order also needs the lease of its engine.
func (o *orchestrator) fencingNumber() (fence uint64, ok bool) {
	term, ok := o.instance.voter.IsLeader(o.instance.options.Now())
	return uint64(term), ok
}

// round adds and removes engines according to the announcements, fetches the reports
// that are due and places models. If the leadership or its term has changed, it first
// discards the engines. delay is how late the round began.
func (o *orchestrator) round(ctx context.Context, delay time.Duration) {
	now := o.instance.options.Now()
	leader, _ := o.instance.voter.Leader()
	if leader != o.instance.voter.Identity() {
		o.endTerm(now)
		return
	}
	status := o.instance.voter.Status()
	o.mu.Lock()
	o.updateWakeDelay(delay)
	if o.term != uint64(status.Term) {
		o.term = uint64(status.Term)
		o.revision = o.term << 32
		o.dropEngines(now)
		// It is unknown how many fetches the previous leader has started.
		o.fetchTokens, o.fetchTokensAt = 0, now
		o.termSince = now
	}
	o.expire(now)
	o.refreshTable()
	due := o.syncEngines(now)
	o.mu.Unlock()
	for _, e := range due {
		o.instance.done.Go(func() { o.fetchReport(ctx, e) })
	}
	o.placeModels(ctx, now)
}

// updateWakeDelay adds the delay of a round to the average, and logs the beginning and
// the end of a lack of processor time. Such a lack can cause the replacement of a
// leader, which the leader's other log lines don't explain. o.mu is held.
func (o *orchestrator) updateWakeDelay(delay time.Duration) {
	before := o.wakeDelay.isStarved()
	o.wakeDelay = o.wakeDelay.averagedWith(delay)
	o.instance.options.Metrics.SubScope("backoffice").Gauge("late_seconds").Update(time.Duration(o.wakeDelay).Seconds())
	switch after := o.wakeDelay.isStarved(); {
	case after && !before:
		o.instance.options.Log.Warn().Dur("late", time.Duration(o.wakeDelay)).Msg("processor time is short; leadership may be lost")
	case before && !after:
		o.instance.options.Log.Info().Msg("processor time is sufficient again")
	}
}

// endTerm discards the state that belongs to an earlier leadership.
func (o *orchestrator) endTerm(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	o.term = 0
	o.wakeDelay = 0
	o.dropEngines(now)
}

// dropEngines removes all engines. o.mu is held.
func (o *orchestrator) dropEngines(now time.Time) {
	for _, e := range o.engines {
		o.formerOrders.keep(now, e)
	}
	clear(o.engines)
}

// ordersToPredecessor returns the unconfirmed orders to the process that had the name of an announced one
// before. before is that process, or nil if it is no longer known. o.mu is held.
func (o *orchestrator) ordersToPredecessor(now time.Time, announced upstreamapi.Announcement, before *engine) unconfirmedOrders {
	if before != nil {
		return before.unconfirmed.forSuccessor(now)
	}
	return o.formerOrders.take(now, announced.Name, announced.Incarnation)
}

// routes returns the routes in force as of the last round, nil if there are none.
func (o *orchestrator) routes() *routes.Table {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table
}

// refreshTable parses the routes in force if their version has changed. o.mu is held.
func (o *orchestrator) refreshTable() {
	held := o.instance.voter.Edition()
	if held.Content == nil || o.table != nil && o.table.Version == held.Version {
		return
	}
	table, err := o.instance.options.ParseRoutes(held.Content)
	if err != nil {
		o.instance.options.Log.Error().Err(err).Uint64("version", held.Version).Msg("parsing the routes in force failed")
		return
	}
	o.table = table
	for _, e := range o.engines {
		// If the new routes lack the service, its engines keep their former specification.
		if service := table.Service(e.service); service != nil && service.Engine != nil {
			e.spec = service.Engine
		}
	}
}

// syncEngines updates the engines from the upstreams in the roster. It returns the
// engines whose report is due, with reportPending set. o.mu is held.
func (o *orchestrator) syncEngines(now time.Time) []*engine {
	if o.table == nil {
		return nil
	}
	o.instance.mu.Lock()
	upstreams, _ := o.instance.roster.UpstreamsSince(0)
	o.instance.mu.Unlock()
	latest := latestNameByAddress(upstreams, o.table)
	present := map[string]bool{}
	for _, upstream := range upstreams {
		if latest[upstream.Announcement.Address] != upstream.Announcement.Name {
			continue
		}
		if now.Sub(upstream.LastContact) >= o.instance.options.UpstreamLease || len(upstream.Announcement.Services) == 0 {
			continue
		}
		service := o.table.Service(upstream.Announcement.Services[0])
		if service == nil || service.Engine == nil {
			continue
		}
		name := upstream.Announcement.Name
		present[name] = true
		e := o.engines[name]
		if e == nil || e.incarnation != upstream.Announcement.Incarnation {
			e = newEngine(upstream.Announcement, service, o.ordersToPredecessor(now, upstream.Announcement, e))
			o.engines[name] = e
			o.markChanged()
		}
		e.leaving = upstream.Leaving
	}
	changing := 0
	for _, e := range o.engines {
		if e.changing() {
			changing++
		}
	}
	var due []*engine
	for name, e := range o.engines {
		if !present[name] {
			o.formerOrders.keep(now, e)
			delete(o.engines, name)
			o.markChanged()
			continue
		}
		if !e.reportPending && now.Sub(e.reportRequestedAt) >= e.reportInterval(len(o.engines), changing) {
			e.reportPending = true
			due = append(due, e)
		}
	}
	return due
}

// latestNameByAddress returns, for each address, the name of the upstream that was last
// heard from there. An engine that crashes is restarted under another name, and until
// the lease of the crashed one ends, that one looks like an empty engine because the
// new one answers at its address. Copies that are ordered there would never become
// available. A leaving upstream does not replace another one. Upstreams of services
// that table lacks are ignored, since another party may have announced them.
func latestNameByAddress(upstreams []roster.Upstream, table *routes.Table) map[string]string {
	names := map[string]string{}
	heard := map[string]time.Time{}
	for _, upstream := range upstreams {
		if services := upstream.Announcement.Services; len(services) == 0 || table.Service(services[0]) == nil {
			continue
		}
		address := upstream.Announcement.Address
		if at, known := heard[address]; !known || !upstream.Leaving && upstream.LastContact.After(at) {
			names[address], heard[address] = upstream.Announcement.Name, upstream.LastContact
		}
	}
	return names
}

// markChanged records a change of the engine states that entry instances receive. o.mu is
// held.
func (o *orchestrator) markChanged() {
	o.revision++
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *orchestrator) fetchReport(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := o.instance.options.Engines.Report(ctx, e.EngineAddress)
	now := o.instance.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	e.reportPending = false
	defer e.notifyWaiters()
	if err != nil {
		// After an error, the next attempt waits for the regular interval. Otherwise an
		// engine that is gone would be polled continuously.
		e.reportRequestedAt = now
		o.instance.options.Metrics.SubScope("backoffice").Counter("failed_reports").Inc(1)
		o.instance.options.Log.Debug().Err(err).Str("engine", e.Name).Msg("fetching the engine's report failed")
		return
	}
	e.applyReport(now, report)
	o.markChanged()
}

// recordDemand records the demand that an entry instance reports.
func (o *orchestrator) recordDemand(now time.Time, entry string, demand []courier.Demand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	uses := adapterUses{reportedAt: now}
	for _, d := range demand {
		o.recordModelDemand(now, entry, d)
		adapter := Adapter{Model: d.Model, Name: d.Adapter}
		if d.Open > 0 {
			uses.adapters = append(uses.adapters, adapter)
		}
		if d.Adapter != "" && d.Requests > 0 {
			o.adapterRequestedAt[adapter] = now
		}
	}
	o.setAdapterUses(entry, uses)
}
