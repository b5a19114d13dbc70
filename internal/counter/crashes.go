package counter

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// newCoroner returns what looks for upstreams that end under requests.
func (c *Counter) newCoroner() *coroner.Coroner {
	return coroner.New(coroner.Options{
		Contact: func(place quarantine.Place) quarantine.Contact {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.fleet.contact(place)
		},
		Report:  c.reportCrashes,
		Line:    func(kind string) *zerolog.Event { return c.logLine(c.options.Now(), kind) },
		Now:     c.options.Now,
		Metrics: c.metrics.scope,
	})
}

// reportCrashes has a control instance record an update, and returns whether it has.
func (c *Counter) reportCrashes(ctx context.Context, update quarantine.Update) bool {
	c.mu.Lock()
	control := c.links.asked
	c.mu.Unlock()
	reply, err := c.links.reports.Note(ctx, control, courier.NoteArgs{Update: update})
	if err != nil {
		c.options.Log.Debug().Err(err).Str("control", control).Msg("crashes not reported")
	}
	return err == nil && reply.Recorded
}

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
	place := a.upstream.place()
	if a.reached.Load() {
		t.counter.coroner.Broke(place, t.suspect(a))
	}
	t.counter.coroner.Failed(place, cause)
}

// noteLeft notes that the caller left while its request was at an upstream.
func (t *trip) noteLeft(a *sending) {
	if a.reached.Load() {
		t.counter.coroner.Left(a.upstream.place(), t.suspect(a))
	}
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

// whyQuarantined is what a caller is told of a request in quarantine.
const whyQuarantined = "upstreams end that run this request"

// refuseQuarantined answers a request that is in quarantine. The status is one that
// callers do not try again after.
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
