package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/speed"
)

// speedOf returns the speed estimate of a service's engines. p.mu is held.
func (p *Proxy) speedOf(service *routes.Service) *speed.Estimator {
	estimator := p.estimators[service.Name]
	if estimator == nil {
		estimator = speed.New(service.Engine.TokensPerEvent)
		p.estimators[service.Name] = estimator
	}
	return estimator
}

// estimateCost sets the pacing and the expected engine time of a request. p.mu is held.
func (p *Proxy) estimateCost(req *requirements) {
	estimator := p.speedByName(req.service)
	req.pacing = pacingFor(req.maxGap, estimator)
	req.prefillTime = estimator.PrefillTime(req.model, req.promptTokens)
	req.decodeTime = estimator.AnswerTime(req.outputTokens)
	if req.mixed {
		req.eventInterval = estimator.ModelEventInterval(req.model)
	}
}

// speedByName returns the speed estimate of a service by name, or the default estimate if no route
// in force uses the service.
func (p *Proxy) speedByName(service string) *speed.Estimator {
	if table := p.routes.Load(); table != nil {
		if known := table.Service(service); known != nil && known.Engine != nil {
			return p.speedOf(known)
		}
	}
	return speed.New(0)
}

// speedSample is a speed measurement from one complete response. The zero value holds no
// measurement.
type speedSample struct {
	// firstEvent is the time to the first event, less the prefill of earlier prompts. serviceTime
	// is the time the request spent at the engine.
	firstEvent  time.Duration
	serviceTime time.Duration
	// events is the number of events, and streaming the time from the first to the last.
	events    int
	streaming time.Duration
}

// measuredSpeed returns the measurement of a complete stream. It is empty if the request was sent
// more than once, because the times would include the other attempts.
func (t *transaction) measuredSpeed() speedSample {
	if t.group != "" {
		return speedSample{serviceTime: t.proxy.options.Now().Sub(t.timing.sent)}
	}
	if t.model == "" || t.sends != 1 {
		return speedSample{}
	}
	return speedSample{
		firstEvent: t.timing.firstChunk.Sub(t.timing.sent) - t.prefillAhead, serviceTime: t.timing.lastChunk.Sub(t.timing.sent),
		events: t.timing.chunks, streaming: t.timing.lastChunk.Sub(t.timing.firstChunk),
	}
}

// recordSpeed updates the speed estimate of a service with a measurement at an upstream. p.mu is held.
func (p *Proxy) recordSpeed(now time.Time, u *upstream, req *requirements, s speedSample) {
	estimator := p.estimators[req.service]
	if estimator == nil || s.serviceTime <= 0 {
		return
	}
	if req.mixed {
		p.runTimes.observe(req.modelKey(), s.serviceTime)
		p.recordEngineSpeed(now, u, req, s, estimator)
		return
	}
	estimator.ObservePrefill(req.model, req.promptTokens, s.firstEvent)
	estimator.ObserveRequest(s.serviceTime)
	estimator.ObserveStream(req.outputTokens, s.events, s.streaming)
}
