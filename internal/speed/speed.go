// Package speed is the online estimation of service times: it estimates the prefill
// and decode speeds of a service's engines from the responses observed so far.
//
// Engine speeds differ by deployment and by service, and engines don't report them.
// Decisions based on a fixed speed leave a third of a faster engine idle, or make the
// streams of a slower one pause.
//
// It does no I/O and reads no clock: measurements go in, estimates come out.
package speed

import (
	"math"
	"time"
)

const (
	// priorPrefillTokensPerSecond is the prefill speed assumed before the first
	// measurement. One accelerator with a 70 GB model prefills 25,000 to 40,000 tokens a
	// second.
	priorPrefillTokensPerSecond = 26_000
	// priorDecodeStep is the duration of one decode step, which adds a token to each
	// answer, with the batch half full: 5 to 12 ms with the same models.
	priorDecodeStep = 10 * time.Millisecond
	// priorRequestTime is the time that a request with an answer of about 150 tokens spends
	// at an engine.
	priorRequestTime = 1500 * time.Millisecond
	// maxPriorRatio bounds the ratio of an estimate to its prior, in both directions. A
	// value beyond it is a measurement error.
	maxPriorRatio = 8
	// The prior of a regression is two samples, at prompts of priorPromptTokens minus and
	// plus priorPromptSpreadTokens.
	priorPromptTokens       = 1000
	priorPromptSpreadTokens = 500
	// priorSamples is the weight of each of the two prior samples of a service, in
	// measured samples. modelPriorSamples is the same for a model, whose prior is the
	// estimate for the service.
	priorSamples      = 20
	modelPriorSamples = 8
	// priorOverhead is the part of the time to the first token that is not prefill.
	priorOverhead = 15 * time.Millisecond
	// windowSamples is the number of samples after which an older one counts 1/e. They
	// arrive in a minute at one of sixty instances, in some seconds at one of six.
	windowSamples = 300
	// maxOutlierRatio caps a time to the first token relative to the expected one. A
	// longer time is mostly queueing at the engine and says little about its speed.
	maxOutlierRatio = 2.5
	// eventQuantile is the quantile of the time between two events of a stream that is
	// taken as the time without prefills in between. eventStepSize is the step of its
	// stochastic approximation, on a logarithmic scale.
	eventQuantile = 0.15
	eventStepSize = 0.04
	// meanWeight is the weight of one sample in the moving means.
	meanWeight = 0.02
)

// Estimator holds the estimates for the engines of one service. It is not safe for
// concurrent use.
type Estimator struct {
	// allModels estimates prefill over all models, and models for each model: prefill of
	// a larger model takes three times as long.
	allModels regression
	models    map[string]*regression
	// eventSeconds is the time between two events of a stream.
	eventSeconds   float64
	priorEventTime time.Duration
	// tokenSeconds is the answer time divided by the declared number of answer tokens.
	tokenSeconds float64
	// requestSeconds is the time that a request spends at an engine.
	requestSeconds float64
	// references are used and updated only by ObserveResponse.
	references references
}

// New returns an Estimator that holds the priors. tokensPerEvent is the number of tokens in
// one event of a stream, 0 if unknown.
func New(tokensPerEvent int) *Estimator {
	event := time.Duration(max(tokensPerEvent, 1)) * priorDecodeStep
	estimator := &Estimator{
		models: map[string]*regression{}, eventSeconds: event.Seconds(), priorEventTime: event,
		tokenSeconds: priorDecodeStep.Seconds(), requestSeconds: priorRequestTime.Seconds(),
	}
	estimator.references.allModels = logMean{mean: math.Log(event.Seconds()), weight: decodePriorSamples}
	estimator.allModels.addPrior(1.0/priorPrefillTokensPerSecond, priorOverhead.Seconds(), priorSamples)
	return estimator
}

// ObservePrefill records one prefill: the prompt's length in tokens, and the time from the
// start of the prefill to the first token.
func (e *Estimator) ObservePrefill(model string, promptTokens int, duration time.Duration) {
	if promptTokens <= 0 || duration <= 0 {
		return
	}
	e.allModels.observe(float64(promptTokens), duration.Seconds())
	prefill := e.models[model]
	if prefill == nil {
		// The prior of a model is the estimate over all models.
		prefill = &regression{}
		slope, intercept := e.allModels.fit()
		prefill.addPrior(slope, intercept, modelPriorSamples)
		e.models[model] = prefill
	}
	prefill.observe(float64(promptTokens), duration.Seconds())
}

// PrefillTime returns the estimated prefill time of a prompt. It stores nothing for a model
// that has no observation, because callers may name any model.
func (e *Estimator) PrefillTime(model string, promptTokens int) time.Duration {
	prefill := e.models[model]
	if prefill == nil {
		prefill = &e.allModels
	}
	slope, _ := prefill.fit()
	return time.Duration(float64(promptTokens) * slope * float64(time.Second))
}

// ObserveStream records a complete stream: the number of answer tokens that its request
// declared, the number of events, and the time from the first event to the last.
func (e *Estimator) ObserveStream(declaredTokens, events int, duration time.Duration) {
	if events < 2 || declaredTokens <= 0 || duration <= 0 {
		return
	}
	e.observeGap(duration.Seconds() / float64(events-1))
	e.observeAnswer(declaredTokens, duration)
}

// observeAnswer records the time of an answer.
func (e *Estimator) observeAnswer(declaredTokens int, duration time.Duration) {
	e.tokenSeconds += meanWeight * (min(duration.Seconds()/float64(declaredTokens), priorDecodeStep.Seconds()*maxPriorRatio) - e.tokenSeconds)
}

// observeGap records the seconds between two events of a stream.
func (e *Estimator) observeGap(gap float64) {
	if gap > e.eventSeconds {
		e.eventSeconds *= math.Exp(eventStepSize * eventQuantile)
	} else {
		e.eventSeconds *= math.Exp(-eventStepSize * (1 - eventQuantile))
	}
	e.eventSeconds = min(max(e.eventSeconds, e.priorEventTime.Seconds()/maxPriorRatio), e.priorEventTime.Seconds()*maxPriorRatio)
}

// ObserveRequest records the time that a request spent at an engine.
func (e *Estimator) ObserveRequest(duration time.Duration) {
	e.requestSeconds += meanWeight * (min(duration.Seconds(), priorRequestTime.Seconds()*maxPriorRatio) - e.requestSeconds)
}

// RequestTime returns the estimated time that a request spends at an engine.
func (e *Estimator) RequestTime() time.Duration {
	return time.Duration(e.requestSeconds * float64(time.Second))
}

// EventInterval returns the estimated time between two events of a stream while the engine
// prefills few prompts.
func (e *Estimator) EventInterval() time.Duration {
	return time.Duration(e.eventSeconds * float64(time.Second))
}

// AnswerTime returns the estimated time to generate the answer to a request that declared
// this number of answer tokens.
func (e *Estimator) AnswerTime(declaredTokens int) time.Duration {
	return time.Duration(float64(declaredTokens) * e.tokenSeconds * float64(time.Second))
}
