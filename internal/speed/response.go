package speed

import (
	"math"
	"time"
)

const (
	// decodePriorSamples is the weight of the prior of a service's event time, modelDecodePriorSamples
	// that of a model's, which is the estimate over all models.
	decodePriorSamples      = 4
	modelDecodePriorSamples = 2
	// decodeWindowSamples is the number of samples after which an older one counts 1/e in the mean
	// event times, and factorWindowSamples the same for the mean factor.
	decodeWindowSamples = 100
	factorWindowSamples = 50
	// minEvents is the number of events from which the time between events is measured.
	minEvents = 3
	// prefillPart is the part of the prefill ratio in the ratio of a response. The time to the first
	// event also contains queueing, the network path and the rest of a decode step, so it counts less
	// and differs from the ratio of the decode times by maxPrefillDifference at most.
	prefillPart          = 0.3
	maxPrefillDifference = 1.5
	// maxModelRatio bounds the event time of a model against that of all models.
	maxModelRatio = 4
)

// Response holds the measured times of one complete response.
type Response struct {
	Model                      string
	PromptTokens, AnswerTokens int
	// FirstEvent is the time to the first event without the prefill of earlier prompts, Total the time
	// that the engine had the request, and Streaming the time from the first of the events to the last.
	FirstEvent, Total, Streaming time.Duration
	Events                       int
}

// references are the times of the mean engine to which those of an engine are related.
type references struct {
	// allModels and models are the means of the logarithm of the seconds between two events, over all
	// models and for each.
	allModels logMean
	models    map[string]*logMean
	// factors is the mean of the logarithm of the engines' factors. Observations are divided by an
	// engine's factor over this mean: otherwise all factors could rise while the estimates fall.
	factors logMean
}

// logMean is a mean of logarithms with exponential forgetting.
type logMean struct {
	mean, weight float64
}

func (m *logMean) observe(value, window float64) {
	m.weight = m.weight*(1-1/window) + 1
	m.mean += (value - m.mean) / m.weight
}

// ObserveResponse records a response of an engine with the given factor as if the mean engine had sent
// it. It returns the ratio of its times to the estimated ones of the mean engine, 0 if the response has
// no usable times.
func (e *Estimator) ObserveResponse(factor float64, r Response) float64 {
	if !ValidFactor(factor) || r.Total <= 0 {
		return 0
	}
	ratio := e.ratio(r)
	e.references.factors.observe(math.Log(factor), factorWindowSamples)
	scale := factor / math.Exp(e.references.factors.mean)
	normalized := func(d time.Duration) time.Duration { return time.Duration(float64(d) / scale) }
	e.ObservePrefill(r.Model, r.PromptTokens, normalized(r.FirstEvent))
	e.ObserveRequest(normalized(r.Total))
	if r.hasEventTime() {
		e.observeEventTime(r.Model, r.logEventTime()-math.Log(scale))
		// The low quantile over all models would be that of the fastest ones.
		e.observeGap(math.Exp(r.logEventTime()) / scale / e.modelRatio(r.Model))
	}
	if r.AnswerTokens > 0 && r.Streaming > 0 {
		e.observeAnswer(r.AnswerTokens, normalized(r.Streaming))
	}
	return ratio
}

// hasEventTime reports whether the time between the response's events is known.
func (r Response) hasEventTime() bool {
	return r.Events >= minEvents && r.Streaming > 0
}

func (r Response) logEventTime() float64 {
	return math.Log(r.Streaming.Seconds() / float64(r.Events-1))
}

// ratio returns the ratio of the times of a response to the estimated ones, 0 if it has no usable
// times.
func (e *Estimator) ratio(r Response) float64 {
	hasPrefill := r.PromptTokens > 0 && r.FirstEvent > 0
	prefill := 0.0
	if hasPrefill {
		prefill = math.Log(r.FirstEvent.Seconds() / e.firstEventSeconds(r.Model, r.PromptTokens))
	}
	switch {
	case r.hasEventTime():
		decode := r.logEventTime() - e.modelEventTime(r.Model)
		if hasPrefill {
			limit := math.Log(maxPrefillDifference)
			decode += prefillPart * min(max(prefill-decode, -limit), limit)
		}
		return math.Exp(decode)
	case hasPrefill:
		return math.Exp(min(prefill, math.Log(maxOutlierRatio)))
	default:
		return 0
	}
}

// firstEventSeconds returns the estimated time to the first event.
func (e *Estimator) firstEventSeconds(model string, promptTokens int) float64 {
	prefill := e.models[model]
	if prefill == nil {
		prefill = &e.allModels
	}
	slope, intercept := prefill.fit()
	return slope*float64(promptTokens) + intercept
}

// modelEventTime returns the logarithm of the mean seconds between two events of a model.
func (e *Estimator) modelEventTime(model string) float64 {
	if known := e.references.models[model]; known != nil {
		return known.mean
	}
	return e.references.allModels.mean
}

// observeEventTime records the logarithm of the seconds between two events, limited like the estimate
// over all models.
func (e *Estimator) observeEventTime(model string, value float64) {
	prior, limit := math.Log(e.priorEventTime.Seconds()), math.Log(maxPriorRatio)
	value = min(max(value, prior-limit), prior+limit)
	known := e.references.models[model]
	if e.references.models == nil {
		e.references.models = map[string]*logMean{}
	}
	if known == nil {
		known = &logMean{mean: e.references.allModels.mean, weight: modelDecodePriorSamples}
		e.references.models[model] = known
	}
	known.observe(value, decodeWindowSamples)
	e.references.allModels.observe(value, decodeWindowSamples)
}

// modelRatio returns the ratio of the time between two events of a model to that of all models.
func (e *Estimator) modelRatio(model string) float64 {
	limit := math.Log(maxModelRatio)
	return math.Exp(min(max(e.modelEventTime(model)-e.references.allModels.mean, -limit), limit))
}

// ModelEventInterval returns the estimated time between two events of a model's stream on the mean
// engine while it prefills few prompts. It is not related to EventInterval unless the service's
// responses are recorded by ObserveResponse.
func (e *Estimator) ModelEventInterval(model string) time.Duration {
	return time.Duration(e.eventSeconds * e.modelRatio(model) * float64(time.Second))
}
