package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Endpoint is the process of an upstream to which a request was sent, and its address.
type Endpoint struct {
	Lifetime
	Address string
}

// Status is what an instance knows about an upstream whose responses were interrupted.
type Status uint8

// Values of Status.
const (
	// StatusUnknown means that nothing is known: the upstream may be alive behind a broken
	// link.
	StatusUnknown Status = iota
	// StatusRefused means that the upstream's address refuses connections.
	StatusRefused
	// StatusReplaced means that another process uses the name or the address of the
	// upstream.
	StatusReplaced
	// StatusLeaving means that the upstream has announced its shutdown.
	StatusLeaving
)

const (
	// investigationTime is how long after the last interrupted response a crash may be
	// detected. An upstream restarts some seconds after a crash and is then found to be
	// replaced.
	investigationTime = 10 * time.Second
	// gatherTime is the time in which requests that are interrupted together are collected
	// into one report.
	gatherTime = 50 * time.Millisecond
	// interruptionSpread is the largest difference between the times at which a crash
	// interrupts the requests of an upstream. It also applies to requests that their
	// callers abandoned.
	interruptionSpread = time.Second
	// probeInterval is the shortest time between two probes of an upstream.
	probeInterval = 500 * time.Millisecond
	// maxInvestigations bounds the upstreams under investigation, and maxSuspects the
	// requests of each.
	maxInvestigations = 256
	maxSuspects       = 256
	// maxParts bounds the parts of prompts of the requests of an upstream.
	maxParts = 1024
)

// investigation is an upstream whose responses were interrupted and that may have crashed.
type investigation struct {
	endpoint Endpoint
	// requests are the interrupted and the abandoned ones. While crashed is false, only
	// those within interruptionSpread of the newest are kept. The first reportedCount are
	// reported already.
	requests      []interruptedRequest
	reportedCount int
	// lastInterrupted is when the last response was interrupted, and zero if all requests
	// were abandoned by their callers.
	lastInterrupted time.Time
	// openedAt is the start of the investigation, and probedAt the time of the last
	// probe.
	openedAt, probedAt time.Time
	crashed            bool
}

// interruptedRequest is a request that an upstream had until the time at.
type interruptedRequest struct {
	Suspect
	at time.Time
}

// investigations are the upstreams under investigation, by lifetime. The zero value is
// empty.
type investigations struct {
	byLifetime map[Lifetime]*investigation
}

// getOrOpen returns the investigation of an upstream and opens one if needed. It returns
// nil if there are too many.
func (i *investigations) getOrOpen(now time.Time, endpoint Endpoint) *investigation {
	if inv := i.byLifetime[endpoint.Lifetime]; inv != nil {
		return inv
	}
	if len(i.byLifetime) >= maxInvestigations {
		return nil
	}
	if i.byLifetime == nil {
		i.byLifetime = map[Lifetime]*investigation{}
	}
	opened := &investigation{endpoint: endpoint, openedAt: now}
	i.byLifetime[endpoint.Lifetime] = opened
	return opened
}

// interrupted records a request whose response was interrupted, and reports whether the
// upstream should be probed.
func (i *investigations) interrupted(now time.Time, endpoint Endpoint, suspect Suspect) bool {
	inv := i.getOrOpen(now, endpoint)
	if inv == nil {
		return false
	}
	inv.add(now, suspect)
	inv.lastInterrupted = now
	if inv.crashed || !inv.probedAt.IsZero() && now.Sub(inv.probedAt) < probeInterval {
		return false
	}
	inv.probedAt = now
	return true
}

// abandoned records a request that was abandoned by its caller.
func (i *investigations) abandoned(now time.Time, endpoint Endpoint, suspect Suspect) {
	if inv := i.getOrOpen(now, endpoint); inv != nil && !inv.crashed {
		inv.add(now, suspect)
	}
}

// add records a request. Unless the upstream has crashed, add removes requests that were
// interrupted longer ago than interruptionSpread: they had another cause.
func (i *investigation) add(now time.Time, suspect Suspect) {
	if !i.crashed {
		i.requests = slices.DeleteFunc(i.requests, func(r interruptedRequest) bool { return now.Sub(r.at) > interruptionSpread })
	}
	if len(i.requests) >= maxSuspects {
		return
	}
	i.requests = append(i.requests, interruptedRequest{suspect, now})
	i.dropSurplusParts()
}

// dropSurplusParts removes the parts of requests, of those whose responses had begun first, until
// there are at most maxParts.
func (i *investigation) dropSurplusParts() {
	count := 0
	for _, request := range i.requests {
		count += len(request.Parts)
	}
	for _, answering := range []bool{true, false} {
		for n := range i.requests {
			if request := &i.requests[n]; count > maxParts && request.Answering == answering {
				count -= len(request.Parts)
				request.Parts = nil
			}
		}
	}
}

// unreported returns the requests that are not reported yet.
func (i *investigation) unreported() []Suspect {
	suspects := make([]Suspect, 0, len(i.requests)-i.reportedCount)
	for _, request := range i.requests[i.reportedCount:] {
		suspects = append(suspects, request.Suspect)
	}
	return suspects
}

// observe records the status of an upstream.
func (i *investigations) observe(lifetime Lifetime, status Status) {
	inv := i.byLifetime[lifetime]
	if inv == nil {
		return
	}
	switch status {
	case StatusLeaving:
		delete(i.byLifetime, lifetime)
	case StatusRefused, StatusReplaced:
		inv.crashed = inv.crashed || !inv.lastInterrupted.IsZero()
	case StatusUnknown:
	}
}

// hasCrashed reports whether an upstream is known to have crashed.
func (i *investigations) hasCrashed(lifetime Lifetime) bool {
	inv := i.byLifetime[lifetime]
	return inv != nil && inv.crashed
}

// removeExpired ends the investigations of upstreams that were not found to have crashed.
func (i *investigations) removeExpired(now time.Time) {
	maps.DeleteFunc(i.byLifetime, func(_ Lifetime, inv *investigation) bool { return inv.isExpired(now) })
}

// isExpired reports whether the time to detect a crash has passed.
func (i *investigation) isExpired(now time.Time) bool {
	if i.lastInterrupted.IsZero() {
		return now.Sub(i.openedAt) > interruptionSpread
	}
	return now.Sub(i.lastInterrupted) > investigationTime
}

// hasUnreported reports whether an upstream has crashed with requests that are not
// reported.
func (i *investigations) hasUnreported() bool {
	for _, inv := range i.byLifetime {
		if inv.crashed && inv.reportedCount < len(inv.requests) {
			return true
		}
	}
	return false
}

// takeReports returns reports of upstreams that have crashed, and marks their requests as
// reported.
func (i *investigations) takeReports(now time.Time) []Report {
	var reports []Report
	for _, inv := range i.byLifetime {
		if !inv.crashed || inv.reportedCount == len(inv.requests) || now.Sub(inv.lastInterrupted) < gatherTime {
			continue
		}
		reports = append(reports, Report{Lifetime: inv.endpoint.Lifetime, Suspects: inv.unreported()})
		inv.reportedCount = len(inv.requests)
	}
	slices.SortFunc(reports, func(a, b Report) int { return compareLifetimes(a.Lifetime, b.Lifetime) })
	return reports
}
