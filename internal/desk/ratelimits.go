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

// rateLimits keeps this instance within its share of the rate limits that upstreams state. It
// is guarded by the router's mutex.
type rateLimits struct {
	instances int
	log       zerolog.Logger
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
	limited := l.byUpstream[upstream]
	if limited == nil {
		return 0, true
	}
	limit, _ := limited.state.Limit()
	rate := max(ratelimit.ShareRate(limit, l.instances), ratelimit.ProbeRate(l.instances))
	return limited.tokenBucket.Take(now, rate)
}

// observeLimit applies the limit stated by the response or the refusal of an attempt.
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
	r.rateLimits.observe(r.now(), sentAt, upstream, statement)
}

// routeWithinRateLimits calls route until it chooses an upstream whose rate limit allows the
// request. It adds rate-limited upstreams to arrival.Tried. If no upstream is left, its refusal
// carries the shortest wait.
func (r *router) routeWithinRateLimits(ctx context.Context, arrival *dispatch.Arrival) (*slot, error) {
	limited, minWait := false, time.Duration(0)
	for {
		slot, err := r.route(ctx, *arrival)
		if err != nil {
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
