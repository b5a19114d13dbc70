package backoffice

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/stocking"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Leader gives specs access to the decisions of a leader about engines, apart from the rounds that make and
// carry them out.
type Leader struct {
	orchestrator *orchestrator
}

// NewLeader returns a leader that knows no engines yet.
func (i *Instance) NewLeader(table *routes.Table) Leader {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	o := newOrchestrator(canceled, i)
	o.term, o.table = 1, table
	return Leader{o}
}

// Add adds an engine of which only the announcement is known.
func (l Leader) Add(service, name, softwareVersion string) Engine {
	e := newEngine(upstreamapi.Announcement{Name: name, SoftwareVersion: softwareVersion}, l.orchestrator.table.Service(service), unconfirmedOrders{})
	l.orchestrator.mu.Lock()
	defer l.orchestrator.mu.Unlock()
	l.orchestrator.engines[name] = e
	return Engine{engine: e}
}

// RecordDemand records the demand that an entry instance reports.
func (l Leader) RecordDemand(now time.Time, demand ...courier.Demand) {
	l.orchestrator.recordDemand(now, "entry", demand)
}

// Place makes a plan and returns the models that it withdraws, each after its engine. No order is sent.
func (l Leader) Place(now time.Time) (withdrawn []string) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	l.orchestrator.placeModels(canceled, now)
	l.orchestrator.mu.Lock()
	defer l.orchestrator.mu.Unlock()
	for name, e := range l.orchestrator.engines {
		if e.withdrawn != "" {
			withdrawn = append(withdrawn, name+" "+e.withdrawn)
		}
	}
	return withdrawn
}

// CancelsWithdrawal decides whether the withdrawn model of an engine is unloaded now, and reports whether the
// withdrawal is cancelled instead. No order is sent.
func (l Leader) CancelsWithdrawal(now time.Time, e Engine) bool {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	l.orchestrator.mu.Lock()
	defer l.orchestrator.mu.Unlock()
	l.orchestrator.unloadWithdrawn(canceled, now)
	return e.engine.withdrawn == ""
}

// KeepLastCopies sets for how long after the last request the last copies at each version are kept.
func (l Leader) KeepLastCopies(service string, timeout time.Duration) {
	l.orchestrator.keptTimeouts[service] = timeout
}

// RecordLimit records the rate limit of an engine.
func (l Leader) RecordLimit(now time.Time, engine string, limit float64) {
	l.orchestrator.recordLimits(now, []courier.LimitedUpstream{{Name: engine, Limit: ratelimit.Limit(limit)}})
}

// PlannerModels returns the models of a service as a plan takes them into account.
func (l Leader) PlannerModels(now time.Time, service string) []stocking.Model {
	return l.orchestrator.plannerModels(now, service, l.orchestrator.table.Service(service).Engine)
}

// EarliestCopy is the time until an engine of a version holds a model.
type EarliestCopy struct {
	After    time.Duration
	Possible bool
}

// EarliestCopy returns what the leader tells requests that are bound to a version.
func (l Leader) EarliestCopy(now time.Time, service, model, version string) (earliest EarliestCopy) {
	earliest.After, earliest.Possible = l.orchestrator.earliestCopy(now, keyOf(service, model).boundTo(version), l.orchestrator.table.Service(service).Engine)
	return earliest
}

// PlannedEarliestCopy is EarliestCopy by all that a plan takes into account.
func (l Leader) PlannedEarliestCopy(now time.Time, service, model, version string) (earliest EarliestCopy) {
	earliest.After, earliest.Possible = stocking.EarliestCopy(model, version, l.PlannerModels(now, service), l.orchestrator.plannerEngines(now, service))
	return earliest
}

// UnavailableReason returns why a model can't be had, empty if it may be.
func (l Leader) UnavailableReason(now time.Time, args courier.WantArgs) string {
	l.orchestrator.mu.Lock()
	defer l.orchestrator.mu.Unlock()
	return l.orchestrator.unavailableReason(now, args)
}
