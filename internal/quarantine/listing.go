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

// Listing is a request, or a part of prompts, that is suspected or in quarantine.
type Listing struct {
	Case
	State State `json:"state"`
	// Part is true if Digest is that of a part of prompts.
	Part bool `json:"part,omitempty"`
	// With are further parts, if only prompts with all of them are in quarantine.
	With []Digest `json:"with,omitempty"`
}

// List returns what is in quarantine, followed by what is suspected. In each of the two,
// the newest crash comes first.
func (r Records) List(now time.Time, limits Limits) []Listing {
	list := []Listing{}
	judged := r.judge(now, limits)
	for _, g := range judged.quarantined {
		c := g.heaviest
		c.Digest = g.digests[0]
		list = append(list, Listing{Case: c, State: StateQuarantined, Part: g.part, With: g.digests[1:]})
	}
	for _, digest := range judged.suspected {
		c := r.cases[digest]
		list = append(list, Listing{Case: c, State: StateSuspected, Part: c.isPart()})
	}
	slices.SortFunc(list, func(a, b Listing) int {
		return cmp.Or(cmp.Compare(a.State, b.State), b.last().Compare(a.last()), compareDigests(a.Digest, b.Digest))
	})
	return list
}
