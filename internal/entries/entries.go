// Package entries implements entry selection for callers: which of the
// instances' addresses a caller is told to use, and for how long.
//
// It decides only. It takes the present time as an argument, does no I/O and
// starts no goroutine.
package entries

import (
	"math"
	"slices"
	"time"
)

const (
	defaultCount = 3
	// keepJitter is the part of the time to keep that is drawn anew for each
	// answer.
	keepJitter = 0.3
	// leastWeight is the weight of an instance that has far more open requests
	// than the mean. Counts lag, so they move the choice by so much only.
	leastWeight = 0.5
)

// Instance is what the choice needs to know of an instance.
type Instance struct {
	Name          string
	Address       string
	FailureDomain string
	// Leaving says that it drains or can't confirm its configuration. It is never
	// named to a caller.
	Leaving bool
	// Open is the number of requests that it has open.
	Open int
}

// Options are the settings of Choose. The zero value is useful but for Keep.
type Options struct {
	// Count is the most instances that an answer names, 3 if 0.
	Count int
	// Keep is the longest time for which a caller keeps an answer. An instance
	// that drains serves on for that long.
	Keep time.Duration
}

// Answer is what a caller is told. The first instance is the one to use, the
// others are for when it can't be reached.
type Answer struct {
	Instances []Instance
	// Keep is how long to keep the answer: up to three tenths less than
	// Options.Keep. Callers that asked at the same moment, because an instance was
	// lost or came back, would otherwise ask again at the same moment for ever.
	Keep time.Duration
}

// Choose returns the instances for the caller that caller names, the one to use
// first. Those that leave are not among them.
//
// The same caller gets the same ones for as long as they are there, and when one
// goes its callers spread over all others (weighted rendezvous hashing). Each
// further one is of another failure domain while there are any, so that the loss
// of a domain leaves a caller an address to use at once.
func Choose(now time.Time, caller string, instances []Instance, options Options) Answer {
	if options.Count <= 0 {
		options.Count = defaultCount
	}
	ranked := rank(caller, instances)
	answer := Answer{Keep: keep(now, caller, options.Keep)}
	for len(ranked) > 0 && len(answer.Instances) < options.Count {
		i := nextDomain(ranked, answer.Instances)
		answer.Instances = append(answer.Instances, ranked[i].Instance)
		ranked = slices.Delete(ranked, i, i+1)
	}
	return answer
}

type scored struct {
	Instance
	score float64
}

// rank returns the instances that don't leave, the highest score first.
func rank(caller string, instances []Instance) []scored {
	ranked := make([]scored, 0, len(instances))
	mean := meanOpen(instances)
	for _, instance := range instances {
		if instance.Leaving {
			continue
		}
		uniform := fraction(hash(caller, instance.Name))
		ranked = append(ranked, scored{
			Instance: instance,
			score:    -weight(instance.Open, mean) / math.Log(uniform),
		})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return 0
		}
	})
	return ranked
}

// nextDomain returns the place of the first of ranked whose failure domain is
// not among chosen, or 0 if all are.
func nextDomain(ranked []scored, chosen []Instance) int {
	for i := range ranked {
		taken := slices.ContainsFunc(chosen, func(c Instance) bool {
			return c.FailureDomain == ranked[i].FailureDomain
		})
		if !taken {
			return i
		}
	}
	return 0
}

func meanOpen(instances []Instance) float64 {
	total, count := 0, 0
	for _, instance := range instances {
		if !instance.Leaving {
			total += instance.Open
			count++
		}
	}
	return float64(total) / float64(max(count, 1))
}

// weight is 1 up to the mean number of open requests, and less above it.
func weight(open int, mean float64) float64 {
	if mean <= 0 || float64(open) <= mean {
		return 1
	}
	return max(mean/float64(open), leastWeight)
}

func keep(now time.Time, caller string, longest time.Duration) time.Duration {
	drawn := fraction(hash(caller, now.Format(time.RFC3339Nano)))
	return time.Duration(float64(longest) * (1 - keepJitter*drawn))
}
