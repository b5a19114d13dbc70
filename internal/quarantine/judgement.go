package quarantine

import "time"

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
func (c Case) blame(heaviest map[Lifetime]standing, needed int) int {
	own, blame := c.weight(), 0
	for _, crash := range c.Crashes {
		most := heaviest[crash.Lifetime]
		if most.weight == own && (most.count == 1 || own >= certainty*needed) {
			blame += crash.weight()
		}
	}
	return blame
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
// ended, and how many requests have as much.
type standing struct {
	weight int
	count  int
}

func (s standing) with(weight int) standing {
	switch {
	case weight > s.weight:
		return standing{weight: weight, count: 1}
	case weight == s.weight:
		s.count++
	}
	return s
}

// certainty is how many times the weight that is needed two requests have that were at
// the same crashes, before both are held responsible. Below it the next crash shows which
// of them it was.
const certainty = 2

// judge returns what follows for each request that is suspected or quarantined.
func (r Records) judge(now time.Time, limits Limits) map[Digest]verdict {
	limits = limits.withDefaults()
	heaviest := map[Lifetime]standing{}
	for _, c := range r.cases {
		weight := c.weight()
		for _, crash := range c.Crashes {
			heaviest[crash.Lifetime] = heaviest[crash.Lifetime].with(weight)
		}
	}
	verdicts := map[Digest]verdict{}
	for digest, c := range r.cases {
		needed := limits.Crashes * weightSilent
		blame := c.blame(heaviest, needed)
		switch {
		case blame >= needed && now.Sub(c.last()) < limits.Retention:
			verdicts[digest] = verdictQuarantined
		case c.weight() >= needed-weightSilent:
			verdicts[digest] = verdictSuspected
		}
	}
	return verdicts
}
