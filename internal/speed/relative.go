package speed

import (
	"math"
	"time"

	"github.com/lovagelift/lovagelift/internal/decay"
)

const (
	// MinFactor is the least factor of an engine. A lower value is a measurement error.
	MinFactor = 0.25
	// MaxFactor is the largest factor of an engine. One that is slower gets requests only if there is no
	// other, whatever its factor.
	MaxFactor = 4
	// relativeSamples is the number of samples kept. A change of speed becomes the median after more
	// than half of them: callers should not meet a slower engine for longer than five responses, and
	// four outliers in a row must not look like one.
	relativeSamples = 9
	// relativeHalfLife is the time in which the weight of a sample halves. An engine that gets no
	// requests because of its factor is tried again some half-lives later.
	relativeHalfLife = 10 * time.Second
	// meanFactorSamples is the weight, in samples, of the assumption that an engine is as fast as the
	// mean.
	meanFactorSamples = 0.5
	// maxReportSamples bounds the weight of another instance's report, so that own samples of as
	// many responses prevail.
	maxReportSamples = 4
)

// Relative estimates the factor of one engine's times against those of the mean engine of its
// service: 1 is the mean, 2 is twice as slow. The zero value has the factor 1. It is not safe for
// concurrent use.
type Relative struct {
	// samples are the latest own samples, of which the one at next is replaced next.
	samples [relativeSamples]factorSample
	next    int
	// own is the weighted median of samples, and spread their weighted mean distance from it, both as
	// logarithms.
	own    factorSample
	spread float64
	// reported is the latest report of another instance.
	reported factorSample
}

// factorSample is a factor with the weight that it had at a given time.
type factorSample struct {
	// log is the logarithm of the factor.
	log    float64
	weight float64
	at     time.Time
}

// weightAt returns the weight at now.
func (s factorSample) weightAt(now time.Time) float64 {
	if s.weight == 0 {
		return 0
	}
	return s.weight * decay.HalfLife(now.Sub(s.at), relativeHalfLife)
}

// ValidFactor reports whether a factor is finite and above 0.
func ValidFactor(factor float64) bool {
	return factor > 0 && !math.IsInf(factor, 1)
}

// Observe records the ratio of a response's times to those of the mean engine. It ignores a ratio
// that is not finite or not above 0.
func (r *Relative) Observe(now time.Time, ratio float64) {
	if !ValidFactor(ratio) {
		return
	}
	r.samples[r.next] = factorSample{log: logFactor(ratio), weight: 1, at: now}
	r.next = (r.next + 1) % relativeSamples
	r.updateMedian(now)
}

// ObserveReport records the factor that another instance has learned from its own samples. It ignores
// a factor that is not finite or not above 0.
func (r *Relative) ObserveReport(now time.Time, factor float64, samples int) {
	if ValidFactor(factor) && samples > 0 {
		r.reported = factorSample{log: logFactor(factor), weight: float64(min(samples, maxReportSamples)), at: now}
	}
}

func logFactor(factor float64) float64 {
	return math.Log(min(max(factor, MinFactor), MaxFactor))
}

// updateMedian sets the weighted median of the samples. Queueing and prompts of other streams lengthen
// single responses, which would shift a mean.
func (r *Relative) updateMedian(now time.Time) {
	var sorted [relativeSamples]factorSample
	count, total := 0, 0.0
	for _, s := range r.samples {
		s.weight = s.weightAt(now)
		if s.weight == 0 {
			continue
		}
		total += s.weight
		at := count
		for ; at > 0 && sorted[at-1].log > s.log; at-- {
			sorted[at] = sorted[at-1]
		}
		sorted[at] = s
		count++
	}
	r.own = factorSample{weight: total, at: now}
	below := 0.0
	for _, s := range sorted[:count] {
		r.own.log = s.log
		if below += s.weight; below >= total/2 {
			break
		}
	}
	distance := 0.0
	for _, s := range sorted[:count] {
		distance += s.weight * math.Abs(s.log-r.own.log)
	}
	r.spread = distance / total
}

// Factor returns the factor at now. It returns to 1 as the samples age.
func (r *Relative) Factor(now time.Time) float64 {
	own, reported := r.own.weightAt(now), r.reported.weightAt(now)
	if own+reported == 0 {
		return 1
	}
	return math.Exp((own*r.own.log + reported*r.reported.log) / (own + reported + meanFactorSamples))
}

// Own returns the factor by own samples alone, without the assumption that an engine is as fast as
// the mean, and the number of samples that it is worth at now.
func (r *Relative) Own(now time.Time) (factor float64, samples int) {
	return math.Exp(r.own.log), int(math.Round(r.own.weightAt(now)))
}

// Spread returns the ratio by which the own samples differ from their median on average, 1 if they
// do not differ.
func (r *Relative) Spread() float64 {
	return math.Exp(r.spread)
}

// LastSample returns the time of the latest own sample. It is zero if there is none.
func (r *Relative) LastSample() time.Time {
	return r.own.at
}

// Age returns the time since the latest own sample or report, and false if there is none.
func (r *Relative) Age(now time.Time) (time.Duration, bool) {
	latest := r.own.at
	if r.reported.at.After(latest) {
		latest = r.reported.at
	}
	return max(now.Sub(latest), 0), !latest.IsZero()
}
