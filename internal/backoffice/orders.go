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
	// orderRound is the time between two rounds of reports and orders.
	orderRound = 125 * time.Millisecond
	// restShare is how many times longer than a round the time to the next is at the
	// least. A plan for 140 engines and 242 models takes 1.6 ms of a whole core
	// (BenchmarkPlan); with 0.12 of one, rounds must leave room for the agreement.
	restShare = 6
	// reportEvery is how often an engine is asked for its report. Engines report
	// with a lag of some 100 ms, so that more often would tell little more.
	reportEvery = 500 * time.Millisecond
	// busyReportEvery is how often an engine is asked that loads or unloads: what comes
	// next waits for the end of it.
	busyReportEvery = 125 * time.Millisecond
	// reportShare is the time between two reports of any engines at the least, of calm
	// ones and of others each. A report takes 45 us of a core (BenchmarkReport, both
	// sides) beside what the system takes; when 140 engines were asked as often as 12, a
	// leader with 0.12 of a core was replaced twice in 14 s.
	reportShare = 10 * time.Millisecond
	// reportTimeout bounds one question to an engine.
	reportTimeout = time.Second
	// orderTimeout bounds an order. An engine answers within some ms; one whose
	// answer was lost gets no other order meanwhile.
	orderTimeout = 300 * time.Millisecond
	// adapterTime is how long an adapter takes to load. The users give 5 to 14 ms.
	adapterTime = 20 * time.Millisecond
	// keepAdapter is how long an adapter that was asked for stays at the least: the
	// requests for it are on their way, and entry instances tell of them every 250 ms.
	keepAdapter = 600 * time.Millisecond
	// askedKept is for how long it is known when a model or an adapter was asked for: all
	// that were not asked for since are equal.
	askedKept = 30 * time.Second
	// usesKept is how long an entry instance that is not heard of is taken to have
	// the requests under way that it told of last.
	usesKept = 5 * time.Second
	// adapterUnload is how long an adapter that was in use when it was ordered away is
	// taken to keep its place. The longest streams run for about 10 s.
	adapterUnload = 8 * time.Second
)

// orders asks engines what they hold and orders them to load and unload, while
// this instance has the right to.
type orders struct {
	office *Backoffice

	mu      sync.Mutex
	engines map[string]*engine
	// version is that of the table, which was read from the edition in force.
	table *routes.Table
	// term is that under which engines are known, 0 while this instance gives no
	// orders. revision grows with each change of what is told to others.
	term     uint64
	revision uint64
	changed  chan struct{}
	lateness lateness
	// metSince is when the term began here.
	metSince time.Time
	leases   *leases
	// told is what entry instances are told of engines, made at toldAt.
	told         []byte
	toldRevision uint64
	toldAt       time.Time
	// demand is what is asked for of each model. It is kept when the leadership
	// is lost: a leader that comes again begins with it.
	demand map[demandKey]*demandOf
	// uses are the adapters of requests under way, by entry instance, users how many
	// instances have requests with each, and asked when each was last asked for.
	uses  map[string]adapterUses
	users map[Adapter]int
	asked map[Adapter]time.Time
	// limits are those that upstreams name, by name.
	limits map[string]toldLimit
	// fetches is how many loads from the weight store may begin, as of fetchesAt.
	fetches   float64
	fetchesAt time.Time
}

func newOrders(ctx context.Context, office *Backoffice) *orders {
	o := &orders{
		office: office, engines: map[string]*engine{}, changed: make(chan struct{}),
		demand: map[demandKey]*demandOf{}, uses: map[string]adapterUses{},
		users: map[Adapter]int{}, asked: map[Adapter]time.Time{}, limits: map[string]toldLimit{},
	}
	o.leases = newLeases(ctx, o)
	return o
}

func (o *orders) run(ctx context.Context) {
	rest := orderRound
	ended := o.office.options.Now()
	for pause.For(ctx, rest) {
		began := o.office.options.Now()
		o.round(ctx, began.Sub(ended)-rest)
		ended = o.office.options.Now()
		rest = max(orderRound, restShare*ended.Sub(began))
	}
}

// right returns the fencing number under which this instance gives orders, to those
// engines whose lease it takes.
func (o *orders) right() (fence uint64, ok bool) {
	term, ok := o.office.voter.Leads(o.office.options.Now())
	return uint64(term), ok
}

// round forgets what an earlier leadership knew, takes in the engines that are
// there and asks those whose report is old. It began late by as much as is given.
func (o *orders) round(ctx context.Context, late time.Duration) {
	now := o.office.options.Now()
	leader, _ := o.office.voter.Leader()
	if leader != o.office.voter.Identity() {
		o.forget(now)
		return
	}
	status := o.office.voter.Status()
	o.mu.Lock()
	o.noteLate(late)
	if o.term != uint64(status.Term) {
		o.term = uint64(status.Term)
		o.revision = o.term << 32
		o.engines = map[string]*engine{}
		// What the leader before has begun is not known.
		o.fetches, o.fetchesAt = 0, now
		o.metSince = now
	}
	o.expire(now)
	o.readTable()
	due := o.meet(now)
	o.mu.Unlock()
	for _, e := range due {
		o.office.done.Go(func() { o.ask(ctx, e) })
	}
	o.stock(ctx, now)
}

// noteLate takes in how late a round began, and says when a lack of processor time begins
// and ends: with it a leader is replaced, and its log alone can't tell why.
func (o *orders) noteLate(late time.Duration) {
	before := o.lateness.short()
	o.lateness = o.lateness.with(late)
	o.office.options.Metrics.SubScope("backoffice").Gauge("late_seconds").Update(time.Duration(o.lateness).Seconds())
	switch after := o.lateness.short(); {
	case after && !before:
		o.office.options.Log.Warn().Dur("late", time.Duration(o.lateness)).Msg("short of processor time")
	case before && !after:
		o.office.options.Log.Info().Msg("processor time regained")
	}
}

// forget drops what was known under a leadership that is over.
func (o *orders) forget(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	o.term = 0
	o.lateness = 0
	clear(o.engines)
}

// readTable reads the routes in force, if they are others than before.
func (o *orders) readTable() {
	held := o.office.voter.Edition()
	if held.Content == nil || o.table != nil && o.table.Version == held.Version {
		return
	}
	table, err := o.office.options.Table(held.Content)
	if err != nil {
		o.office.options.Log.Error().Err(err).Uint64("version", held.Version).Msg("routes in force can't be read here")
		return
	}
	o.table = table
	for _, e := range o.engines {
		// The service may be gone from the routes; its engines are then as they were.
		if service := table.Service(e.service); service != nil && service.Engine != nil {
			e.spec = service.Engine
		}
	}
}

// meet brings the engines in step with the upstreams that are there, and returns
// those whose report is due, each marked as being asked.
func (o *orders) meet(now time.Time) []*engine {
	if o.table == nil {
		return nil
	}
	o.office.mu.Lock()
	upstreams, _ := o.office.roster.UpstreamsSince(0)
	o.office.mu.Unlock()
	last := lastHeard(upstreams, o.table)
	present := map[string]bool{}
	for _, upstream := range upstreams {
		if last[upstream.Announcement.Address] != upstream.Announcement.Name {
			continue
		}
		if now.Sub(upstream.Heard) >= o.office.options.UpstreamLease || len(upstream.Announcement.Services) == 0 {
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
			e = newEngine(now, upstream.Announcement, service, e)
			o.engines[name] = e
			o.touch()
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
			delete(o.engines, name)
			o.touch()
			continue
		}
		if !e.asking && now.Sub(e.asked) >= e.reportEvery(len(o.engines), changing) {
			e.asking = true
			due = append(due, e)
		}
	}
	return due
}

// lastHeard returns the name of the upstream that was heard of last at each address.
// An engine that crashes is started anew under another name. Until its lease ends, the
// one that is gone looks like an empty engine, as the new one answers for it: copies
// would be ordered there that never come. One of a service that table does not know
// takes no address from another: another writer may have announced it.
func lastHeard(upstreams []roster.Upstream, table *routes.Table) map[string]string {
	names := map[string]string{}
	heard := map[string]time.Time{}
	for _, upstream := range upstreams {
		if services := upstream.Announcement.Services; len(services) == 0 || table.Service(services[0]) == nil {
			continue
		}
		address := upstream.Announcement.Address
		if at, known := heard[address]; !known || !upstream.Leaving && upstream.Heard.After(at) {
			names[address], heard[address] = upstream.Announcement.Name, upstream.Heard
		}
	}
	return names
}

// touch says that what is told to others has changed.
func (o *orders) touch() {
	o.revision++
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *orders) ask(ctx context.Context, e *engine) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := o.office.options.Engines.Report(ctx, e.EngineAddress)
	now := o.office.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	e.asking = false
	defer e.wake()
	if err != nil {
		// The next try waits like any other: an engine that is gone would else be
		// asked without end.
		e.asked = now
		o.office.options.Log.Debug().Err(err).Str("engine", e.Name).Msg("no report")
		return
	}
	e.take(now, report)
	o.touch()
}

// note takes in what callers asked for at an entry instance.
func (o *orders) note(now time.Time, entry string, demand []courier.Demand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	uses := adapterUses{at: now}
	for _, d := range demand {
		o.noteModel(now, entry, d)
		adapter := Adapter{Model: d.Model, Name: d.Adapter}
		if d.Open > 0 {
			uses.open = append(uses.open, adapter)
		}
		if d.Adapter != "" && d.Requests > 0 {
			o.asked[adapter] = now
		}
	}
	o.setUses(entry, uses)
}

// give gives an order that e was marked for, and reports whether the engine
// carries it out.
func (o *orders) give(ctx context.Context, e *engine, order Order) bool {
	fence, ok := o.right()
	answer := Refused
	var err error
	if ok {
		err = o.leases.take(ctx, e.Name)
		ok = err == nil
	}
	if ok {
		order.Holder, order.Fence = o.office.options.Address, fence
		o.mu.Lock()
		order.Expected = e.report.Sequence
		e.sent(o.office.options.Now(), order)
		o.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		answer, err = o.office.options.Engines.Order(bounded, e.EngineAddress, order)
		cancel()
	}
	o.logOrder(e, order, answer, ok, err)
	if answer == Gone {
		// Whatever is announced late of it, nobody runs its requests any more.
		o.office.Leave(o.office.options.Now(), upstreamapi.Leave{Name: e.Name, Incarnation: e.incarnation})
	}
	o.office.options.Metrics.SubScope("backoffice").Tagged(map[string]string{"answer": answer.String()}).Counter("orders").Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	defer e.wake()
	e.ordering = false
	if order.Adapter == "" && order.Kind == Unload {
		e.unloading = err == nil && ok && answer == Accepted
		if !e.unloading {
			e.going = ""
		}
	}
	switch {
	case err != nil && ok:
		e.unanswered()
		// It may be carried out later. The number of orders that the engine has
		// accepted, which each order carries, keeps it and a later order from both
		// taking the same memory.
		e.doubt()
	case !ok || answer == Refused || answer == Gone:
		e.answered()
		e.doubt()
	default:
		e.answered()
		e.apply(o.office.options.Now(), order)
		if order.Kind == Unload && order.Adapter != "" && answer == Accepted {
			e.adaptersFullUntil = o.office.options.Now().Add(adapterUnload)
		}
	}
	o.touch()
	return err == nil && ok && answer != Refused && answer != Gone
}

func (o *orders) logOrder(e *engine, order Order, answer OrderAnswer, right bool, err error) {
	kind := "load"
	if order.Kind == Unload {
		kind = "unload"
	}
	o.office.options.Log.Info().Err(err).Str("engine", e.Name).Str("order", kind).Str("model", order.Model).
		Str("adapter", order.Adapter).Uint64("expected", order.Expected).Uint64("fence", order.Fence).
		Bool("right", right).Stringer("answer", answer).Msg("order to an engine")
}
