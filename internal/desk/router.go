package desk

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/admission"
	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// bytesPerToken is the estimated number of prompt bytes per token.
const bytesPerToken = 4

// maxPrefixBlocks bounds the prompt blocks that are looked up in the estimated prefix caches.
const maxPrefixBlocks = 64

// expiryPollInterval is how often a queued request checks for its refusal once its waiting time
// has passed.
const expiryPollInterval = 10 * time.Millisecond

// errNoCandidate means that no upstream provides the requested model or service.
var errNoCandidate = errors.New("desk: no upstream")

// requirement is what an upstream must provide to run a request. Either model or service is
// set; model may name an adapter.
type requirement struct {
	model   string
	service string
}

// router assigns requests to upstreams, queues them or refuses them. It is safe for concurrent
// use. One mutex is enough, as a decision takes about a microsecond.
type router struct {
	now           func() time.Time
	upstreamLease time.Duration

	mu           sync.Mutex
	dispatcher   *dispatch.Dispatcher
	gate         *dispatch.Gate
	retryBudgets *retry.Budgets
	// waiting maps the IDs of queued requests to their result channels. Each channel has a
	// buffer for the one result that it receives.
	waiting map[uint64]chan queueResult
	// reportsRequestStatus is the set of upstreams that support request status queries.
	reportsRequestStatus map[string]bool
	rateLimits           rateLimits
	// versions are the software versions of each target.
	versions      resumption.Versions
	startedAt     time.Time
	lastArrivalID uint64
	sweptAt       time.Time
}

// queueResult ends the wait of a queued request. Either start or refusal is set.
type queueResult struct {
	start   dispatch.Start
	refusal admission.Refusal
}

func newRouter(options Options) *router {
	dispatcher := dispatch.New(dispatch.Options{
		FailureDomain: options.FailureDomain,
		RemoteDelay:   options.RemoteDelay,
		Instances:     options.Instances,
		Seed:          options.Incarnation,
	})
	return &router{
		now:                  options.Now,
		upstreamLease:        options.UpstreamLease,
		dispatcher:           dispatcher,
		gate:                 dispatch.NewGate(dispatcher, admission.NewQueue(admission.Options{MaxWaiting: options.Limits.MaxQueueLength})),
		retryBudgets:         retry.NewBudgets(retry.Options{MaxAttempts: options.Limits.MaxAttempts}),
		waiting:              map[uint64]chan queueResult{},
		reportsRequestStatus: map[string]bool{},
		rateLimits:           newRateLimits(options.Instances, options.Log),
		startedAt:            options.Now(),
	}
}

// update applies changed upstream states and starts the queued requests that can run now.
func (r *router) update(upstreams []roster.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, upstream := range upstreams {
		view := dispatch.ViewFromAnnouncement(upstream.LastContact, upstream.Announcement, r.upstreamLease)
		view.Leaving = upstream.Leaving
		if known := r.dispatcher.Incarnation(view.Name); known != view.Incarnation {
			r.rateLimits.forget(view.Name)
		}
		r.reportsRequestStatus[view.Name] = upstream.Announcement.Has(upstreamapi.CapabilityRequestStatus)
		r.dispatcher.Update(view)
		r.observeVersion(upstream)
		r.startWaiting(now, view.Name)
	}
	if now.Sub(r.sweptAt) >= r.upstreamLease {
		r.dispatcher.RemoveExpired(now.Add(-r.upstreamLease))
		r.sweptAt = now
	}
}

// supportsRequestStatus reports whether an upstream supports request status queries.
func (r *router) supportsRequestStatus(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reportsRequestStatus[upstream]
}

func (r *router) applyCacheEvents(now time.Time, events upstreamapi.CacheEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatcher.ApplyCacheEvents(now, events)
}

// newArrival returns a task in the form that the dispatcher uses.
func (s *Server) newArrival(task task) dispatch.Arrival {
	goal := task.admitted.goal
	a := dispatch.Arrival{
		// Use only names of declared services. Otherwise callers could exhaust memory with the
		// retry budgets of services that do not exist.
		Service:  task.admitted.declared.Name,
		Weight:   task.admitted.weight,
		At:       s.options.Now(),
		Deadline: task.deadline,
		Request: dispatch.Request{
			Target:   dispatch.Target{Service: task.requirement.service},
			Goal:     dispatch.Goal{FirstToken: goal.FirstToken, TokenInterval: goal.BetweenTokens},
			Priority: uint8(max(goal.Priority, 0)),
		},
	}
	if task.requirement.service == "" {
		a.Target = s.router.targetOf(task.requirement.model)
		a.PromptTokens = len(task.request.Body) / bytesPerToken
		block := dispatch.BlockTokens * bytesPerToken
		prompt := task.request.Body[:min(len(task.request.Body), maxPrefixBlocks*block)]
		a.Blocks = dispatch.BlockHashes(nil, a.Target, prompt, block)
	}
	a.Target = a.Target.WithSoftwareVersion(task.software.SoftwareVersion)
	return a
}

// prefixHeader returns the value of upstreamapi.PrefixHeader for a.
func prefixHeader(a dispatch.Arrival) string {
	names := make([]string, 0, len(a.Blocks))
	for _, block := range a.Blocks {
		names = append(names, dispatch.BlockName(block))
	}
	return strings.Join(names, ",")
}

// targetOf returns the target for a name in a caller's request: a model, or an adapter if no
// upstream serves a model of that name.
func (r *router) targetOf(name string) dispatch.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	adapter := dispatch.Target{Adapter: name}
	model := dispatch.Target{Model: name}
	if !r.dispatcher.HasTarget(model) && r.dispatcher.HasTarget(adapter) {
		return adapter
	}
	return model
}

// countNewRequest counts a new request of a service for its retry budget.
func (r *router) countNewRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudgets.Get(r.now(), service).AddRequest()
}

// decideRetry decides whether a failed attempt is retried.
func (r *router) decideRetry(arrival dispatch.Arrival, task task, attempt int, err error) retry.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.retryBudgets.Get(now, arrival.Service).Decide(now, retry.Attempt{
		Number:     attempt,
		Outcome:    outcomeOf(err),
		Idempotent: task.request.Idempotent,
		IsRetry:    task.request.Header.Get(retry.AttemptHeader) != "",
		Deadline:   task.deadline,
	})
}

// route assigns a request to an upstream and returns its slot. If the request is queued, route
// blocks until the request starts, is refused or ctx ends. All its errors have the outcome
// not-run.
func (r *router) route(ctx context.Context, arrival dispatch.Arrival) (*slot, error) {
	a := &arrival
	r.mu.Lock()
	r.lastArrivalID++
	a.ID = r.lastArrivalID
	now := r.now()
	result := r.gate.Arrive(now, a)
	r.deliverRefusal(result.Displaced)
	if !result.Queued {
		r.mu.Unlock()
		return r.resolve(result)
	}
	results := make(chan queueResult, 1)
	r.waiting[a.ID] = results
	r.mu.Unlock()
	return r.awaitResult(ctx, a, results, result.StartBy.Sub(now))
}

// resolve returns the slot or the error for a request that was not queued.
func (r *router) resolve(result dispatch.ArriveResult) (*slot, error) {
	switch {
	case result.Start.Arrival != nil:
		return r.newSlot(result.Start), nil
	case result.Refusal.Cause != 0:
		return nil, overloadRefusal(result.Refusal)
	case result.Reason == dispatch.ReasonNoCandidate:
		return nil, errNoCandidate
	default:
		return nil, &RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeNoUpstream,
			Message:    "every upstream that could take the request is leaving, lost or has failed it",
			Outcome:    outcome.NotRun,
			RetryAfter: defaultRetryAfter,
		}
	}
}

// awaitResult waits for the result of a queued request. An expired request is refused by the
// next call of expire or startWaiting, from any goroutine. To be refused in time, each queued
// request calls expire when its own waiting time has passed.
func (r *router) awaitResult(ctx context.Context, a *dispatch.Arrival, results chan queueResult, timeout time.Duration) (*slot, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case result := <-results:
			return r.slotOf(result)
		case <-timer.C:
			r.expire()
			timer.Reset(expiryPollInterval)
		case <-ctx.Done():
			if r.cancel(a) {
				return nil, notSentRefusal(ctx.Err())
			}
			return r.slotOf(<-results)
		}
	}
}

// slotOf returns the slot or the refusal in the result of a queued request.
func (r *router) slotOf(result queueResult) (*slot, error) {
	if result.refusal.Cause != 0 {
		return nil, overloadRefusal(result.refusal)
	}
	return r.newSlot(result.start), nil
}

// cancel removes a request from the queue. It returns false if the request is no longer queued.
func (r *router) cancel(a *dispatch.Arrival) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.gate.Cancel(a) {
		return false
	}
	delete(r.waiting, a.ID)
	return true
}

// expire refuses the queued requests whose waiting time has passed.
func (r *router) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, refusal := range r.gate.RemoveExpired(r.now(), nil) {
		r.deliverRefusal(refusal)
	}
}

// deliverRefusal refuses a queued request. It does nothing if the request is not queued or
// refusal has no cause. The caller holds r.mu.
func (r *router) deliverRefusal(refusal admission.Refusal) {
	results := r.waiting[refusal.Ticket.ID]
	if refusal.Cause == 0 || results == nil {
		return
	}
	delete(r.waiting, refusal.Ticket.ID)
	results <- queueResult{refusal: refusal}
}

// startWaiting refuses expired requests and starts queued ones that the named upstream can
// take. The caller holds r.mu.
func (r *router) startWaiting(now time.Time, name string) {
	for _, refusal := range r.gate.RemoveExpired(now, nil) {
		r.deliverRefusal(refusal)
	}
	for _, start := range r.gate.StartWaiting(now, name, nil) {
		results := r.waiting[start.Arrival.ID]
		delete(r.waiting, start.Arrival.ID)
		results <- queueResult{start: start}
	}
}

func overloadRefusal(refusal admission.Refusal) *RefusalError {
	message := "the request could not be started in time"
	if refusal.Cause == admission.CauseFull {
		message = "the queue is full of requests that go first"
	}
	return &RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeOverloaded,
		Message:    message + "; come back after the time in Retry-After",
		Outcome:    outcome.NotRun,
		RetryAfter: refusal.RetryAfter,
	}
}

// notSentRefusal returns the refusal of a queued request whose deadline passed or whose caller
// disconnected.
func notSentRefusal(cause error) *RefusalError {
	refusal := &RefusalError{
		Status:     http.StatusGatewayTimeout,
		Code:       CodeDeadline,
		Message:    "the deadline passed while the request waited",
		Outcome:    outcome.NotRun,
		RetryAfter: defaultRetryAfter,
	}
	if errors.Is(cause, context.Canceled) {
		refusal.Message = "the caller went away while the request waited"
	}
	return refusal
}
