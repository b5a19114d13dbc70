package concurrency

import (
	"slices"
	"time"
)

// Candidate is the state of an upstream that could run a request.
type Candidate struct {
	// InFlight is the number of requests there, and Limit how many there may be.
	InFlight, Limit int
	// Slots is the number of requests that the upstream runs at once, 0 if it is not known.
	Slots int
	// WorkTime is the time for a request that finds a free slot, 0 if it is not known.
	WorkTime time.Duration
	// FailureShare is the share of requests that fail, between 0 and 1.
	FailureShare float64
	// Avoided is true for a while after a refusal or repeated failures: other candidates are preferred.
	Avoided bool
}

// loadWeight is the weight of the used slots in the score of a candidate. It distributes requests
// evenly among upstreams whose work times differ by less than their spread.
const loadWeight = 0.25

// maxFailureShare bounds the share of failures that the score considers, so that it remains finite.
const maxFailureShare = 0.9

// hasRoom reports whether the candidate may receive a request now.
func (c Candidate) hasRoom() bool {
	return c.InFlight < c.Limit
}

// runTime returns the predicted time until the end of a request that is sent now.
func (c Candidate) runTime() time.Duration {
	return scale(c.WorkTime, queueFactor(c.Slots, c.InFlight+1))
}

// running returns how many requests the candidate may run at once.
func (c Candidate) running() int {
	if c.Slots > 0 {
		return min(c.Slots, c.Limit)
	}
	return c.Limit
}

// score returns the value by which candidates with room are compared, the lowest first. It is in
// proportion to the number of attempts that a request needs: failures are often faster than responses,
// and a candidate that fails would otherwise appear to be the least loaded.
func (c Candidate) score() float64 {
	work := max(c.WorkTime, time.Millisecond).Seconds() / (1 - min(c.FailureShare, maxFailureShare))
	return work * (queueFactor(c.Slots, c.InFlight+1) + loadWeight*float64(c.InFlight)/float64(max(c.Slots, 1)))
}

// Choose returns the index of the candidate that a request is sent to now: the one with room that is
// predicted to end it first. It returns -1 if none has room, or if the request would end too late
// there and is predicted to end in time at a faster candidate that gets room shortly. left is the time
// left for a response on time, 0 or less if the request is late or has no objective. random, in
// [0, 1), breaks ties.
func Choose(candidates []Candidate, left time.Duration, random float64) int {
	best, bestScore, ties := -1, 0.0, 1.0
	for i, c := range candidates {
		if !c.hasRoom() {
			continue
		}
		score := c.score()
		switch {
		case best < 0 || candidates[best].Avoided && !c.Avoided || candidates[best].Avoided == c.Avoided && score < bestScore:
			best, bestScore, ties = i, score, 1
		case candidates[best].Avoided == c.Avoided && score == bestScore:
			ties++
			if random*ties < 1 {
				best = i
			}
		}
	}
	if best >= 0 && left > 0 && candidates[best].runTime() > left && anyEndsWithin(candidates, left) {
		return -1
	}
	return best
}

// anyEndsWithin reports whether a candidate without room is predicted to end a request in time that is
// sent there as soon as it has room.
func anyEndsWithin(candidates []Candidate, left time.Duration) bool {
	for _, c := range candidates {
		if c.hasRoom() || c.Avoided || c.WorkTime <= 0 {
			continue
		}
		untilRoom := c.WorkTime / time.Duration(max(c.running(), 1))
		c.InFlight--
		if untilRoom+c.runTime() <= left {
			return true
		}
	}
	return false
}

// Wait returns how long a request waits until one of the candidates, none of which has room, can take
// it, after a number of others. It returns 0 if no work time is known.
func Wait(candidates []Candidate, ahead int) time.Duration {
	slowest := time.Duration(0)
	for _, c := range candidates {
		slowest = max(slowest, c.WorkTime)
	}
	perSecond := 0.0
	for _, c := range candidates {
		work := c.WorkTime
		if work <= 0 {
			work = slowest
		}
		if work > 0 {
			perSecond += float64(c.running()) / work.Seconds()
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// AnyHasRoom reports whether one of the candidates may receive a request now.
func AnyHasRoom(candidates []Candidate) bool {
	return slices.ContainsFunc(candidates, Candidate.hasRoom)
}

// maxWorkShare is the largest share of an objective that an upstream may work on a request and still
// count for the expected time. From a slower one a request that has waited comes late in any case.
const maxWorkShare = 2.0 / 3

// ExpectedTime returns the time to expect for a request that is sent to one of the candidates: the
// longest work time that leaves part of the objective. With the mean, requests that have waited as long
// as that allows would come late from the slower candidates. It returns 0 if no work time is known, or
// if all are too long.
func ExpectedTime(candidates []Candidate, objective time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, c := range candidates {
		if c.WorkTime <= scale(objective, maxWorkShare) {
			longest = max(longest, c.WorkTime)
		}
	}
	return longest
}
