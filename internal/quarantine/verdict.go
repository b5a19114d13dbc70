package quarantine

import (
	"slices"
	"time"
)

// Weights of a crash against a request. When an upstream ends, most of its requests are
// in the middle of their responses, but a request that crashes it has usually just started.
const (
	weightNoOutput  = 2
	weightAnswering = 1
)

func (c Crash) weight() int {
	if c.Answering {
		return weightAnswering
	}
	return weightNoOutput
}

// verdict is the decision on one request.
type verdict uint8

const (
	// verdictNone means that the request is sent as usual.
	verdictNone verdict = iota
	// verdictSuspected means that one more crash may bring the request into quarantine.
	verdictSuspected
	// verdictQuarantined means that the request is not sent.
	verdictQuarantined
)

// blame returns the weight of the crashes that count against a request. needed is the
// blame that brings it into quarantine. A crash counts only if no other request of the
// upstream has more weight. If another one has the same weight, the crash counts only if
// that weight is at least jointBlameFactor times needed.
func (c Case) blame(summaries map[Lifetime]crashSummary, needed int) int {
	own, blame := c.weight(), 0
	var counted []Crash
	for _, crash := range c.Crashes {
		summary := summaries[crash.Lifetime]
		if summary.maxWeight != own || summary.count > 1 && own < jointBlameFactor*needed {
			continue
		}
		if c.isSameOutage(crash, counted, summaries) {
			continue
		}
		counted = append(counted, crash)
		blame += crash.weight()
	}
	return blame
}

// outageWindow is the largest difference between the times at which upstreams end by the
// same cause, such as the loss of a failure domain.
const outageWindow = time.Second

// isSameOutage reports whether a crash has the same cause as one that is already counted.
// This is assumed if an upstream without the request ended at the same time, and that
// crash isn't attributable to a request of its own. A caller that sends a request several
// times at once may have it at several upstreams that an outage ends.
func (c Case) isSameOutage(crash Crash, counted []Crash, summaries map[Lifetime]crashSummary) bool {
	isNear := func(other Crash) bool { return crash.At.Sub(other.At).Abs() <= outageWindow }
	if !slices.ContainsFunc(counted, isNear) {
		return false
	}
	for lifetime, summary := range summaries {
		involved := slices.ContainsFunc(c.Crashes, func(own Crash) bool { return own.Lifetime == lifetime })
		if !involved && !summary.isAttributable() && crash.At.Sub(summary.at).Abs() <= outageWindow {
			return true
		}
	}
	return false
}

// weight returns the total weight of the crashes in which the request was involved.
func (c Case) weight() int {
	sum := 0
	for _, crash := range c.Crashes {
		sum += crash.weight()
	}
	return sum
}

// crashSummary holds the largest weight among the requests that an upstream had when it
// ended, the number of requests with that weight, and the time of the crash.
type crashSummary struct {
	maxWeight int
	count     int
	at        time.Time
}

func (s crashSummary) with(weight int, at time.Time) crashSummary {
	if s.at.IsZero() || at.Before(s.at) {
		s.at = at
	}
	switch {
	case weight > s.maxWeight:
		s.maxWeight, s.count = weight, 1
	case weight == s.maxWeight:
		s.count++
	}
	return s
}

// isAttributable reports whether the upstream had a request that was also involved in
// other crashes and may have caused this one.
func (s crashSummary) isAttributable() bool {
	return s.maxWeight > weightNoOutput
}

// jointBlameFactor is the multiple of the needed weight at which two requests that were
// involved in the same crashes are both held responsible. Below it, the next crash may
// show which one causes them.
const jointBlameFactor = 2

// judge returns the verdicts on the requests that are suspected or quarantined.
func (r Records) judge(now time.Time, limits Limits) map[Digest]verdict {
	limits = limits.withDefaults()
	summaries := map[Lifetime]crashSummary{}
	for _, c := range r.cases {
		weight := c.weight()
		for _, crash := range c.Crashes {
			summaries[crash.Lifetime] = summaries[crash.Lifetime].with(weight, crash.At)
		}
	}
	verdicts := map[Digest]verdict{}
	for digest, c := range r.cases {
		needed := limits.Crashes * weightNoOutput
		blame := c.blame(summaries, needed)
		switch {
		case blame >= needed && now.Sub(c.last()) < limits.Retention:
			verdicts[digest] = verdictQuarantined
		case c.weight() >= needed-weightNoOutput:
			verdicts[digest] = verdictSuspected
		}
	}
	return verdicts
}
