// Package quarantine decides which requests are no longer sent, because the upstreams
// that run them crash (query of death, poison message).
//
// A request is identified by its Digest, independent of the ids of its attempts. Each
// instance keeps a Watch, which records the requests that an upstream had when it ended,
// and those that ended with a complete response. The reports of all instances are collected in
// Records, a replicated state machine, so that crashes are counted across all instances
// and the counts survive restarts. A Publisher turns the records into News, which
// a control instance sends to the other instances.
//
// An upstream that ends interrupts all of its requests. A crash counts against a request
// only if no other request at that upstream was involved in more crashes. One complete
// response at any instance clears a request.
//
// A part of a prompt may crash each upstream that begins to answer a prompt with it, whatever
// else the prompt holds. Crashes are therefore counted for the parts of prompts as well, by the
// same rules. Parts that were only in the same requests can't be told apart: they are in
// quarantine together, and a request is refused only if its prompt has all of them.
package quarantine

import (
	"cmp"
	"time"
)

// Limits sets when a request is quarantined, and for how long. The zero value selects the
// defaults.
type Limits struct {
	// Crashes is the number of upstreams, at least one, that must end while they have the
	// request.
	Crashes int
	// Retention is the time that a request stays in quarantine after its last crash.
	Retention time.Duration
}

// Defaults of Limits.
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

// Lifetime identifies one process of an upstream.
type Lifetime struct {
	Upstream string `json:"upstream"`
	// Incarnation distinguishes the processes of an upstream. It is 0 if upstreams take a
	// new name at each start.
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// ReasonHeader is the response header that gives callers the reason of a refusal in
// machine-readable form, and Reason its value for a request in quarantine.
const (
	ReasonHeader = "Lovagelift-Reason"
	Reason       = "quarantined"
	// ReasonSuspected is the reason if a request has some of the parts that are in quarantine
	// together. SuspectedRetryAfter is the time after which it may be sent again.
	ReasonSuspected     = "suspected"
	SuspectedRetryAfter = time.Second
)

func compareLifetimes(a, b Lifetime) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Suspect is a request that an upstream had when it ended.
type Suspect struct {
	Digest Digest `json:"digest"`
	// Request is the id of the attempt.
	Request string `json:"request"`
	// Answering is true if part of the response had arrived.
	Answering bool `json:"answering,omitempty"`
	// Parts are the parts of the prompt that other requests may share. Parts that are known to
	// be harmless may be missing.
	Parts []Digest `json:"parts,omitempty"`
}

// answerOnset is the time in which an upstream that begins to answer on a part that crashes it
// has ended.
const answerOnset = time.Second

// WithAnswering returns the suspect if part of the response had arrived, the first of it before
// the given time.
func (s Suspect) WithAnswering(elapsed time.Duration) Suspect {
	s.Answering = true
	if elapsed > answerOnset {
		s.Parts = nil
	}
	return s
}

// Report states that an upstream has ended, and which requests of one instance it had.
type Report struct {
	Lifetime
	Suspects []Suspect `json:"suspects"`
}
