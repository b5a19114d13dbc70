package desk

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// rateLimits keeps this instance within its share of the rate limits that upstreams state, and
// observes their pushbacks. It is guarded by the router's mutex.
type rateLimits struct {
	instances int
	log       zerolog.Logger
	// pushbacks are the times until which upstreams want no requests of this instance, by name.
	pushbacks ratelimit.Pushbacks[string]
	// byUpstream holds the upstreams that currently state a limit.
	byUpstream map[string]*upstreamLimit
}

// upstreamLimit is the rate limit of one upstream.
type upstreamLimit struct {
	state       ratelimit.State
	tokenBucket *ratelimit.TokenBucket
}

func newRateLimits(instances int, log zerolog.Logger) rateLimits {
	return rateLimits{instances: max(instances, 1), log: log, byUpstream: map[string]*upstreamLimit{}}
}

// observe applies what a response says about the upstream's limit. sentAt is when the request
// was sent.
func (l *rateLimits) observe(now, sentAt time.Time, upstream string, statement ratelimit.Observation) {
	limit := l.byUpstream[upstream]
	switch stated := statement.(type) {
	case ratelimit.NamedLimit:
		if limit == nil {
			limit = &upstreamLimit{tokenBucket: ratelimit.NewPhasedTokenBucket(now, rand.Float64())}
			l.byUpstream[upstream] = limit
			l.log.Info().Str("upstream", upstream).Float64("limit", float64(stated.Limit)).Msg("an upstream names its limit")
		}
	case ratelimit.InvalidLimit:
		l.log.Debug().Str("upstream", upstream).Str("limit", stated.Text).Msg("cannot parse the rate limit that an upstream states")
		return
	case ratelimit.NoLimit:
		if limit == nil {
			return
		}
	default:
		return
	}
	limit.state = limit.state.With(now, sentAt, statement)
	if _, ok := limit.state.Limit(); !ok {
		delete(l.byUpstream, upstream)
		l.log.Info().Str("upstream", upstream).Msg("the limit of an upstream ends")
	}
}

// allow reports whether this instance may send a request to an upstream now. If not, wait is
// the time until the next request may be sent.
func (l *rateLimits) allow(now time.Time, upstream string) (wait time.Duration, ok bool) {
	if wait := l.pushbacks.Until(upstream).Sub(now); wait > 0 {
		return wait, false
	}
	limited := l.byUpstream[upstream]
	if limited == nil {
		return 0, true
	}
	limit, _ := limited.state.Limit()
	rate := max(ratelimit.ShareRate(limit, l.instances), ratelimit.ProbeRate(l.instances))
	return limited.tokenBucket.Take(now, rate)
}

// observePushback records for how long an upstream that refused a request wants no others.
func (l *rateLimits) observePushback(now time.Time, upstream string, length time.Duration) {
	if length <= 0 {
		return
	}
	l.pushbacks = l.pushbacks.With(now, upstream, length)
	l.log.Info().Str("upstream", upstream).Dur("pushback", length).Msg("an upstream pushes back")
}

// forget drops what the previous process of an upstream stated.
func (l *rateLimits) forget(upstream string) {
	delete(l.byUpstream, upstream)
	l.pushbacks = l.pushbacks.Without(upstream)
}

// observeLimit applies the limit and the pushback stated by the response or the refusal of an
// attempt.
func (r *router) observeLimit(sentAt time.Time, upstream string, response *shuttle.Response, err error) {
	var statement ratelimit.Observation
	var failure *shuttle.Error
	switch {
	case response != nil:
		statement = response.Limit
	case errors.As(err, &failure):
		statement = failure.Limit
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.rateLimits.observe(now, sentAt, upstream, statement)
	if failure != nil && failure.Refused {
		r.rateLimits.observePushback(now, upstream, failure.RetryAfter)
	}
}

// routeWithinRateLimits calls route until it chooses an upstream whose rate limit and pushback
// allow the request. It adds the others to arrival.Tried. If no upstream is left, its refusal
// carries the shortest wait.
func (r *router) routeWithinRateLimits(ctx context.Context, arrival *dispatch.Arrival) (*slot, error) {
	limited, minWait := false, time.Duration(0)
	for {
		slot, err := r.route(ctx, *arrival)
		if err != nil {
			var refusal *RefusalError
			if !limited && errors.As(err, &refusal) && refusal.Code == CodeNoUpstream {
				minWait, limited = r.shortestPushback(arrival.Tried)
			}
			if limited {
				return nil, rateLimitRefusal(minWait)
			}
			return nil, err
		}
		chosen := slot.decision.Chosen.Name
		r.mu.Lock()
		wait, ok := r.rateLimits.allow(r.now(), chosen)
		r.mu.Unlock()
		if ok {
			return slot, nil
		}
		slot.release(dispatch.FailureCanceled)
		arrival.Tried = append(arrival.Tried, chosen)
		if !limited || wait < minWait {
			limited, minWait = true, wait
		}
	}
}

// shortestPushback returns the shortest time until one of the named upstreams no longer pushes
// back. It returns false if none of them pushes back.
func (r *router) shortestPushback(upstreams []string) (shortest time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, name := range upstreams {
		wait := r.rateLimits.pushbacks.Until(name).Sub(now)
		if wait > 0 && (!ok || wait < shortest) {
			shortest, ok = wait, true
		}
	}
	return shortest, ok
}

// rateLimitRefusal returns the refusal of a request that the rate limits of all upstreams
// forbid.
func rateLimitRefusal(wait time.Duration) *RefusalError {
	return &RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeOverloaded,
		Message:    "the upstreams take no more requests now; come back after the time in Retry-After",
		Outcome:    outcome.NotRun,
		RetryAfter: wait,
	}
}
