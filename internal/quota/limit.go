// Package quota is the usage quota of a workspace: a rate and a burst of requests or tokens
// that all entry instances share.
//
// One instance owns the quota of a workspace and keeps its Bucket; the others ask it before
// they send a request. An instance with frequent requests asks for more than it needs at
// once and spends the rest from its Lease. An instance that reaches no owner spends its
// Share. A new owner doesn't know what its predecessor granted, so its bucket starts with
// what the quota's Tolerance covers.
//
// The package is pure: it takes the present time as an argument and does no I/O.
package quota

import (
	"math"
	"time"
)

// Unit is what a quota counts.
type Unit uint8

const (
	// Requests counts each request as 1.
	Requests Unit = iota
	// Tokens counts a request by the tokens of its prompt and the maximum of its answer.
	Tokens
)

// String returns the word for the log.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

// Limit is the quota of a workspace. The zero value means that there is none.
type Limit struct {
	Unit Unit
	// PerSecond is the rate in units, and Burst the number of units that may be spent at once
	// after a pause. Both are finite and not negative. A rate of 0 means no limit.
	PerSecond float64
	Burst     float64
	// DefaultTokens is the cost of a request that states no tokens, if Unit is Tokens. It is
	// finite and not negative.
	DefaultTokens float64
}

// Limited reports whether the limit applies.
func (l Limit) Limited() bool {
	return l.PerSecond > 0
}

// Valid reports whether all numbers are finite and not negative.
func (l Limit) Valid() bool {
	for _, number := range []float64{l.PerSecond, l.Burst, l.DefaultTokens} {
		if !(number >= 0) || math.IsInf(number, 1) {
			return false
		}
	}
	return true
}

// Size is the size of a request.
type Size struct {
	// Tokens are the tokens of the prompt and the maximum of the answer. Stated is false if
	// the caller named none.
	Tokens int
	Stated bool
}

// Cost returns the units that a request costs.
func (l Limit) Cost(size Size) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case size.Stated:
		return float64(size.Tokens)
	default:
		return l.DefaultTokens
	}
}

// Tolerance is the excess over a quota that the operator tolerates in any period of length
// Window: Overage is a share of the quota in that period, and Slack a number of units.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Share returns the part of the tolerated excess for each of several instances.
func (t Tolerance) Share(instances int) Tolerance {
	t.Slack /= float64(max(instances, 1))
	return t
}

// initialShare is the part of the tolerated excess that a new owner may grant without
// knowing what its predecessor granted. The rest covers instances that reach no owner, and
// the time for which two instances consider themselves the owner.
const initialShare = 0.5

// InitialUnits returns the units with which the bucket of a new owner starts.
func (t Tolerance) InitialUnits(l Limit) float64 {
	excess := t.Overage*(l.PerSecond*t.Window.Seconds()+l.Burst) + t.Slack
	return min(initialShare*excess, l.Burst)
}
