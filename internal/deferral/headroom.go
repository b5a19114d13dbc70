// Package deferral decides when deferrable (batch) requests may use an engine that urgent requests
// use as well, and forecasts how long they wait.
//
// A batch request leaves a part of an engine's capacity free. The part shrinks with the request's age,
// so that it takes what is left while it has time, and competes like any other request before its
// objective ends.
//
// The package takes the present time as an argument and does no I/O.
package deferral

import "time"

// Headroom is the capacity of an engine that a batch request leaves free for urgent requests, in
// steps up to headroomSteps, that of a new request. None is the headroom of any other request.
type Headroom uint8

// None leaves no capacity free.
const None Headroom = 0

const (
	// headroomSteps is the number of steps from a new batch request to an ordinary one. Waiting
	// requests with the same headroom share one selection of an engine.
	headroomSteps = 4
	// ordinaryNumerator / ordinaryDenominator is the part of its objective after which a batch request
	// leaves no capacity free. The rest is left to compete with other requests.
	ordinaryNumerator   = 2
	ordinaryDenominator = 3
	// nearNumerator / nearDenominator is the part of its objective after which a batch request is near
	// the end of it. Before, it competes as an ordinary request for half of the time that is left.
	nearNumerator   = 5
	nearDenominator = 6
)

// reservedSlots is the share of an engine's slots that a batch request leaves free, by headroom. An
// eighth until it is an ordinary request covers the urgent requests that reach an engine of a dozen
// slots before its load is known everywhere. With less, batch requests that age take the slots of
// urgent ones throughout a burst.
var reservedSlots = [headroomSteps + 1]float64{None: 0, 1: 1.0 / 8, 2: 1.0 / 8, 3: 1.0 / 8, headroomSteps: 1.0 / 4}

// HeadroomOf returns the headroom that a batch request of a given age leaves. A negative age, which a
// clock step can cause, counts as 0.
func HeadroomOf(age, objective time.Duration) Headroom {
	ordinaryAge := objective / ordinaryDenominator * ordinaryNumerator
	remaining := ordinaryAge - max(age, 0)
	if remaining <= 0 {
		return None
	}
	return Headroom((remaining*headroomSteps + ordinaryAge - 1) / ordinaryAge)
}

// IsNearObjective reports whether a batch request has so little time left that its model must be given
// capacity out of turn if it gets none otherwise.
func IsNearObjective(age, objective time.Duration) bool {
	return age >= objective/nearDenominator*nearNumerator
}

// Engine is the state of an engine as far as it matters to batch requests.
type Engine struct {
	// Slots is the number of requests that the engine runs at once, 0 if it is not known. Load is the
	// estimated number of its requests, whoever sent them.
	Slots int
	Load  float64
	// ReadyFor is how long the engine has been ready for another prompt. It is negative while the engine
	// has others to prefill.
	ReadyFor time.Duration
	// UrgentTurn is how long urgent prompts, at whichever instance they wait, may take to reach an engine
	// that has become ready.
	UrgentTurn time.Duration
}

// Allows reports whether a request that leaves headroom h may be sent to an engine.
func (h Headroom) Allows(e Engine) bool {
	if e.Slots > 0 && e.Load >= float64(e.Slots)*(1-reservedSlots[h]) {
		return false
	}
	return e.ReadyFor >= e.UrgentTurn*time.Duration(h)/headroomSteps
}
