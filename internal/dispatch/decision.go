package dispatch

import "time"

// maxRunnersUp is the maximum number of other candidates in a Decision.
const maxRunnersUp = 3

// Reason is the reason for a Decision.
type Reason uint8

// The reasons of a Decision. From ReasonNoCandidate on, no upstream was chosen.
const (
	// ReasonLeastCost means that the chosen upstream had the least cost among the
	// evaluated candidates.
	ReasonLeastCost Reason = iota + 1
	// ReasonPrefixCached means that the chosen upstream also had the least cost, and that
	// its cache holds a prefix of the prompt.
	ReasonPrefixCached
	// ReasonOnlyCandidate means that only one candidate was evaluated.
	ReasonOnlyCandidate
	// ReasonNoCandidate means that no upstream serves the target.
	ReasonNoCandidate
	// ReasonNoneFit means that each upstream of the target is leaving, has an expired
	// lease or has already failed this request.
	ReasonNoneFit
	// ReasonNoRoom means that all upstreams that could run the request have reached their
	// limits. The request may wait.
	ReasonNoRoom
)

// String returns the reason as written to the log.
func (r Reason) String() string {
	switch r {
	case ReasonLeastCost:
		return "least-cost"
	case ReasonPrefixCached:
		return "prefix-cached"
	case ReasonOnlyCandidate:
		return "only-candidate"
	case ReasonNoCandidate:
		return "no-candidate"
	case ReasonNoneFit:
		return "none-fit"
	case ReasonNoRoom:
		return "no-room"
	default:
		return "none"
	}
}

// Candidate is one upstream with the prediction for the request there.
type Candidate struct {
	Name    string
	Address string
	// SoftwareVersion is empty if the upstream announces none.
	SoftwareVersion string
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// TokenInterval is the predicted time between tokens.
	TokenInterval time.Duration
	// CachedTokens is the expected number of prompt tokens in the prefix cache, which need
	// no prefill.
	CachedTokens int
	// Cost is the sum of FirstToken and TokenInterval, each divided by its goal.
	Cost float64

	upstream *upstream
}

// Decision is the result of Dispatcher.Choose. It needs no heap allocation.
type Decision struct {
	// Chosen is the chosen upstream. It is valid if OK returns true.
	Chosen Candidate
	Reason Reason

	runnersUp     [maxRunnersUp]Candidate
	runnersUpSize int
}

// OK reports whether an upstream was chosen.
func (d *Decision) OK() bool {
	return d.Chosen.upstream != nil
}

// RunnersUp returns up to three of the candidates that were evaluated and not chosen.
func (d *Decision) RunnersUp() []Candidate {
	return d.runnersUp[:d.runnersUpSize]
}

// add makes c the chosen candidate if it has the least cost so far, otherwise a
// runner-up.
func (d *Decision) add(c *Candidate) {
	if !d.OK() {
		d.Chosen = *c
		return
	}
	runnerUp := *c
	if c.Cost < d.Chosen.Cost {
		runnerUp, d.Chosen = d.Chosen, *c
	}
	if d.runnersUpSize < maxRunnersUp {
		d.runnersUp[d.runnersUpSize] = runnerUp
		d.runnersUpSize++
	}
}
