// Package quarantine decides which requests are not sent on any more, since the
// upstreams that run them crash (query of death, poison message).
//
// A request is known by its Digest, whatever id an attempt of it bears. Each instance
// keeps a Watch: which requests were at an upstream that ended, and which ended with a
// whole answer. What they report is gathered in Records, a replicated state machine, so
// that the count is one over all instances and outlives them. A Bulletin tells instances
// what follows from it.
//
// An upstream that ends takes down everything that it runs. A crash counts against a
// request only if no other request that was there has more crashes to its name, and one
// whole answer anywhere clears a request.
package quarantine

import (
	"cmp"
	"time"
)

// Limits says when a request is quarantined, and for how long. The zero value stands
// for the defaults.
type Limits struct {
	// Crashes is how many upstreams must have ended under a request, at least one.
	Crashes int
	// Retention is how long a request stays in quarantine after the last of them.
	Retention time.Duration
}

// The defaults of Limits.
const (
	DefaultCrashes   = 3
	DefaultRetention = 30 * time.Minute
)

func (l Limits) withDefaults() Limits {
	if l.Crashes <= 0 {
		l.Crashes = DefaultCrashes
	}
	if l.Retention <= 0 {
		l.Retention = DefaultRetention
	}
	return l
}

// Lifetime is one process of an upstream, from its start to its end.
type Lifetime struct {
	Upstream string `json:"upstream"`
	// Incarnation tells the processes of one name apart. It is 0 where upstreams take a
	// new name at each start.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// ReasonHeader is the response header by which a caller's program knows why it was
// refused, and Reason the word for a request in quarantine.
const (
	ReasonHeader = "Lovagelift-Reason"
	Reason       = "quarantined"
)

func compareLifetimes(a, b Lifetime) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Suspect is a request that was at an upstream as that ended.
type Suspect struct {
	Digest Digest `json:"digest"`
	// Request is the id of the attempt.
	Request string `json:"request"`
	// Answering says that some of its answer had come.
	Answering bool `json:"answering,omitempty"`
}

// Report says that an upstream has ended, and which requests of one instance it had.
type Report struct {
	Lifetime
	Suspects []Suspect `json:"suspects"`
}
