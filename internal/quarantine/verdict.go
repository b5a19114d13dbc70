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

// verdicts are the decisions on all cases.
type verdicts struct {
	// quarantined are the groups whose requests are not sent.
	quarantined []group
	// suspected are the cases that one more crash may bring into quarantine, sorted by digest.
	suspected []Digest
	// probation are the requests of which one copy is sent at a time.
	probation []Digest
}

// blame returns the weight of the crashes that count against a group. needed is the
// blame that brings it into quarantine. A crash counts only if nothing else that the
// upstream had has more weight. If another group has the same weight, the crash counts only if
// both may be responsible.
func (g group) blame(summaries map[Lifetime]crashSummary, needed int) int {
	own, blame := g.heaviest.weight(), 0
	var counted []Crash
	for _, crash := range g.heaviest.Crashes {
		summary := summaries[crash.Lifetime]
		if summary.maxWeight != own || summary.groups > 1 && !g.mayBeJoint(needed) {
			continue
		}
		if g.isSameOutage(crash, counted, summaries) {
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

// outageShare is the smallest share of the upstreams that end at the same time and of which
// nothing else explains the end, if parts of prompts were at the others by chance.
const outageShare = 0.25

// isSameOutage reports whether a crash has the same cause as one that is already counted.
// This is assumed if an upstream without the group ended at the same time, and that
// crash isn't attributable to a request of its own. A caller that sends a request several
// times at once may have it at several upstreams that an outage ends. Of a part, which different
// requests have, it is assumed only if outageShare of the upstreams ended so: the reports of
// several instances on one upstream arrive one after the other.
func (g group) isSameOutage(crash Crash, counted []Crash, summaries map[Lifetime]crashSummary) bool {
	isNear := func(other Crash) bool { return crash.At.Sub(other.At).Abs() <= outageWindow }
	if !slices.ContainsFunc(counted, isNear) {
		return false
	}
	involved, unexplained := 0, 0
	for lifetime, summary := range summaries {
		switch {
		case crash.At.Sub(summary.at).Abs() > outageWindow:
		case slices.ContainsFunc(g.heaviest.Crashes, func(own Crash) bool { return own.Lifetime == lifetime }):
			involved++
		case !summary.isAttributable():
			unexplained++
		}
	}
	if g.part {
		return float64(unexplained) >= outageShare*float64(involved+unexplained)
	}
	return unexplained > 0
}

// certaintyCrashes is the number of crashes beyond those that bring parts of prompts into
// quarantine from which on it may be certain that they cause them.
const certaintyCrashes = 2

// isCertain reports whether there are enough crashes to be certain of a group, and whether all that
// bears on them is known. Parts that many prompts share may be at some crashes by chance.
func (r Records) isCertain(now time.Time, g group, limits Limits) bool {
	if !g.part {
		return true
	}
	if now.Sub(g.heaviest.last()) < quietTime {
		return false
	}
	crashes := len(g.heaviest.Crashes)
	return crashes >= limits.Crashes+certaintyCrashes && crashes-r.doubtfulCrashes(g) >= limits.Crashes
}

// doubtfulCrashes returns the number of crashes of a group that something else may have caused:
// what was at other crashes, too.
func (r Records) doubtfulCrashes(g group) int {
	own, doubtful := map[Lifetime]bool{}, map[Lifetime]bool{}
	for _, crash := range g.heaviest.Crashes {
		own[crash.Lifetime] = true
	}
	isElsewhere := func(crash Crash) bool { return !own[crash.Lifetime] }
	for _, c := range r.cases {
		if len(c.Crashes) < 2 || !slices.ContainsFunc(c.Crashes, isElsewhere) {
			continue
		}
		for _, crash := range c.Crashes {
			if own[crash.Lifetime] {
				doubtful[crash.Lifetime] = true
			}
		}
	}
	return len(doubtful)
}

// weight returns the total weight of the crashes of the case.
func (c Case) weight() int {
	sum := 0
	for _, crash := range c.Crashes {
		sum += crash.weight()
	}
	return sum
}

// crashSummary holds the largest weight of a case that an upstream had when it ended, the
// number of groups with that weight if it is enough for quarantine, and the time of the crash.
type crashSummary struct {
	maxWeight int
	groups    int
	at        time.Time
}

func (s crashSummary) with(weight int, at time.Time) crashSummary {
	if s.at.IsZero() || at.Before(s.at) {
		s.at = at
	}
	s.maxWeight = max(s.maxWeight, weight)
	return s
}

// isAttributable reports whether the upstream had something that was also involved in
// other crashes and may have caused this one.
func (s crashSummary) isAttributable() bool {
	return s.maxWeight > weightNoOutput
}

// jointBlameFactor is the multiple of the needed weight at which two groups that were
// involved in the same crashes are both held responsible. Below it, the next crash may
// show which one causes them.
const jointBlameFactor = 2

// mayBeJoint reports whether the group is held responsible beside another one of the same weight.
// Parts are not: one that many prompts share may be at every crash that another one causes.
func (g group) mayBeJoint(needed int) bool {
	return !g.part && g.heaviest.weight() >= jointBlameFactor*needed
}

// judge returns the verdicts.
func (r Records) judge(now time.Time, limits Limits) verdicts {
	limits = limits.withDefaults()
	needed := limits.Crashes * weightNoOutput
	summaries := map[Lifetime]crashSummary{}
	var candidates []Case
	var judged verdicts
	for digest, c := range r.cases {
		weight := c.weight()
		for _, crash := range c.Crashes {
			summaries[crash.Lifetime] = summaries[crash.Lifetime].with(weight, crash.At)
		}
		if weight >= needed {
			candidates = append(candidates, c)
		}
		if weight >= needed-weightNoOutput {
			judged.suspected = append(judged.suspected, digest)
		}
		if c.isOnProbation(now) {
			judged.probation = append(judged.probation, digest)
		}
	}
	groups := groupCases(candidates)
	countGroups(groups, summaries)
	for _, g := range groups {
		if g.blame(summaries, needed) >= needed && now.Sub(g.heaviest.last()) < limits.Retention {
			g.certain = r.isCertain(now, g, limits)
			judged.quarantined = append(judged.quarantined, g)
		}
	}
	judged.suspected = slices.DeleteFunc(judged.suspected, judged.isQuarantined)
	slices.SortFunc(judged.suspected, compareDigests)
	slices.SortFunc(judged.probation, compareDigests)
	return judged
}

// countGroups records in the summary of each crash how many groups have its largest weight.
func countGroups(groups []group, summaries map[Lifetime]crashSummary) {
	for _, g := range groups {
		weight := g.heaviest.weight()
		for _, crash := range g.heaviest.Crashes {
			if summary := summaries[crash.Lifetime]; summary.maxWeight == weight {
				summary.groups++
				summaries[crash.Lifetime] = summary
			}
		}
	}
}

// isQuarantined reports whether a digest belongs to a group in quarantine.
func (v verdicts) isQuarantined(digest Digest) bool {
	return slices.ContainsFunc(v.quarantined, func(g group) bool { return slices.Contains(g.digests, digest) })
}
