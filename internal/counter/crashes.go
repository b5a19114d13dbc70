package counter

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// digestOf returns the digest of a caller's request.
func digestOf(r *http.Request, call Call, body []byte) quarantine.Digest {
	return quarantine.Identity{
		Caller: call.Caller, Method: r.Method, Host: host(r), Target: r.URL.RequestURI(), Body: body,
	}.Digest()
}

func (t *trip) suspect(a *sending) quarantine.Suspect {
	return quarantine.Suspect{Digest: t.digest, Request: t.call.ID, Answering: a.answering}
}

func (u *upstream) place() quarantine.Place {
	return quarantine.Place{
		Lifetime: quarantine.Lifetime{Upstream: u.name, Incarnation: u.incarnation}, Address: u.address,
	}
}

// noteBroken notes that an upstream did not answer the request, or not whole.
func (t *trip) noteBroken(a *sending, cause error) {
	c := t.counter
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	place := a.upstream.place()
	if a.reached.Load() && c.watch.Broke(now, place, t.suspect(a)) {
		select {
		case c.looks <- place:
		default:
			// News of the upstream will tell.
		}
	}
	if isRefused(cause) {
		c.noteRefused(place)
	}
	c.wakeReporter()
}

// noteRefused notes that nobody listens at the address of an upstream. One that has said
// that it goes has not crashed. c.mu is held.
func (c *Counter) noteRefused(place quarantine.Place) {
	contact := quarantine.ContactRefused
	if u := c.fleet.upstreams[place.Upstream]; u != nil && u.Leaving {
		contact = quarantine.ContactLeaving
	}
	c.watch.Learn(place.Lifetime, contact)
	c.wakeReporter()
}

// noteLeft notes that the caller left while its request was at an upstream.
func (t *trip) noteLeft(a *sending) {
	if !a.reached.Load() {
		return
	}
	c := t.counter
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Left(now, a.upstream.place(), t.suspect(a))
}

// noteWhole notes that an upstream answered the request whole.
func (t *trip) noteWhole(status int) {
	if status >= http.StatusBadRequest {
		return
	}
	c := t.counter
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Whole(now, t.digest)
	c.wakeReporter()
}

// wakeReporter has what there is to report be reported. c.mu is held.
func (c *Counter) wakeReporter() {
	if !c.watch.IsPending() {
		return
	}
	select {
	case c.reportNow <- struct{}{}:
	default:
	}
}

// isRefused reports whether an error says that nobody listens at an address.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// maxLooks bounds the upstreams that wait to be looked at.
const maxLooks = 64

// lookAtUpstreams connects to each upstream where answers broke off, until ctx ends. One
// that has ended refuses.
func (c *Counter) lookAtUpstreams(ctx context.Context) {
	for {
		select {
		case place := <-c.looks:
			c.done.Go(func() { c.lookAt(ctx, place) })
		case <-ctx.Done():
			return
		}
	}
}

func (c *Counter) lookAt(ctx context.Context, place quarantine.Place) {
	conn, err := c.fresh.DialContext(ctx, "tcp", place.Address)
	if err == nil {
		conn.Close()
		return
	}
	if !isRefused(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteRefused(place)
}

// reviewUpstreams looks at what the news say of upstreams where answers broke off.
// c.mu is held.
func (c *Counter) reviewUpstreams(now time.Time) {
	c.watch.Review(now, c.fleet.contact)
	c.wakeReporter()
}

// contact returns what is known of an upstream.
func (f *fleet) contact(place quarantine.Place) quarantine.Contact {
	known := f.upstreams[place.Upstream]
	holder := f.addresses[place.Address]
	switch {
	case known != nil && known.incarnation == place.Incarnation && known.Leaving:
		return quarantine.ContactLeaving
	case known != nil && known.incarnation > place.Incarnation:
		return quarantine.ContactReplaced
	case holder != nil && holder.name != place.Upstream && known != nil && holder.Heard.After(known.Heard):
		return quarantine.ContactReplaced
	default:
		return quarantine.ContactNone
	}
}

// followQuarantine takes in news of requests in quarantine, nil if there are none.
func (c *Counter) followQuarantine(news *quarantine.News) {
	if news == nil {
		return
	}
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Follow(now, *news)
	c.wakeReporter()
}

// isQuarantined reports whether a request must not be sent.
func (c *Counter) isQuarantined(digest quarantine.Digest) bool {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch.Holds(now, digest)
}

// whyQuarantined is what a caller is told of a request in quarantine. It may not come
// back: the status is one that callers do not try again after.
const whyQuarantined = "upstreams end that run this request"

// refuseQuarantined answers a request that is in quarantine.
func (t *trip) refuseQuarantined(w http.ResponseWriter) {
	r := refusal{
		status: http.StatusBadRequest, why: whyQuarantined,
		reason: quarantine.Reason, outcome: outcome.NotRun, digest: t.digest,
	}
	if t.runs > 0 {
		r.status, r.outcome = http.StatusBadGateway, outcome.Unknown
	}
	t.counter.refuse(w, t.call, t.route, r)
}

// reportEvery is the time between two tries of a report.
const reportEvery = 100 * time.Millisecond

// reportTimeout bounds one try. The voters need some ms, or an election.
const reportTimeout = 1500 * time.Millisecond

// reportCrashes reports upstreams that ended under requests, until ctx ends.
func (c *Counter) reportCrashes(ctx context.Context) {
	for {
		select {
		case <-c.reportNow:
		case <-ctx.Done():
			return
		}
		var unsent quarantine.Update
		for pause.For(ctx, reportEvery) {
			now := c.options.Now()
			c.mu.Lock()
			update := c.watch.Due(now)
			pending := c.watch.IsPending()
			control := c.links.asked
			c.mu.Unlock()
			c.logCrashes(now, update)
			unsent = unsent.With(update).Newest(maxUnsent)
			if unsent.Empty() || c.report(ctx, control, unsent) {
				unsent = quarantine.Update{}
			}
			if !pending && unsent.Empty() {
				break
			}
		}
	}
}

// maxUnsent bounds the upstreams and requests of which reports wait for a control
// instance.
const maxUnsent = 256

// report tells a control instance, and returns whether it is recorded.
func (c *Counter) report(ctx context.Context, control string, update quarantine.Update) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := c.links.reports.Note(ctx, control, courier.NoteArgs{Update: update})
	if err != nil {
		c.options.Log.Debug().Err(err).Str("control", control).Msg("crashes not reported")
	}
	return err == nil && reply.Recorded
}

// logCrashes tells of each request that an upstream had as it ended.
func (c *Counter) logCrashes(now time.Time, update quarantine.Update) {
	for _, report := range update.Reports {
		for _, suspect := range report.Suspects {
			event := c.logLine(now, "upstream ended")
			if event == nil {
				continue
			}
			event.Str("request", suspect.Request).Str("digest", suspect.Digest.Short()).
				Str("upstream", report.Upstream).Bool("answering", suspect.Answering).
				Int("requests", len(report.Suspects)).Msg("the upstream ended while it had the request")
		}
	}
}
