package counter

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// trip is one request on its way.
type trip struct {
	counter *Counter
	call    Call
	route   *routes.Route
	version uint64
	service string
	request *http.Request
	body    []byte
	began   time.Time
	// deadline is when an answer must have been given.
	deadline time.Time
	// tried are the upstreams that have failed it, and runs how many of them may
	// have run it.
	tried []string
	runs  int
	sends int
	pace  pace
	// timing is for the log.
	timing timing
}

// Serve answers one request of a caller.
func (c *Counter) Serve(w http.ResponseWriter, r *http.Request, call Call) {
	began := c.options.Now()
	table := c.awaitTable(r.Context(), call)
	if table == nil {
		c.refuse(w, call, nil, http.StatusServiceUnavailable, "no routes are known yet", tableComeBack)
		return
	}
	route := table.Match(host(r), r.URL.EscapedPath())
	if route == nil {
		c.refuse(w, call, nil, http.StatusNotFound, "no route", 0)
		return
	}
	body, status := readBody(w, r, table.Limits.BodyBytes)
	if status != 0 {
		c.refuse(w, call, route, status, "body not read", 0)
		return
	}
	t := &trip{
		counter: c, call: call, route: route, version: table.Version, request: r, body: body,
		service: route.Service(rand.Float64()),
		began:   began, deadline: began.Add(patience(call, route)),
	}
	if service := table.Service(t.service); service != nil {
		t.pace = paceOf(route.Gap, service.Engine)
	}
	c.enter(t, 1)
	defer c.enter(t, -1)
	ctx, cancel := context.WithTimeout(r.Context(), t.deadline.Sub(c.options.Now()))
	defer cancel()
	t.run(ctx, w)
}

const (
	// tableWait is the longest time that a request waits for an instance that has
	// just started to learn the routes: after the loss of all control instances a
	// leader is there again within about 2 s. It waits no longer than tableShare of
	// what its caller has.
	tableWait  = 2 * time.Second
	tableShare = 4
	// tableComeBack is when a caller may come back to an instance without routes.
	tableComeBack = 500 * time.Millisecond
	// tableEvery is how often a request looks whether the routes are known.
	tableEvery = 20 * time.Millisecond
)

// awaitTable returns the routes in force, or nil if they are not known in time.
func (c *Counter) awaitTable(ctx context.Context, call Call) *routes.Table {
	if table := c.table.Load(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, min(call.Patience/tableShare, tableWait))
	defer cancel()
	for pause.For(ctx, tableEvery) {
		if table := c.table.Load(); table != nil {
			return table
		}
	}
	return nil
}

// host returns the host of a request without its port.
func host(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

// patience returns how long a request may take.
func patience(call Call, route *routes.Route) time.Duration {
	if call.Patience > 0 {
		return min(call.Patience, route.Timeout)
	}
	return route.Timeout
}

// enter counts the requests under way, and the fresh ones of each service.
func (c *Counter) enter(t *trip, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += change
	if change < 0 {
		return
	}
	c.budgets.Of(t.began, t.service).Fresh()
	if t.call.Model != "" {
		c.demand.add(t.key(), t.call.PromptTokens, t.call.AnswerTokens)
	}
}

func (t *trip) key() demandKey {
	return demandKey{service: t.service, model: t.call.Model, adapter: t.call.Adapter}
}

// defaultBodyBytes bounds a body where the routes do not.
const defaultBodyBytes = 4 << 20

// readBody reads the whole body before anything is sent: only so can a refusal
// of a broken one say that nothing was run.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, status int) {
	if r.ContentLength == 0 {
		return nil, 0
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// run sends the request until it is answered or given up.
func (t *trip) run(ctx context.Context, w http.ResponseWriter) {
	for {
		u := t.await(ctx, w)
		if u == nil {
			return
		}
		if t.attempt(ctx, w, u) {
			return
		}
	}
}

// await returns the upstream to send to next. If there is none in time, await
// answers the caller and returns nil.
func (t *trip) await(ctx context.Context, w http.ResponseWriter) *upstream {
	c := t.counter
	now := c.options.Now()
	waiting := c.join(now, t)
	select {
	case u := <-waiting.granted:
		return u
	default:
	}
	if forecast := c.forecast(now, waiting); forecast > t.longestWait() {
		if u := c.leave(waiting); u != nil {
			return u
		}
		// It could not be served in time: the caller learns that now, and when it
		// may.
		c.refuse(w, t.call, t.route, http.StatusServiceUnavailable, "too many requests wait", t.comeBackAfter(forecast))
		return nil
	}
	patience, cancel := context.WithTimeout(ctx, t.began.Add(t.longestWait()).Sub(now))
	defer cancel()
	for {
		c.mu.Lock()
		missing := waiting.missing
		c.mu.Unlock()
		if patience.Err() != nil {
			if u := c.leave(waiting); u != nil {
				return u
			}
			t.giveUp(ctx, w, missing)
			return nil
		}
		if u := t.wait(patience, waiting, missing); u != nil {
			return u
		}
	}
}

// wait waits until the request is granted an upstream, or has to be looked at
// again.
func (t *trip) wait(ctx context.Context, waiting *waiter, missing lack) *upstream {
	c := t.counter
	var wanted <-chan struct{}
	if t.call.Model != "" && (missing == lackAdapter || missing == lackModel) {
		wanted = c.want(t.wanted(missing))
	}
	select {
	case u := <-waiting.granted:
		return u
	case <-wanted:
	case <-ctx.Done():
	}
	return nil
}

// wanted is what a request that lacks something has the leader load.
func (t *trip) wanted(missing lack) courier.WantArgs {
	args := courier.WantArgs{Service: t.service, Model: t.call.Model}
	if missing == lackAdapter {
		args.Adapter = t.call.Adapter
	}
	return args
}

// lateWait is how long a request waits for an upstream, in objectives: its answer
// will be late then, but callers stay for about four.
const lateWait = 2.5

// longestWait is how long a request waits for an upstream that can run it.
func (t *trip) longestWait() time.Duration {
	total := t.deadline.Sub(t.began)
	if t.route.Objective > 0 {
		return min(time.Duration(lateWait*float64(t.route.Objective)), total/2)
	}
	return total / 2
}

func (t *trip) wish() wish {
	return wish{
		service: t.service, model: t.call.Model, adapter: t.call.Adapter,
		tokens: t.call.PromptTokens, pace: t.pace, tried: t.tried,
	}
}

// giveUp answers a request that found no upstream.
func (t *trip) giveUp(ctx context.Context, w http.ResponseWriter, missing lack) {
	if t.runs > 0 {
		t.counter.refuse(w, t.call, t.route, http.StatusBadGateway, "no upstream is left to try", 0)
		return
	}
	if ctx.Err() != nil && t.request.Context().Err() != nil {
		// The caller has left.
		t.counter.log(t, "left", "the caller left while the request waited")
		panic(http.ErrAbortHandler)
	}
	t.counter.refuse(w, t.call, t.route, http.StatusServiceUnavailable, "no upstream: "+missing.String(), t.comeBack())
}

// comeBack is when a caller that was refused may come back: after a third of the
// time that it has left at most, or it would not come at all.
func (t *trip) comeBack() time.Duration {
	left := t.deadline.Sub(t.counter.options.Now())
	return min(time.Second, max(left/4, minComeBack))
}

// comeBackAfter is when a caller may come back to a line that takes wait to
// empty. Callers that were refused together come back apart.
func (t *trip) comeBackAfter(wait time.Duration) time.Duration {
	left := t.deadline.Sub(t.counter.options.Now())
	spread := 0.5 + rand.Float64()/2
	return max(time.Duration(spread*float64(min(wait, left/3))), minComeBack)
}

const minComeBack = 50 * time.Millisecond

// attempt sends the request to u, and reports whether the caller was answered.
func (t *trip) attempt(ctx context.Context, w http.ResponseWriter, u *upstream) bool {
	c := t.counter
	t.sends++
	t.timing.sent = c.options.Now()
	a := &sending{upstream: u}
	defer c.finish(a)
	response, err := t.send(ctx, a)
	if err != nil {
		return t.failed(ctx, w, a, err)
	}
	defer response.Body.Close()
	switch judged := c.options.Dialect.Judge(response, t.call.ID); judged {
	case NotRun, Misdirected:
		return t.refused(w, a, response, judged)
	case Foreign:
		t.runs++
		return t.failed(ctx, w, a, errors.New("counter: the answer is another request's"))
	default:
		return t.answer(ctx, w, a, response)
	}
}

// refused deals with an upstream that did not run the request.
func (t *trip) refused(w http.ResponseWriter, a *sending, response *http.Response, judged Judgement) bool {
	c := t.counter
	now := c.options.Now()
	c.mu.Lock()
	if judged == Misdirected && t.call.Model != "" {
		a.upstream.drop(t.call.Model, t.call.Adapter)
	} else {
		a.upstream.full(now)
	}
	verdict := c.budgets.Of(now, t.service).Decide(now, retry.Attempt{
		Number: t.sends, Outcome: outcome.NotRun, Deadline: t.deadline,
	})
	c.mu.Unlock()
	c.logAttempt(t, a, "refused", response.StatusCode, verdict.String())
	if judged != Misdirected || t.call.Model == "" {
		t.tried = append(t.tried, a.upstream.Announcement.Name)
	}
	if verdict == retry.Again {
		return false
	}
	if t.runs > 0 {
		c.refuse(w, t.call, t.route, http.StatusBadGateway, "refused after an earlier attempt", 0)
		return true
	}
	c.refuse(w, t.call, t.route, http.StatusServiceUnavailable, "the upstream refused", t.comeBack())
	return true
}

// failed deals with an attempt without a whole answer.
func (t *trip) failed(ctx context.Context, w http.ResponseWriter, a *sending, cause error) bool {
	c := t.counter
	now := c.options.Now()
	if t.request.Context().Err() != nil {
		c.logAttempt(t, a, "left", 0, "the caller left")
		panic(http.ErrAbortHandler)
	}
	run := outcome.NotRun
	if a.reached.Load() {
		run = outcome.Unknown
		t.runs++
	}
	c.mu.Lock()
	verdict := retry.TooLate
	if ctx.Err() == nil {
		a.upstream.failed(now)
		verdict = t.verdict(now, run)
	}
	c.mu.Unlock()
	c.logAttempt(t, a, cause.Error(), 0, verdict.String())
	t.tried = append(t.tried, a.upstream.Announcement.Name)
	if verdict == retry.Again {
		return false
	}
	switch {
	case t.runs == 0:
		c.refuse(w, t.call, t.route, http.StatusServiceUnavailable, "no upstream was reached", t.comeBack())
	case ctx.Err() != nil:
		c.refuse(w, t.call, t.route, http.StatusGatewayTimeout, "no answer in time", 0)
	default:
		c.refuse(w, t.call, t.route, http.StatusBadGateway, "the upstream's answer was lost", 0)
	}
	return true
}

// verdict decides whether the request is sent again. Connecting costs nothing of
// the budget: the upstream that was not reached has no work of it.
func (t *trip) verdict(now time.Time, run outcome.Outcome) retry.Verdict {
	if run == outcome.NotRun && t.sends < maxAttempts {
		return retry.Again
	}
	if t.runs >= t.route.Attempts {
		return retry.AttemptsSpent
	}
	return t.counter.budgets.Of(now, t.service).Decide(now, retry.Attempt{
		Number: t.sends, Outcome: run, Idempotent: t.route.Repeatable(), Deadline: t.deadline,
	})
}

// drop notes that u does not hold what it was thought to hold.
func (u *upstream) drop(model, adapter string) {
	if adapter == "" {
		delete(u.models, model)
		return
	}
	u.models[model] = slices.DeleteFunc(slices.Clone(u.models[model]), func(a string) bool { return a == adapter })
}

// refuse gives a caller an answer of the system's own.
func (c *Counter) refuse(w http.ResponseWriter, call Call, route *routes.Route, status int, why string, comeBack time.Duration) {
	header := w.Header()
	if comeBack > 0 {
		header.Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.mu.Lock()
	c.metrics.refused(why)
	c.mu.Unlock()
	event := c.logLine(c.options.Now(), "not served", zerolog.InfoLevel)
	if route != nil {
		event = event.Str("route", route.Name).Uint8("priority", route.Priority)
	}
	event.Str("request", call.ID).Int("status", status).Str("reason", why).Dur("retry-after", comeBack).
		Str("model", call.Model).Str("adapter", call.Adapter).Msg("request not served")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, why+"\n")
}
