// Package entries implements entry selection: it chooses the instances that a caller should
// use, and for how long.
//
// The package only makes decisions: it takes the current time as an argument, does no
// I/O and starts no goroutine.
package entries

import (
	"math"
	"slices"
	"time"
)

// Header is the response header that lists the addresses of other instances that a refused caller may use,
// separated by commas.
const Header = "Lovagelift-Entries"

const (
	defaultMaxInstances = 3
	// keepJitter is the share of the keep time that is random.
	keepJitter = 0.3
	// minWeight is the weight of an instance that has far more open requests than the
	// mean. The counts lag, so their influence on the choice is limited.
	minWeight = 0.5
)

// Instance describes an instance to Choose.
type Instance struct {
	Name          string
	Address       string
	FailureDomain string
	// Leaving reports that the instance drains or can't confirm its configuration. It
	// is never chosen.
	Leaving bool
	// ActiveRequests is the number of open requests.
	ActiveRequests int
}

// Options are the settings of Choose. MaxTTL must be set.
type Options struct {
	// MaxInstances is the maximum number of instances in an answer, 3 if 0.
	MaxInstances int
	// MaxTTL is the longest time for which a caller keeps an answer. A draining instance
	// keeps serving for that long.
	MaxTTL time.Duration
}

// Answer is the answer to a caller. The first instance is the one to use; the others are
// fallbacks in case it can't be reached.
type Answer struct {
	Instances []Instance
	// Keep is the time for which the caller keeps the answer: Options.MaxTTL, shortened by
	// a random share of up to three tenths. Without it, callers that asked at the same
	// moment, because an instance was lost or came back, would forever ask again at the
	// same moment.
	Keep time.Duration
}

// Choose returns the instances for the given caller, the one to use first. Leaving
// instances are not among them.
//
// It uses weighted rendezvous hashing: a caller gets the same instances as long as they
// are available, and when one leaves, its callers spread over all others. Each further
// instance is of a failure domain that is not yet in the answer, if there is one, so that
// after the loss of a domain a caller still has an address to use at once.
func Choose(now time.Time, caller string, instances []Instance, options Options) Answer {
	if options.MaxInstances <= 0 {
		options.MaxInstances = defaultMaxInstances
	}
	ranked := rank(caller, instances)
	answer := Answer{Keep: keepTime(now, caller, options.MaxTTL)}
	for len(ranked) > 0 && len(answer.Instances) < options.MaxInstances {
		i := nextDomain(ranked, answer.Instances)
		answer.Instances = append(answer.Instances, ranked[i].Instance)
		ranked = slices.Delete(ranked, i, i+1)
	}
	return answer
}

// scoredInstance is an instance with its rendezvous score for a caller.
type scoredInstance struct {
	Instance
	score float64
}

// rank returns the instances that are not leaving, by descending score.
func rank(caller string, instances []Instance) []scoredInstance {
	ranked := make([]scoredInstance, 0, len(instances))
	mean := meanOpen(instances)
	for _, instance := range instances {
		if instance.Leaving {
			continue
		}
		uniform := fraction(hash(caller, instance.Name))
		ranked = append(ranked, scoredInstance{
			Instance: instance,
			score:    -weight(instance.ActiveRequests, mean) / math.Log(uniform),
		})
	}
	slices.SortFunc(ranked, func(a, b scoredInstance) int {
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

// nextDomain returns the index of the first ranked instance whose failure domain is not
// among the chosen ones, or 0 if there is none.
func nextDomain(ranked []scoredInstance, chosen []Instance) int {
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

// meanOpen returns the mean number of open requests of the instances that are not leaving.
func meanOpen(instances []Instance) float64 {
	total, count := 0, 0
	for _, instance := range instances {
		if !instance.Leaving {
			total += instance.ActiveRequests
			count++
		}
	}
	return float64(total) / float64(max(count, 1))
}

// weight returns the weight of an instance: 1 up to the mean number of open requests, and
// falling to minWeight above it.
func weight(open int, mean float64) float64 {
	if mean <= 0 || float64(open) <= mean {
		return 1
	}
	return max(mean/float64(open), minWeight)
}

// keepTime returns the keep time of an answer: maxTTL, shortened by the jitter.
func keepTime(now time.Time, caller string, maxTTL time.Duration) time.Duration {
	random := fraction(hash(caller, now.Format(time.RFC3339Nano)))
	return time.Duration(float64(maxTTL) * (1 - keepJitter*random))
}
