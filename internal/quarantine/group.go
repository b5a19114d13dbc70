package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// group is what the crashes can't tell apart: a request, or parts of prompts that were in
// the same requests at the same crashes.
type group struct {
	// digests identify the requests that the group is about: a request is, if it has all of
	// them. They are either one request, or one or more parts, sorted.
	digests []Digest
	// part is true if they are parts.
	part bool
	// heaviest is the member with the most weight.
	heaviest Case
	// certain is false if the crashes may be due to chance.
	certain bool
}

// evidence identifies the crashes of a case and the requests that were there. Cases with the same
// evidence can't be told apart.
func (c Case) evidence() string {
	var buffer []byte
	for _, crash := range c.Crashes {
		request := c.requestAt(crash)
		buffer = parcel.AppendBytes(buffer, crash.Upstream)
		buffer = parcel.AppendUint(buffer, crash.Incarnation)
		buffer = append(buffer, request[:]...)
	}
	return string(buffer)
}

// requestAt returns the request that the case, or the part of its prompt, stands for at a crash.
func (c Case) requestAt(crash Crash) Digest {
	if c.isPart() {
		return crash.Whole
	}
	return c.Digest
}

// onlyRequest returns the request that was at all crashes of the case, if it is the only one.
func (c Case) onlyRequest() (Digest, bool) {
	request := c.requestAt(c.Crashes[0])
	differs := func(crash Crash) bool { return c.requestAt(crash) != request }
	return request, !slices.ContainsFunc(c.Crashes, differs)
}

// groupCases returns the groups of the given cases, sorted by their digests.
func groupCases(cases []Case) []group {
	slices.SortFunc(cases, func(a, b Case) int { return compareDigests(a.Digest, b.Digest) })
	byEvidence := map[string]*group{}
	for _, c := range cases {
		evidence := c.evidence()
		g := byEvidence[evidence]
		if g == nil {
			g = &group{heaviest: c}
			byEvidence[evidence] = g
		}
		if c.weight() > g.heaviest.weight() {
			g.heaviest = c
		}
		g.digests = append(g.digests, c.Digest)
	}
	groups := make([]group, 0, len(byEvidence))
	for _, g := range byEvidence {
		request, only := g.heaviest.onlyRequest()
		g.part = !only
		if only {
			g.digests = []Digest{request}
		}
		groups = append(groups, *g)
	}
	slices.SortFunc(groups, compareGroups)
	return groups
}

const (
	// quietTime is the time without a crash after which all reports and all successes that bear on
	// the earlier ones are known.
	quietTime = 5 * time.Second
	// firstTrialDelay is the time from the last crash to the first trial of a group that isn't
	// certain: by then all instances know whether it is. certainTrialDelay is that of one that is
	// certain. Each trial that failed multiplies it by trialDelayFactor.
	firstTrialDelay   = quietTime + 3*time.Second
	certainTrialDelay = 5 * time.Minute
	trialDelayFactor  = 8
)

// trialIn returns the time until a request of the group may be sent as a trial, if it has parts.
func (g group) trialIn(now time.Time, limits Limits) time.Duration {
	limits = limits.withDefaults()
	delay := firstTrialDelay
	if g.certain {
		delay = certainTrialDelay
	}
	for n := 0; n < g.failedTrials(limits) && delay < limits.Retention; n++ {
		delay *= trialDelayFactor
	}
	return max(0, g.heaviest.last().Add(delay).Sub(now))
}

// failedTrials returns the number of crashes that came after a quiet time in quarantine.
func (g group) failedTrials(limits Limits) int {
	count := 0
	for n, crash := range g.heaviest.Crashes {
		if n >= limits.Crashes && crash.At.Sub(g.heaviest.Crashes[n-1].At) >= quietTime {
			count++
		}
	}
	return count
}

// key returns a map key for the digests of a group.
func key(digests []Digest) string {
	var text strings.Builder
	for _, digest := range digests {
		text.Write(digest[:])
	}
	return text.String()
}
