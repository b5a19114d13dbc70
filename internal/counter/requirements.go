package counter

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// requirements describes the upstream that a request needs and its time limits.
type requirements struct {
	target
	promptTokens int
	outputTokens int
	// priority is that of the workspace and the route; 0 is the most urgent.
	priority uint8
	// yields puts the request behind others with the same priority, because its workspace uses more
	// than the rate of its quota.
	yields bool
	// objective is the time to the first event within which a response is on time, 0 if there is
	// none.
	objective time.Duration
	// maxGap is the longest pause between events that the route allows, 0 if it sets none.
	maxGap  time.Duration
	arrived time.Time
	// deadline is when the response must be complete.
	deadline time.Time
	// mixed is true if the routes mix batch and interactive requests, and batch if this is a batch
	// request.
	mixed bool
	batch bool
	// workspace is the name of the caller's workspace, empty if it has none. caller identifies the
	// caller's piece of work across its attempts, 0 if it is not known. Both are set only if mixed is.
	workspace string
	caller    uint64
	// reserved puts the request before others with the same priority, because its caller returns at its
	// reserved time.
	reserved bool
	// group is the group of upstreams of a plain service whose owner places the request, empty if it is
	// not placed by group.
	group string
	// sender is the instance that sends the request.
	sender netip.AddrPort
	// tried are the names of the upstreams that have failed the request.
	tried []string
	// software limits the upstreams if the request resumes a stream.
	software resumption.Constraint
	// pacing limits the prompts sent to one engine.
	pacing pacing
	// prefillTime is the engine's time for the prompt, and decodeTime the time for which the
	// response occupies a slot of the batch.
	prefillTime time.Duration
	decodeTime  time.Duration
	// eventInterval is the time between two events of the stream. It is set only if mixed is. anySpeed is
	// true if the request does not wait for a suitable engine.
	eventInterval time.Duration
	anySpeed      bool
}

func (req *requirements) query() upstreamQuery {
	return upstreamQuery{
		service: req.service, model: req.model, adapter: req.adapter, pacing: req.pacing, sender: req.sender, tried: req.tried, software: req.software,
		speed: req.speedQuery(),
	}
}

// sharesEngines reports whether the request is for engines that batch and interactive requests share: it
// names a model, and the routes mix both.
func (req *requirements) sharesEngines() bool {
	return req.mixed && req.model != ""
}

// modelKey identifies the model, or the group of upstreams of a plain service.
func (req *requirements) modelKey() modelKey {
	return modelKey{req.service, req.ownedName()}
}

// loadArgs returns the arguments of the load call for a missing model or adapter.
func (req *requirements) loadArgs(missing missingResource) courier.WantArgs {
	args := courier.WantArgs{Service: req.service, Model: req.model, Timeout: loadTimeout}
	if req.software.Bound {
		args.Software = req.software
	}
	if missing == missingAdapter {
		args.Adapter = req.adapter
	}
	return args
}

// compare returns a negative number if req is to be dispatched before other.
func (req *requirements) compare(now time.Time, other *requirements) int {
	return cmp.Or(req.compareClass(now, other), req.latestSend().Compare(other.latestSend()))
}

// compareClass compares what goes before the shares of the workspaces and the latest send time.
func (req *requirements) compareClass(now time.Time, other *requirements) int {
	return cmp.Or(
		compareBools(req.isLate(now) || req.yieldsCapacity(now), other.isLate(now) || other.yieldsCapacity(now)),
		cmp.Compare(req.priority, other.priority),
		compareBools(req.yieldsCapacity(now), other.yieldsCapacity(now)),
		compareBools(req.yields, other.yields),
		compareBools(!req.reserved, !other.reserved),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// latestSend returns the latest time to send the request for a response on time.
func (req *requirements) latestSend() time.Time {
	if req.objective <= 0 {
		return req.deadline
	}
	return req.arrived.Add(req.objective - req.prefillTime - gapMargin)
}

func (req *requirements) isLate(now time.Time) bool {
	return now.After(req.latestSend())
}

// maxWaitObjectives is the longest wait for an upstream, in multiples of the objective. The
// response will be late then, but callers stay for about four objectives.
const maxWaitObjectives = 1.5

// maxWait returns how long the request may wait for an upstream.
func (req *requirements) maxWait() time.Duration {
	total := req.deadline.Sub(req.arrived)
	if req.objective <= 0 {
		return total / 2
	}
	longest := min(time.Duration(maxWaitObjectives*float64(req.objective)), total/2)
	if req.isDeferrable() {
		return max(longest, req.maxDeferredWait())
	}
	return longest
}

// maxForecast returns the longest forecast wait with which the request is queued: until its latest
// send time, or until its maximum wait if it is late already or has no objective.
func (req *requirements) maxForecast(now time.Time) time.Duration {
	if req.isLate(now) || req.objective <= 0 {
		return req.arrived.Add(req.maxWait()).Sub(now)
	}
	return req.latestSend().Sub(now)
}

// retryAfterWait returns the Retry-After time for a queue that takes wait to empty. It is
// randomized so that callers refused together do not retry together.
func (req *requirements) retryAfterWait(now time.Time, wait time.Duration) time.Duration {
	left := req.deadline.Sub(now)
	jitter := 0.5 + rand.Float64()/2
	return max(time.Duration(jitter*float64(min(wait, left/3))), minRetryAfter)
}

// retryAfterPushback returns the Retry-After time if all upstreams push back for wait. It is at
// most a third of the time left, so that the caller can still retry.
func (req *requirements) retryAfterPushback(now time.Time, wait time.Duration) time.Duration {
	left := req.deadline.Sub(now)
	return max(min(wait+scale(retrySpread, rand.Float64()), left/3), minRetryAfter)
}

// retryAfterLoad returns the Retry-After time of a request whose model is not available in time. It
// is at most a third of the time left, so that the caller can still retry. loadTime is the time
// until the model is loaded, if loading is true.
func (req *requirements) retryAfterLoad(now time.Time, loadTime time.Duration, loading bool) time.Duration {
	left := req.deadline.Sub(now)
	wait := min(time.Second, left/4)
	if loading {
		wait = max(wait, loadTime+time.Duration(rand.Float64()*float64(retrySpread)))
	}
	return max(min(wait, left/3), minRetryAfter)
}

const (
	// retrySpread is the time over which the retries for a newly loaded model are spread. Together
	// they would exceed its capacity.
	retrySpread = 500 * time.Millisecond
	// minRetryAfter is the shortest Retry-After time.
	minRetryAfter = 50 * time.Millisecond
)
