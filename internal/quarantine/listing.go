package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a request for operators.
type State string

// States of a request.
const (
	StateQuarantined State = "quarantined"
	StateSuspected   State = "suspected"
)

// Listing is a request that is suspected or in quarantine.
type Listing struct {
	Case
	State State `json:"state"`
}

// List returns the requests in quarantine, followed by the suspected ones. In each group,
// those with the newest crash come first.
func (r Records) List(now time.Time, limits Limits) []Listing {
	list := []Listing{}
	for digest, current := range r.judge(now, limits) {
		state := StateSuspected
		if current == verdictQuarantined {
			state = StateQuarantined
		}
		list = append(list, Listing{Case: r.cases[digest], State: state})
	}
	slices.SortFunc(list, func(a, b Listing) int {
		return cmp.Or(cmp.Compare(a.State, b.State), b.last().Compare(a.last()), compareDigests(a.Digest, b.Digest))
	})
	return list
}
