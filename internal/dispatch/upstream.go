package dispatch

import (
	"math"
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
)

// upstream is the Dispatcher's state of one incarnation of an upstream.
type upstream struct {
	view View
	// id identifies the upstream in the prefix index. It is never reused, so that entries
	// from before a restart or a clearing of the cache don't apply any more.
	id uint32
	// remote is true if the upstream is in another failure domain than this instance.
	remote bool
	// pools are the pools that contain the upstream.
	pools []*pool
	// poolNames are the names of pools, in the same order.
	poolNames []string
	changes   changeLog
	// inFlight counts the open requests of this instance.
	inFlight           int
	inFlightByPriority [admission.Priorities]int
	limit              admission.Limit
	// pendingPromptTokens is the number of prompt tokens of this instance's open requests
	// without a first token so far.
	pendingPromptTokens int
	// instances is the number of instances that share the upstream.
	instances int
	health    health
	// bias is the moving mean of the ratio of the observed to the predicted time to the
	// first token.
	bias float64
	// decodeSeconds is the moving mean of the time from the first token to the end of a
	// request, 0 before the first one.
	decodeSeconds float64
	// overheadSeconds estimates the time to the first token at an idle upstream, apart from
	// the prefill. It is valid if overheadKnown is true.
	overheadSeconds float64
	overheadKnown   bool
	// firstTokenSeconds is the moving mean of the time to the first token, 0 before the
	// first response. It is the basis of predictions for plain services, which report no
	// speed.
	firstTokenSeconds float64
	// cacheGapUntil is the end of the reduced cache confidence after a gap in the cache
	// events.
	cacheGapUntil time.Time
	// nextCacheEvent is the expected number of the next cache event, 0 before the first
	// batch.
	nextCacheEvent uint64
}

// pool is the set of upstreams that serve one target.
type pool struct {
	target  Target
	name    string
	members []*upstream
}

func (p *pool) remove(u *upstream) {
	for i, m := range p.members {
		if m == u {
			last := len(p.members) - 1
			p.members[i] = p.members[last]
			p.members[last] = nil
			p.members = p.members[:last]
			return
		}
	}
}

// inPool reports whether u is a member of p.
func (u *upstream) inPool(p *pool) bool {
	for _, own := range u.pools {
		if own == p {
			return true
		}
	}
	return false
}

// available reports whether u accepts new requests: it is not shutting down and its lease
// has not expired.
func (u *upstream) available(now time.Time) bool {
	return !u.view.Leaving && now.Before(u.view.LeaseUntil)
}

// reportTimeConstant is the time constant for the decay of a load report's weight. A batch
// and a prompt queue turn over partly within it.
const reportTimeConstant = 300 * time.Millisecond

// reportWeight returns the weight of the last load report. It decays exponentially with
// age, from 1 for a new report.
func (u *upstream) reportWeight(now time.Time) float64 {
	age := max(now.Sub(u.view.LoadAt), 0)
	return math.Exp(-float64(age) / float64(reportTimeConstant))
}

// estimatedRequests returns the estimated number of requests at the upstream from all
// instances. It is the weighted mean of the report, corrected by this instance's changes
// since, and an extrapolation of this instance's open requests to all instances.
func (u *upstream) estimatedRequests(now time.Time) int {
	weight := u.reportWeight(now)
	reported := u.view.Load.Running + u.view.Load.Waiting + u.changes.requests
	extrapolated := min(u.inFlight*u.instances, u.maxRunning()+u.inFlight)
	mean := weight*float64(reported) + (1-weight)*float64(extrapolated)
	return max(int(math.Round(mean)), u.inFlight, 0)
}

// estimatedWaitingTokens returns the estimated number of prompt tokens that wait for
// prefill at the upstream, at least those of this instance.
func (u *upstream) estimatedWaitingTokens(now time.Time) float64 {
	weight := u.reportWeight(now)
	reported := u.view.Load.WaitingPromptTokens + u.changes.promptTokens
	mean := weight*float64(reported) + (1-weight)*float64(u.pendingPromptTokens)
	return max(mean, float64(u.pendingPromptTokens))
}

// maxRunning returns the maximum number of requests that the upstream runs at once.
func (u *upstream) maxRunning() int {
	if reported := u.view.Load.MaxRunning; reported > 0 {
		return reported
	}
	return assumedMaxRunning
}

// shareAtOrAbove returns the share of this instance's open requests with the same or a
// higher priority, which engines run first. With few open requests, which say little about
// those of other instances, a prior pulls the share towards 1.
func (u *upstream) shareAtOrAbove(priority uint8) float64 {
	const prior = 2
	count := prior
	for i := 0; i <= priorityIndex(priority); i++ {
		count += u.inFlightByPriority[i]
	}
	return float64(count) / float64(max(u.inFlight, 0)+prior)
}

// priorityIndex returns the index of priority in inFlightByPriority.
func priorityIndex(priority uint8) int {
	return min(int(priority), admission.Priorities-1)
}
