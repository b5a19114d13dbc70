package counter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// await returns where to send the request next. If there is no place in time, await
// answers the caller and returns false.
func (t *trip) await(ctx context.Context, w http.ResponseWriter) (place, bool) {
	now := t.counter.options.Now()
	patience, cancel := context.WithTimeout(ctx, t.began.Add(t.longestWait()).Sub(now))
	defer cancel()
	granted, err := t.awaitOwner(patience)
	if errors.Is(err, errNoOwner) {
		granted, err = t.awaitHere(patience)
	}
	var rejected *rejection
	switch {
	case err == nil:
		t.unread = granted.unread
		return granted, true
	case errors.As(err, &rejected) && t.runs == 0:
		t.counter.refuse(w, t.call, t.route, refusal{
			status: http.StatusServiceUnavailable, why: rejected.Error(), comeBack: rejected.comeBack,
			forecast: rejected.forecast, held: t.counter.options.Now().Sub(t.began), survey: &rejected.survey,
			owner: t.owner,
		})
	default:
		t.giveUp(w)
	}
	return place{}, false
}

// awaitHere waits for a place that this instance decides on.
func (t *trip) awaitHere(ctx context.Context) (place, error) {
	c := t.counter
	own := ownRequest{granted: make(chan place, 1)}
	w := &waiter{need: t.need, asker: own}
	if rejected := c.join(w, own); rejected != nil {
		return place{}, rejected
	}
	select {
	case granted := <-own.granted:
		return granted, nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case granted := <-own.granted:
		return granted, nil
	default:
	}
	c.dequeue(w)
	t.missing = w.missing
	return place{}, ctx.Err()
}

// join has a request of this instance wait, and says why if it is refused at once.
func (c *Counter) join(w *waiter, own ownRequest) *rejection {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.sharers = c.sharers(now, &w.need)
	c.enqueue(now, w)
	if len(own.granted) > 0 {
		return nil
	}
	return c.turnAway(now, w)
}

// giveUp answers a request that found no upstream.
func (t *trip) giveUp(w http.ResponseWriter) {
	c := t.counter
	if t.runs > 0 {
		c.refuse(w, t.call, t.route, refusal{status: http.StatusBadGateway, why: "no upstream is left to try"})
		return
	}
	if t.request.Context().Err() != nil {
		// The caller has left.
		c.log(t, "left", "the caller left while the request waited")
		panic(http.ErrAbortHandler)
	}
	now := c.options.Now()
	c.refuse(w, t.call, t.route, refusal{
		status: http.StatusServiceUnavailable, why: "no upstream: " + t.missing.String(), comeBack: t.comeBackNow(),
		held: now.Sub(t.began), survey: c.survey(now, t), owner: t.owner,
	})
}

// survey looks at the upstreams that a request did not get.
func (c *Counter) survey(now time.Time, t *trip) *survey {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.fleet.survey(now, t.wish())
	return &s
}

// comeBackNow is when the caller may come back if it is refused now.
func (t *trip) comeBackNow() time.Duration {
	c := t.counter
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	arrival, comes := c.fleet.arrival(now, t.service, t.model)
	return t.comeBack(now, arrival, comes)
}
