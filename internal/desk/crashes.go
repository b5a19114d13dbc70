package desk

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// digestOf returns the digest of a caller's request. Callers are told apart by what they
// authenticate with.
func digestOf(r *http.Request, body []byte) quarantine.Digest {
	return quarantine.Identity{
		Caller: r.Header.Get("Authorization"), Method: r.Method, Target: r.URL.RequestURI(), Body: body,
	}.Digest()
}

// place returns where a trip leads.
func (d *Desk) place(trip *trip) quarantine.Place {
	chosen := &trip.decision.Chosen
	lifetime := quarantine.Lifetime{Upstream: chosen.Name}
	if known, found := d.options.Instance.Upstream(chosen.Name); found {
		lifetime.Incarnation = known.Announcement.Incarnation
	}
	return quarantine.Place{Lifetime: lifetime, Address: chosen.Address}
}

// visit is one request at one upstream.
type visit struct {
	place   quarantine.Place
	suspect quarantine.Suspect
}

func (d *Desk) visit(task task, trip *trip) visit {
	return visit{place: d.place(trip), suspect: quarantine.Suspect{Digest: task.digest, Request: task.id}}
}

// noteAttempt notes an attempt that brought no answer.
func (d *Desk) noteAttempt(ctx context.Context, v visit, err error) {
	var failure *shuttle.Error
	switch {
	case !errors.As(err, &failure) || failure.Refused:
	case failure.Outcome == outcome.NotRun:
		d.options.Coroner.Failed(v.place, err)
	case errors.Is(ctx.Err(), context.Canceled):
		d.options.Coroner.Left(v.place, v.suspect)
	default:
		v.suspect.Answering = errors.Is(err, shuttle.ErrCutOff)
		d.options.Coroner.Broke(v.place, v.suspect)
	}
}

// noteRelay notes how the relay of an answer ended.
func (d *Desk) noteRelay(v visit, status int, err error) {
	var cutOff *shuttle.Error
	switch {
	case err == nil:
		d.options.Coroner.Succeeded(v.suspect.Digest, status)
	case errors.As(err, &cutOff):
		v.suspect.Answering = true
		d.options.Coroner.Broke(v.place, v.suspect)
	default:
		d.options.Coroner.Left(v.place, v.suspect)
	}
}

// refuseQuarantined returns the answer to a request that is in quarantine, of which
// nothing was sent.
func (d *Desk) refuseQuarantined(task task) *RefusalError {
	d.options.Log.Info().Str("request", task.id).Stringer(quarantine.FieldDigest, task.digest).Msg("request in quarantine refused")
	return &RefusalError{
		Status:  http.StatusUnprocessableEntity,
		Code:    CodeQuarantined,
		Message: "upstreams end that run this request; it is not sent on",
		Outcome: outcome.NotRun,
	}
}
