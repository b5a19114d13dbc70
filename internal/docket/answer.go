package docket

import "time"

// State is what is recorded of a request.
type State uint8

// The states of a record.
const (
	// StateInFlight means that a claimant may be sending the request.
	StateInFlight State = iota + 1
	// StateNotRun means that the claimant has given up without sending a byte.
	// The key may be claimed again.
	StateNotRun
	// StateCompleted means that an upstream ran the request.
	StateCompleted
	// StateUnknown means that an upstream may have run the request. The key is
	// never claimed again. The claimant may still record StateCompleted.
	StateUnknown
)

// String returns the word for the state in logs.
func (s State) String() string {
	switch s {
	case StateInFlight:
		return "in-flight"
	case StateNotRun:
		return "not-run"
	case StateCompleted:
		return "completed"
	case StateUnknown:
		return "unknown"
	default:
		return "none"
	}
}

// Verdict is the docket's decision on a command.
type Verdict uint8

// The verdicts.
const (
	// VerdictGranted: the claimant may send the request, once.
	VerdictGranted Verdict = iota + 1
	// VerdictInProgress: another claimant may be sending the request. Ask again
	// later.
	VerdictInProgress
	// VerdictCompleted: the request ran. Answer.Response is the answer, or nil
	// if it was not kept.
	VerdictCompleted
	// VerdictUnknown: the request may have run.
	VerdictUnknown
	// VerdictMismatch: the key was used for a request with another fingerprint.
	VerdictMismatch
	// VerdictFull: there is no room for another record. Nothing was claimed.
	VerdictFull
	// VerdictRecorded: the record is as the command says, perhaps since an
	// earlier one.
	VerdictRecorded
	// VerdictStale: the command comes from a claimant or attempt that no longer
	// holds the claim, or contradicts a final state. Nothing was changed.
	VerdictStale
	// VerdictNone: there is no such record.
	VerdictNone
)

// String returns the word for the verdict in logs.
func (v Verdict) String() string {
	names := [...]string{"", "granted", "in-progress", "completed", "unknown", "mismatch", "full", "recorded", "stale", "none"}
	if int(v) >= len(names) {
		return ""
	}
	return names[v]
}

// Answer is what the docket answers to a command or a Lookup.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	// Attempt counts the claims granted for the key, from 1.
	Attempt uint32 `json:"attempt,omitempty"`
	// Owner is the claimant of the last attempt.
	Owner Claimant `json:"owner,omitzero"`
	// Wait is, for VerdictInProgress, the longest time until the record is in
	// another state, and for VerdictFull the time until a record expires.
	Wait time.Duration `json:"wait,omitempty"`
	// Response is shared and must not be changed.
	Response *Response `json:"response,omitempty"`
	// Expired and Overdue count, for Expire and Abandon, the records dropped
	// and the claims that became unknown.
	Expired int `json:"expired,omitempty"`
	Overdue int `json:"overdue,omitempty"`
}
