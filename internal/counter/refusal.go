package counter

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// refusal is an answer of the system's own.
type refusal struct {
	status int
	// why is one of a few texts, since refusals are counted by it.
	why string
	// reason is told to the caller's program, with outcome, empty if there is none.
	reason  string
	outcome outcome.Outcome
	// digest is that of a request in quarantine.
	digest quarantine.Digest
	// comeBack is when the caller may come back, 0 if it does not help.
	comeBack time.Duration
	// forecast is how long the request would have waited, if that is why.
	forecast time.Duration
	// held is how long the request was held, and survey what the upstreams that hold its
	// model lacked, if it found none.
	held   time.Duration
	survey *survey
	// owner is the instance that was asked for a place last, not valid if none was.
	owner netip.AddrPort
}

// refuse gives a caller an answer of the system's own. route may be nil.
func (c *Counter) refuse(w http.ResponseWriter, call Call, route *routes.Route, r refusal) {
	header := w.Header()
	if r.comeBack > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.comeBack.Seconds(), 'f', 3, 64))
	}
	if r.reason != "" {
		header.Set(quarantine.ReasonHeader, r.reason)
		header.Set(outcome.Header, r.outcome.String())
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.mu.Lock()
	c.metrics.refused(r.why)
	c.mu.Unlock()
	c.logRefusal(call, route, r)
	w.WriteHeader(r.status)
	// A caller that has gone does not read it.
	_, _ = io.WriteString(w, r.why+"\n")
}

func (c *Counter) logRefusal(call Call, route *routes.Route, r refusal) {
	event := c.logLine(c.options.Now(), r.why)
	if event == nil {
		return
	}
	if route != nil {
		event = event.Str("route", route.Name).Uint8("priority", route.Priority)
	} else {
		event = c.withRoutes(event)
	}
	if r.survey != nil {
		event = event.Dur("held", r.held).Object("upstreams", *r.survey)
	}
	if r.owner.IsValid() {
		event = event.Stringer("placed-by", r.owner)
	}
	if r.reason != "" {
		event = event.Stringer(quarantine.FieldDigest, r.digest)
	}
	if r.forecast > 0 {
		event = event.Dur("forecast", r.forecast)
	}
	event.Str("request", call.ID).Int("status", r.status).Str("reason", r.why).Dur("retry-after", r.comeBack).
		Str("model", call.Model).Str("adapter", call.Adapter).Msg("request not served")
}

// withRoutes adds what is known of the routes by which a request found none.
func (c *Counter) withRoutes(event *zerolog.Event) *zerolog.Event {
	if table := c.table.Load(); table != nil {
		event = event.Uint64("routes-version", table.Version)
	}
	c.mu.Lock()
	proof := c.links.proof
	c.mu.Unlock()
	age, ok := proof.Age(c.options.Now())
	if !ok {
		return event.Bool("routes-proven", false)
	}
	return event.Bool("routes-proven", true).Dur("routes-proof-age", age).Str("routes-proven-by", proof.Voucher())
}
