package dispatch

import "time"

// maxRunnersUp is the number of other candidates that a Decision names.
const maxRunnersUp = 3

// Reason says why a Decision came out as it did.
type Reason uint8

// The reasons of a Decision. Those from ReasonNoCandidate on choose nothing.
const (
	// ReasonLeastCost means that the chosen one is predicted to come closest to
	// the goal, among those compared.
	ReasonLeastCost Reason = iota + 1
	// ReasonPrefixCached means the same, and that a cached prefix decided it.
	ReasonPrefixCached
	// ReasonOnlyCandidate means that no other candidate was fit.
	ReasonOnlyCandidate
	// ReasonNoCandidate means that no upstream holds the target.
	ReasonNoCandidate
	// ReasonNoneFit means that all that hold the target are leaving, have run out
	// of their lease or have failed this request before.
	ReasonNoneFit
	// ReasonNoRoom means that all fit candidates have as many requests open as
	// their limits allow. The request may wait.
	ReasonNoRoom
)

// String returns the word for the log.
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

// Candidate is one upstream with what is predicted for the request there.
type Candidate struct {
	Name    string
	Address string
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// TokenInterval is the predicted time between tokens.
	TokenInterval time.Duration
	// CachedTokens is the expected number of prompt tokens that need no prefill.
	CachedTokens int
	// Cost is the sum of FirstToken and TokenInterval, each as a share of its goal.
	Cost float64

	upstream *upstream
}

// Decision answers Dispatcher.Choose. It holds no allocated memory of its own.
type Decision struct {
	// Chosen is the upstream to use if OK returns true.
	Chosen Candidate
	Reason Reason

	runnersUp     [maxRunnersUp]Candidate
	runnersUpSize int
}

// OK reports whether an upstream was chosen.
func (d *Decision) OK() bool {
	return d.Chosen.upstream != nil
}

// RunnersUp returns the candidates that were compared and not chosen, at most
// three.
func (d *Decision) RunnersUp() []Candidate {
	return d.runnersUp[:d.runnersUpSize]
}

// add takes c as the chosen one if it costs less, and as a runner-up if not.
func (d *Decision) add(c *Candidate) {
	if !d.OK() {
		d.Chosen = *c
		return
	}
	other := *c
	if c.Cost < d.Chosen.Cost {
		other, d.Chosen = d.Chosen, *c
	}
	if d.runnersUpSize < maxRunnersUp {
		d.runnersUp[d.runnersUpSize] = other
		d.runnersUpSize++
	}
}
