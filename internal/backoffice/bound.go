package backoffice

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/stocking"
)

// boundRequests identifies the requests for a model that are bound to a software version.
type boundRequests struct {
	key demandKey
	// allAllowed reports that all engines of the service are of the version.
	allAllowed bool
}

// boundDemand returns the requests that wait for models of a service at a software version, by model. o.mu
// is held.
func (o *orchestrator) boundDemand(now time.Time, service string) map[string][]boundRequests {
	bound := map[string][]boundRequests{}
	allAllowed := map[string]bool{}
	for key, demand := range o.demand {
		if key.service != service || !key.software.Bound {
			continue
		}
		if demand.totalWaiting(now) == 0 {
			demand.missingSince = time.Time{}
			continue
		}
		version := key.software.SoftwareVersion
		if _, known := allAllowed[version]; !known {
			allAllowed[version] = o.allAllowed(key)
		}
		bound[key.model] = append(bound[key.model], boundRequests{key: key, allAllowed: allAllowed[version]})
	}
	for _, requests := range bound {
		slices.SortFunc(requests, func(a, b boundRequests) int {
			return strings.Compare(a.key.software.SoftwareVersion, b.key.software.SoftwareVersion)
		})
	}
	return bound
}

// addBound adds requests that are bound to software versions to a model. While all engines are of the same
// version, they wait like all others. o.mu is held.
func (o *orchestrator) addBound(now time.Time, m *stocking.Model, bound []boundRequests, held map[demandKey]bool) {
	for _, requests := range bound {
		key := requests.key
		demand := o.demand[key]
		if requests.allAllowed {
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

// unavailableReason returns why a model can't be had in time at the software version to which requests are
// bound, or an empty string if it may be. An instance that doesn't lead, or may lack engines or their state,
// doesn't know. While no engine of another version is there, those of this one may be starting again. o.mu is
// held.
func (o *orchestrator) unavailableReason(now time.Time, args courier.WantArgs) string {
	key := keyOf(args.Service, args.Model).boundTo(args.Software.SoftwareVersion)
	if !args.Software.Bound || o.term == 0 || o.table == nil || o.allAllowed(key) || o.mayLackEngines(now) || o.stateUncertain(args) {
		return ""
	}
	service := o.table.Service(args.Service)
	if service == nil || service.Engine == nil {
		return ""
	}
	after, ok := o.earliestCopy(now, key, service.Engine)
	switch {
	case !ok:
		return "no engine of the software version can hold the model"
	case args.Remaining > 0 && after > args.Remaining:
		return "no engine of the software version can load the model in time"
	default:
		return ""
	}
}

// earliestCopy is stocking.EarliestCopy for requests that are bound to a software version. Each call of theirs
// needs it, so it leaves out engines and requests that make no difference to it. o.mu is held.
func (o *orchestrator) earliestCopy(now time.Time, key demandKey, spec *routes.Engine) (after time.Duration, ok bool) {
	models := make([]stocking.Model, len(spec.Models))
	for i := range spec.Models {
		model := &spec.Models[i]
		models[i] = o.plannerModel(now, key.service, model, o.demand[keyOf(key.service, model.Name)])
	}
	engines := make([]stocking.Engine, 0, len(o.engines))
	for _, e := range o.engines {
		if e.service == key.service && (key.software.Allows(e.softwareVersion) || e.holds(key.model, "") || e.loading == key.model) {
			engines = append(engines, o.plannerEngine(now, e))
		}
	}
	return stocking.EarliestCopy(key.model, key.software.SoftwareVersion, models, engines)
}

// mayLackEngines reports whether other instances may know engines that this one doesn't.
func (o *orchestrator) mayLackEngines(now time.Time) bool {
	voters := o.instance.voter.Status().Voters
	o.instance.mu.Lock()
	defer o.instance.mu.Unlock()
	return o.instance.isRosterIncomplete(now, voters)
}

// stateUncertain reports whether an engine may hold the requested model without this instance knowing it, or
// will hold it if its withdrawal is cancelled. o.mu is held.
func (o *orchestrator) stateUncertain(args courier.WantArgs) bool {
	for _, e := range o.engines {
		if e.mayServe(args) && (!e.hasReport || e.stale || e.withdrawn == args.Model) {
			return true
		}
	}
	return false
}
