package backoffice

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/stocking"
)

// boundDemand returns the requests that wait for models of a service at a software version, by model. o.mu
// is held.
func (o *orchestrator) boundDemand(now time.Time, service string) map[string][]demandKey {
	bound := map[string][]demandKey{}
	for key, demand := range o.demand {
		if key.service == service && key.software.Bound && demand.totalWaiting(now) > 0 {
			bound[key.model] = append(bound[key.model], key)
		}
	}
	for _, keys := range bound {
		slices.SortFunc(keys, func(a, b demandKey) int {
			return strings.Compare(a.software.SoftwareVersion, b.software.SoftwareVersion)
		})
	}
	return bound
}

// addBound adds requests that are bound to software versions to a model. While all engines are of the same
// version, they wait like all others. o.mu is held.
func (o *orchestrator) addBound(now time.Time, m *stocking.Model, bound []demandKey, held map[demandKey]bool) {
	for _, key := range bound {
		demand := o.demand[key]
		if o.allAllowed(key) {
			m.Waiting += demand.totalWaiting(now)
			continue
		}
		m.Bound = append(m.Bound, stocking.BoundWaiting{
			SoftwareVersion: key.software.SoftwareVersion, Waiting: demand.totalWaiting(now), MissingFor: demand.missingFor(now, held[key]),
		})
	}
}

// allAllowed reports whether all engines of a service are of the software version of the key. o.mu is held.
func (o *orchestrator) allAllowed(key demandKey) bool {
	for _, e := range o.engines {
		if e.service == key.service && !key.software.Allows(e.softwareVersion) {
			return false
		}
	}
	return true
}

// keptTimeout returns for how long after the last request for a model the last copy at each software version
// is kept, 0 if it is not: streams go on at the version that began them.
func keptTimeout(table *routes.Table, records resumption.Records, service string) time.Duration {
	if !table.HasResumableStreams(service) || records.Count(service) < 2 {
		return 0
	}
	return min(table.ResumableTimeout(), resumption.MaxRetention)
}
