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

// limits keeps this instance within its share of what upstreams take that name a limit. It is
// guarded by the router's mutex.
type limits struct {
	instances int
	log       zerolog.Logger
	// byUpstream holds those that name one now.
	byUpstream map[string]*limited
}

// limited is an upstream that names a limit.
type limited struct {
	known ratelimit.Known
	pace  *ratelimit.Pace
}

func newLimits(instances int, log zerolog.Logger) limits {
	return limits{instances: max(instances, 1), log: log, byUpstream: map[string]*limited{}}
}

// heard takes in what an answer to a request that was sent at a time says.
func (l *limits) heard(now, sent time.Time, upstream string, said ratelimit.Said) {
	known := l.byUpstream[upstream]
	switch s := said.(type) {
	case ratelimit.Named:
		if known == nil {
			known = &limited{pace: ratelimit.NewPhasedPace(now, rand.Float64())}
			l.byUpstream[upstream] = known
			l.log.Info().Str("upstream", upstream).Float64("limit", float64(s.Limit)).Msg("an upstream names its limit")
		}
	case ratelimit.Unclear:
		l.log.Debug().Str("upstream", upstream).Str("limit", s.Text).Msg("an upstream names a limit that can't be read")
		return
	case ratelimit.Unnamed:
		if known == nil {
			return
		}
	default:
		return
	}
	known.known = known.known.With(now, sent, said)
	if _, limits := known.known.Limit(); !limits {
		delete(l.byUpstream, upstream)
		l.log.Info().Str("upstream", upstream).Msg("the limit of an upstream ends")
	}
}

// allow reports whether this instance may send a request to an upstream now. If it may not,
// allow returns after what time it may.
func (l *limits) allow(now time.Time, upstream string) (wait time.Duration, ok bool) {
	known := l.byUpstream[upstream]
	if known == nil {
		return 0, true
	}
	limit, _ := known.known.Limit()
	rate := max(ratelimit.Share(limit, l.instances), ratelimit.Probes(l.instances))
	return known.pace.Take(now, rate)
}

// hearLimit takes in what came of an attempt at an upstream.
func (r *router) hearLimit(sent time.Time, upstream string, answer *shuttle.Answer, err error) {
	var said ratelimit.Said
	var failure *shuttle.Error
	switch {
	case answer != nil:
		said = answer.Limit
	case errors.As(err, &failure):
		said = failure.Limit
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits.heard(r.now(), sent, upstream, said)
}

// routeWithinLimits is route to an upstream that takes the request by its limit. Those that
// do not are added to what the arrival has tried. If none takes it, the error says when one
// will.
func (r *router) routeWithinLimits(ctx context.Context, arrival *dispatch.Arrival) (*trip, error) {
	held, shortest := false, time.Duration(0)
	for {
		trip, err := r.route(ctx, *arrival)
		if err != nil {
			if held {
				return nil, overLimit(shortest)
			}
			return nil, err
		}
		chosen := trip.decision.Chosen.Name
		r.mu.Lock()
		wait, ok := r.limits.allow(r.now(), chosen)
		r.mu.Unlock()
		if ok {
			return trip, nil
		}
		trip.end(dispatch.FailureCanceled)
		arrival.Tried = append(arrival.Tried, chosen)
		if !held || wait < shortest {
			held, shortest = true, wait
		}
	}
}

// overLimit is the answer to a request that no upstream takes by its limit.
func overLimit(wait time.Duration) *RefusalError {
	return &RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeOverloaded,
		Message:    "the upstreams take no more requests now; come back after the time in Retry-After",
		Outcome:    outcome.NotRun,
		RetryAfter: wait,
	}
}
