package quarantine

import (
	"slices"
	"time"
)

// The weights of a crash against a request. Most requests at an upstream that ends are
// in the middle of their answers; one that crashes the upstream has mostly just begun.
const (
	weightSilent    = 2
	weightAnswering = 1
)

func (c Crash) weight() int {
	if c.Answering {
		return weightAnswering
	}
	return weightSilent
}

// verdict is what follows from the records for one request.
type verdict uint8

const (
	// verdictNone: the request is sent like any other.
	verdictNone verdict = iota
	// verdictSuspected: one crash more, and the request is quarantined.
	verdictSuspected
	// verdictQuarantined: the request is not sent.
	verdictQuarantined
)

// blame returns the weight of the crashes that count against a request, of which needed
// would bring it into quarantine.
func (c Case) blame(ends map[Lifetime]standing, needed int) int {
	own, blame := c.weight(), 0
	var counted []Crash
	for _, crash := range c.Crashes {
		most := ends[crash.Lifetime]
		if most.weight != own || most.count > 1 && own < certainty*needed {
			continue
		}
		if c.isSameOutage(crash, counted, ends) {
			continue
		}
		counted = append(counted, crash)
		blame += crash.weight()
	}
	return blame
}

// outageTime is how far apart upstreams end that one cause takes down, such as the loss
// of a failure domain.
const outageTime = time.Second

// isSameOutage reports whether a crash has the cause of one that is counted already: both
// are of an outage that took down others as well. A request that is repeated at once may
// be at several of the upstreams of an outage.
func (c Case) isSameOutage(crash Crash, counted []Crash, ends map[Lifetime]standing) bool {
	isNear := func(other Crash) bool { return crash.At.Sub(other.At).Abs() <= outageTime }
	if !slices.ContainsFunc(counted, isNear) {
		return false
	}
	for lifetime, end := range ends {
		wasThere := slices.ContainsFunc(c.Crashes, func(own Crash) bool { return own.Lifetime == lifetime })
		if !wasThere && !end.isExplained() && crash.At.Sub(end.at).Abs() <= outageTime {
			return true
		}
	}
	return false
}

// weight returns the weight of all crashes at which the request was.
func (c Case) weight() int {
	total := 0
	for _, crash := range c.Crashes {
		total += crash.weight()
	}
	return total
}

// standing is the most weight that a request has which was at an upstream as that
// ended, how many requests have as much, and when it ended.
type standing struct {
	weight int
	count  int
	at     time.Time
}

func (s standing) with(weight int, at time.Time) standing {
	if s.at.IsZero() || at.Before(s.at) {
		s.at = at
	}
	switch {
	case weight > s.weight:
		s.weight, s.count = weight, 1
	case weight == s.weight:
		s.count++
	}
	return s
}

// isExplained reports whether a request was there that has been at other crashes.
func (s standing) isExplained() bool {
	return s.weight > weightSilent
}

// certainty is how many times the weight that is needed two requests have that were at
// the same crashes, before both are held responsible. Below it the next crash shows which
// of them it was.
const certainty = 2

// judge returns what follows for each request that is suspected or quarantined.
func (r Records) judge(now time.Time, limits Limits) map[Digest]verdict {
	limits = limits.withDefaults()
	ends := map[Lifetime]standing{}
	for _, c := range r.cases {
		weight := c.weight()
		for _, crash := range c.Crashes {
			ends[crash.Lifetime] = ends[crash.Lifetime].with(weight, crash.At)
		}
	}
	verdicts := map[Digest]verdict{}
	for digest, c := range r.cases {
		needed := limits.Crashes * weightSilent
		blame := c.blame(ends, needed)
		switch {
		case blame >= needed && now.Sub(c.last()) < limits.Retention:
			verdicts[digest] = verdictQuarantined
		case c.weight() >= needed-weightSilent:
			verdicts[digest] = verdictSuspected
		}
	}
	return verdicts
}
