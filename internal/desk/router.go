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
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// bytesPerToken is about how many bytes of a prompt make a token.
const bytesPerToken = 4

// maxBlocks bounds the blocks of a prompt that are looked up in the estimate of
// prefix caches.
const maxBlocks = 64

// expiryPoll is how soon after the time of a waiting request its refusal is
// looked for again, if it did not come.
const expiryPoll = 10 * time.Millisecond

// errUnreachable means that no upstream holds what a task needs.
var errUnreachable = errors.New("desk: no upstream")

// need is what a request needs of an upstream. One of model and service is set;
// model may name an adapter.
type need struct {
	model   string
	service string
}

// router drives the decisions on routing: a request gets an upstream, waits for
// one or is refused. It is safe for concurrent use; one mutex carries it, as a
// decision takes about a microsecond.
type router struct {
	now   func() time.Time
	lease time.Duration

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	gate       *dispatch.Gate
	budgets    *retry.Budgets
	// waiting holds the requests in the gate. Each channel has room for the one
	// turn that it gets.
	waiting map[uint64]chan turn
	// asks says which upstreams answer questions after a request.
	asks   map[string]bool
	limits limits
	lastID uint64
	swept  time.Time
}

// turn ends the wait of a request: either its start or its refusal is set.
type turn struct {
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
		now:        options.Now,
		lease:      options.UpstreamLease,
		dispatcher: dispatcher,
		gate:       dispatch.NewGate(dispatcher, admission.New(admission.Options{MaxWaiting: options.Limits.QueueLength})),
		budgets:    retry.NewBudgets(retry.Options{Attempts: options.Limits.Attempts}),
		waiting:    map[uint64]chan turn{},
		asks:       map[string]bool{},
		limits:     newLimits(options.Instances, options.Log),
	}
}

// update takes in what has changed of the upstreams, and sends what waited for
// it.
func (r *router) update(upstreams []roster.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, upstream := range upstreams {
		view := dispatch.FromAnnouncement(upstream.Heard, upstream.Announcement, r.lease)
		view.Leaving = upstream.Leaving
		if known := r.dispatcher.Incarnation(view.Name); known != view.Incarnation {
			// What the process before it named says nothing of this one.
			delete(r.limits.byUpstream, view.Name)
		}
		r.asks[view.Name] = upstream.Announcement.Has(upstreamapi.CapabilityRequestStatus)
		r.dispatcher.Update(view)
		r.freed(now, view.Name)
	}
	if now.Sub(r.swept) >= r.lease {
		r.dispatcher.Sweep(now.Add(-r.lease))
		r.swept = now
	}
}

// answersQuestions tells whether an upstream says what became of a request.
func (r *router) answersQuestions(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asks[upstream]
}

func (r *router) cached(now time.Time, events upstreamapi.CacheEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatcher.Cached(now, events)
}

// arrival returns a task as the decisions see it.
func (d *Desk) arrival(task task) dispatch.Arrival {
	goal := task.admitted.goal
	a := dispatch.Arrival{
		// Only declared names count, so that callers can't fill the memory with
		// accounts of services that don't exist.
		Service:  task.admitted.declared.Name,
		Weight:   task.admitted.weight,
		At:       d.options.Now(),
		Deadline: task.deadline,
		Request: dispatch.Request{
			Target:   dispatch.Target{Service: task.need.service},
			Goal:     dispatch.Goal{FirstToken: goal.FirstToken, TokenInterval: goal.BetweenTokens},
			Priority: uint8(max(goal.Priority, 0)),
		},
	}
	if task.need.service == "" {
		a.Target = d.router.targetOf(task.need.model)
		a.PromptTokens = len(task.request.Body) / bytesPerToken
		block := dispatch.BlockTokens * bytesPerToken
		prompt := task.request.Body[:min(len(task.request.Body), maxBlocks*block)]
		a.Blocks = dispatch.BlockHashes(nil, a.Target, prompt, block)
	}
	return a
}

// prefixNames returns the value of upstreamapi.PrefixHeader for a.
func prefixNames(a dispatch.Arrival) string {
	names := make([]string, 0, len(a.Blocks))
	for _, block := range a.Blocks {
		names = append(names, dispatch.BlockName(block))
	}
	return strings.Join(names, ",")
}

// targetOf returns the target that callers call name: a model, or an adapter.
func (r *router) targetOf(name string) dispatch.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	adapter := dispatch.Target{Adapter: name}
	model := dispatch.Target{Model: name}
	if !r.dispatcher.Serves(model) && r.dispatcher.Serves(adapter) {
		return adapter
	}
	return model
}

// count takes in that a fresh request of service has come.
func (r *router) count(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.Of(r.now(), service).Fresh()
}

// again decides whether a failed attempt is followed by another.
func (r *router) again(arrival dispatch.Arrival, task task, attempt int, err error) retry.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.budgets.Of(now, arrival.Service).Decide(now, retry.Attempt{
		Number:     attempt,
		Outcome:    outcomeOf(err),
		Idempotent: task.request.Idempotent,
		Stacked:    task.request.Header.Get(retry.AttemptHeader) != "",
		Deadline:   task.deadline,
	})
}

// route returns the trip of a request to the upstream that was chosen. If it
// waits for one, route returns when it gets one, is refused or ctx ends. The
// error of a request that was not sent says not-run.
func (r *router) route(ctx context.Context, arrival dispatch.Arrival) (*trip, error) {
	a := &arrival
	r.mu.Lock()
	r.lastID++
	a.ID = r.lastID
	now := r.now()
	answer := r.gate.Arrive(now, a)
	r.refuse(answer.Displaced)
	if !answer.Queued {
		r.mu.Unlock()
		return r.decided(answer)
	}
	turns := make(chan turn, 1)
	r.waiting[a.ID] = turns
	r.mu.Unlock()
	return r.await(ctx, a, turns, answer.StartBy.Sub(now))
}

func (r *router) decided(answer dispatch.Answer) (*trip, error) {
	switch {
	case answer.Start.Arrival != nil:
		return r.newTrip(answer.Start), nil
	case answer.Refusal.Cause != 0:
		return nil, overloaded(answer.Refusal)
	case answer.Reason == dispatch.ReasonNoCandidate:
		return nil, errUnreachable
	default:
		return nil, &RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       CodeNoUpstream,
			Message:    "every upstream that could take the request is leaving, lost or has failed it",
			Outcome:    outcome.NotRun,
			RetryAfter: retryLater,
		}
	}
}

// await waits for the turn of a. Its refusal comes from whoever looks first after
// its time has passed, so each waiting request looks at its own time.
func (r *router) await(ctx context.Context, a *dispatch.Arrival, turns chan turn, patience time.Duration) (*trip, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case turn := <-turns:
			return r.taken(turn)
		case <-timer.C:
			r.expire()
			timer.Reset(expiryPoll)
		case <-ctx.Done():
			if r.cancel(a) {
				return nil, notSent(ctx.Err())
			}
			return r.taken(<-turns)
		}
	}
}

func (r *router) taken(turn turn) (*trip, error) {
	if turn.refusal.Cause != 0 {
		return nil, overloaded(turn.refusal)
	}
	return r.newTrip(turn.start), nil
}

func (r *router) cancel(a *dispatch.Arrival) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.gate.Cancel(a) {
		return false
	}
	delete(r.waiting, a.ID)
	return true
}

func (r *router) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, refusal := range r.gate.Expired(r.now(), nil) {
		r.refuse(refusal)
	}
}

// refuse ends the wait of a request. r.mu is held.
func (r *router) refuse(refusal admission.Refusal) {
	turns := r.waiting[refusal.Ticket.ID]
	if refusal.Cause == 0 || turns == nil {
		return
	}
	delete(r.waiting, refusal.Ticket.ID)
	turns <- turn{refusal: refusal}
}

// freed starts what waits for the named upstream. r.mu is held.
func (r *router) freed(now time.Time, name string) {
	for _, refusal := range r.gate.Expired(now, nil) {
		r.refuse(refusal)
	}
	for _, start := range r.gate.Freed(now, name, nil) {
		turns := r.waiting[start.Arrival.ID]
		delete(r.waiting, start.Arrival.ID)
		turns <- turn{start: start}
	}
}

func overloaded(refusal admission.Refusal) *RefusalError {
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

// notSent is the answer to a request whose time or caller went while it waited.
func notSent(cause error) *RefusalError {
	refusal := &RefusalError{
		Status:     http.StatusGatewayTimeout,
		Code:       CodeDeadline,
		Message:    "the deadline passed while the request waited",
		Outcome:    outcome.NotRun,
		RetryAfter: retryLater,
	}
	if errors.Is(cause, context.Canceled) {
		refusal.Message = "the caller went away while the request waited"
	}
	return refusal
}
