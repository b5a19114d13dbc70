package docket

import "time"

// State is the recorded state of a request.
type State uint8

// States of a record.
const (
	// StateInFlight means that a claimant may be sending the request.
	StateInFlight State = iota + 1
	// StateNotRun means that the claimant gave up without sending a byte. The key
	// can be claimed again.
	StateNotRun
	// StateCompleted means that an upstream ran the request.
	StateCompleted
	// StateUnknown means that an upstream may have run the request. The key can't
	// be claimed again, but the claimant can still record StateCompleted.
	StateUnknown
)

// String returns the name of the state for logs.
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

// Verdict is the outcome of a command or a Lookup.
type Verdict uint8

// Verdicts.
const (
	// VerdictGranted means that the claimant may send the request once.
	VerdictGranted Verdict = iota + 1
	// VerdictInProgress means that another claimant may be sending the request.
	// The caller should retry later.
	VerdictInProgress
	// VerdictCompleted means that the request ran. Answer.Response is the
	// upstream's response, or nil if it was not kept.
	VerdictCompleted
	// VerdictUnknown means that the request may have run.
	VerdictUnknown
	// VerdictMismatch means that the key belongs to a request with another
	// fingerprint.
	VerdictMismatch
	// VerdictFull means that Limits.MaxRecords is reached. No record was added.
	VerdictFull
	// VerdictRecorded means that the command was applied, now or by an earlier
	// duplicate. From Lookup, it means that the request was not run.
	VerdictRecorded
	// VerdictStale means that the claimant or attempt of the command no longer
	// owns the claim, or that the command contradicts the recorded state. Nothing
	// was changed.
	VerdictStale
	// VerdictNotFound means that the key has no record.
	VerdictNotFound
)

// String returns the name of the verdict for logs.
func (v Verdict) String() string {
	names := [...]string{"", "granted", "in-progress", "completed", "unknown", "mismatch", "full", "recorded", "stale", "none"}
	if int(v) >= len(names) {
		return ""
	}
	return names[v]
}

// Answer is the result of a command or a Lookup.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	// Attempt counts the claims granted for the key, from 1.
	Attempt uint32 `json:"attempt,omitempty"`
	// Owner is the claimant of the last attempt.
	Owner Claimant `json:"owner,omitzero"`
	// Wait is, for VerdictInProgress, the maximum time until the state of the
	// record changes. For VerdictFull, it is the time until the next record
	// expires.
	Wait time.Duration `json:"wait,omitempty"`
	// Response is shared with the store and must not be modified.
	Response *Response `json:"response,omitempty"`
	// Expired is the number of records that Expire removed.
	Expired int `json:"expired,omitempty"`
	// Overdue is the number of claims that Expire or Abandon changed to
	// StateUnknown.
	Overdue int `json:"overdue,omitempty"`
}
