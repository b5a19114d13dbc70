package counter

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// newCrashDetector returns the detector of upstreams that crash while running requests.
func (p *Proxy) newCrashDetector() *coroner.CrashDetector {
	return coroner.New(coroner.Options{
		Status: func(endpoint quarantine.Endpoint) quarantine.Status {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.pool.upstreamStatus(endpoint)
		},
		Report:      p.reportCrashes,
		NewLogEvent: func(kind string) *zerolog.Event { return p.logLine(p.options.Now(), kind) },
		AllowTrial:  p.allowTrial,
		EndTrial:    p.endTrial,
		Probation:   true,
		Dial:        p.dialUpstream,
		Now:         p.options.Now,
		Metrics:     p.metrics.scope,
	})
}

// reportCrashes sends a quarantine update to a control instance and reports whether it was
// recorded.
func (p *Proxy) reportCrashes(ctx context.Context, update quarantine.Update) bool {
	now := p.options.Now()
	p.mu.Lock()
	address := p.control.current
	var undecided bool
	reported := len(update.Reports)
	update.Reports, undecided = p.pool.confirmCrashes(now, update.Reports)
	p.mu.Unlock()
	if undecided {
		p.logLine(now, "crash undecided").Int("upstreams", reported-len(update.Reports)).
			Msg("crash reports held back while the path to the service may be lost")
	}
	if update.Empty() {
		return !undecided
	}
	reply, err := p.control.reportCalls.UpdateQuarantine(ctx, address, courier.NoteArgs{Update: update})
	if err != nil {
		p.options.Log.Debug().Err(err).Str("control", address).Msg("cannot send crash reports to the control instance")
	}
	return err == nil && reply.Recorded && !undecided
}

// confirmCrashes returns the reports of upstreams that have crashed, and whether others are
// undecided yet. If this instance loses its path to a service, all upstreams of the service seem to
// crash together. Those from which an announcement still arrives have not.
func (p *upstreamPool) confirmCrashes(now time.Time, reports []quarantine.Report) (crashed []quarantine.Report, undecided bool) {
	for _, report := range reports {
		u := p.process(report.Upstream, report.Incarnation)
		switch {
		case u == nil || !p.isAvailable(now, u) || !p.isServiceLost(now, u.service):
			crashed = append(crashed, report)
		case !u.path.IsRefuted(u.LastContact):
			undecided = true
		}
	}
	return crashed, undecided
}

func digestOf(r *http.Request, workspace string, body []byte) quarantine.Digest {
	return quarantine.Identity{
		Caller: workspace, Method: r.Method, Host: hostOf(r), Target: r.URL.RequestURI(), Body: body,
	}.Digest()
}

// partsOf returns the digests of the parts of a prompt.
func partsOf(call Call) []quarantine.Digest {
	parts := make([]quarantine.Digest, 0, len(call.PromptParts))
	for _, id := range call.PromptParts {
		parts = append(parts, quarantine.PartDigest(id))
	}
	return parts
}

func (t *transaction) suspect(a *upstreamAttempt) quarantine.Suspect {
	suspect := quarantine.Suspect{Digest: t.digest, Request: t.call.ID, Parts: t.parts}
	switch {
	case !a.bodyStarted:
		return suspect
	case t.timing.firstChunk.IsZero():
		return suspect.WithAnswering(0)
	default:
		return suspect.WithAnswering(t.proxy.options.Now().Sub(t.timing.firstChunk))
	}
}

func (u *upstream) endpoint() quarantine.Endpoint {
	return quarantine.Endpoint{
		Lifetime: quarantine.Lifetime{Upstream: u.name, Incarnation: u.incarnation}, Address: u.address,
	}
}

// reportBroken reports a failed or incomplete response to the crash detector.
func (t *transaction) reportBroken(a *upstreamAttempt, cause error) {
	endpoint := a.upstream.endpoint()
	if a.mayHaveSent.Load() {
		t.proxy.crashes.Interrupted(endpoint, t.suspect(a))
	}
	t.proxy.crashes.ConnectionFailed(endpoint, cause)
}

// reportSuccess reports a complete response. One that ended with its connection proves that only
// later.
func (t *transaction) reportSuccess(a *upstreamAttempt, status int) {
	if a.framing == shuttle.UntilClose {
		t.proxy.crashes.Closed(a.upstream.endpoint(), t.suspect(a), status, t.parts...)
		return
	}
	t.admission.Completed()
	t.proxy.crashes.Succeeded(t.digest, status, t.parts...)
}

// reportCallerLeft reports that the caller disconnected while its request was at an upstream.
func (t *transaction) reportCallerLeft(a *upstreamAttempt) {
	if a.mayHaveSent.Load() {
		t.proxy.crashes.Abandoned(a.upstream.endpoint(), t.suspect(a))
	}
}

// upstreamStatus returns the state of an upstream for the crash detector.
func (p *upstreamPool) upstreamStatus(endpoint quarantine.Endpoint) quarantine.Status {
	known := p.byName[endpoint.Upstream]
	current := p.byAddress[endpoint.Address]
	switch {
	case known != nil && known.incarnation == endpoint.Incarnation && known.isLeaving():
		return quarantine.StatusLeaving
	case known != nil && known.incarnation > endpoint.Incarnation:
		return quarantine.StatusReplaced
	case current != nil && current.name != endpoint.Upstream && known != nil && current.LastContact.After(known.LastContact):
		return quarantine.StatusReplaced
	default:
		return quarantine.StatusUnknown
	}
}

// Texts sent to callers of quarantined and of suspected requests.
const (
	quarantinedText = "upstreams end that run this request"
	suspectedText   = "upstreams may end that run this request"
)

// refuseByRuling answers a quarantined request with a status that callers do not retry, and a
// suspected one with the time of a retry.
func (t *transaction) refuseByRuling(w http.ResponseWriter, ruling quarantine.Ruling) {
	r := refusal{
		status: http.StatusBadRequest, text: quarantinedText,
		reason: quarantine.Reason, outcome: outcome.NotRun, digest: t.digest,
	}
	if ruling.Suspected {
		r.status, r.text = http.StatusServiceUnavailable, suspectedText
		r.reason, r.retryAfter = quarantine.ReasonSuspected, quarantine.SuspectedRetryAfter
	}
	if ruling.Digests[0] != t.digest {
		r.parts = ruling.Digests
	}
	if t.possibleRuns > 0 {
		r.status, r.outcome, r.retryAfter = http.StatusBadGateway, outcome.Unknown, 0
	}
	t.proxy.refuse(w, t.call, t.route, r)
}
