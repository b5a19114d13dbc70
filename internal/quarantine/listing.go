package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// State is where a request stands, for operators.
type State string

// The states.
const (
	StateQuarantined State = "quarantined"
	StateSuspected   State = "suspected"
)

// Listing is a request that is in quarantine, or that one more crash brings there.
type Listing struct {
	Case
	State State `json:"state"`
}

// List returns the requests in quarantine and then those that are suspected, those with
// the newest crash first.
func (r Records) List(now time.Time, limits Limits) []Listing {
	list := []Listing{}
	for digest, given := range r.judge(now, limits) {
		state := StateSuspected
		if given == verdictQuarantined {
			state = StateQuarantined
		}
		list = append(list, Listing{Case: r.cases[digest], State: state})
	}
	slices.SortFunc(list, func(a, b Listing) int {
		return cmp.Or(cmp.Compare(a.State, b.State), b.last().Compare(a.last()), compareDigests(a.Digest, b.Digest))
	})
	return list
}
