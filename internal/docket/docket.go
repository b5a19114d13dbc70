// Package docket is the deduplication store of non-idempotent requests. It keeps
// an idempotency record for each key.
//
// It is a deterministic state machine: the same commands in the same order
// produce the same state on every replica. Its clock is advanced only by
// commands, and its limits are set by commands.
package docket

import (
	"time"
	"unique"

	"github.com/cockroachdb/errors"
)

// Store is a set of idempotency records by key. It is not safe for concurrent
// use.
type Store struct {
	limits  Limits
	records map[Key]*storedRecord
	// byLastChange contains all records, least recently changed first.
	byLastChange recordList
	// withResponse are the records that were stored with a response, oldest
	// first. It may still contain removed records, whose response is nil.
	withResponse []*storedRecord
	// responseBytes is the estimated memory use of all kept responses.
	responseBytes int64
	// clock is the sum of the time steps of all Expire commands. It never goes
	// back. Without a leader it stops, which can only lengthen the retention of
	// records.
	clock time.Duration
	// leaderTime is the Now of the last Expire.
	leaderTime time.Time
	counters   Counters
}

// Counters are totals since the docket was created. They are part of the
// replicated state.
type Counters struct {
	// Granted counts the claims granted.
	Granted uint64 `json:"granted"`
	// RefusedFull counts the claims refused because of Limits.MaxRecords.
	RefusedFull uint64 `json:"refused"`
	// Expired counts the records removed at the end of their retention. A later
	// request with the same key counts as a new one.
	Expired uint64 `json:"expired"`
	// Overdue counts the claims that changed to StateUnknown because the claimant
	// recorded no outcome in time or its instance restarted.
	Overdue uint64 `json:"overdue"`
	// ResponsesDropped counts the responses of completed requests that were
	// missing or too large to keep, and those evicted before their record expired.
	ResponsesDropped uint64 `json:"responses-dropped"`
}

// New returns an empty docket with DefaultLimits.
func New() *Store {
	return &Store{limits: DefaultLimits(), records: map[Key]*storedRecord{}}
}

// Len returns the number of records.
func (d *Store) Len() int {
	return len(d.records)
}

// ResponseBytes returns the estimated memory use of the kept responses in bytes.
func (d *Store) ResponseBytes() int64 {
	return d.responseBytes
}

// Counters returns the current counters.
func (d *Store) Counters() Counters {
	return d.counters
}

// Limits returns the limits in force.
func (d *Store) Limits() Limits {
	return d.limits
}

// Apply applies a command and returns its result.
func (d *Store) Apply(command Command) Answer {
	switch c := command.(type) {
	case Claim:
		return d.applyClaim(c)
	case Record:
		return d.applyRecord(c)
	case Expire:
		return d.applyExpire(c)
	case Abandon:
		return d.applyAbandon(c)
	default:
		panic(errors.AssertionFailedf("docket: command %T", command))
	}
}

// Lookup returns the state of the record for key. The verdict is VerdictNotFound,
// VerdictInProgress, VerdictCompleted, VerdictUnknown, or VerdictRecorded if the
// request was not run.
func (d *Store) Lookup(key Key) Answer {
	r, ok := d.records[key]
	switch {
	case !ok:
		return Answer{Verdict: VerdictNotFound}
	case r.state == StateNotRun:
		return Answer{Verdict: VerdictRecorded, Attempt: r.attempt, Owner: r.claimant}
	default:
		return d.answerFor(r)
	}
}

// applyClaim grants a claim if no other claimant can have sent a byte of the
// request: the key is new, or the previous claimant recorded StateNotRun. A claim
// whose timeout has passed is never granted to another claimant. Its owner may be
// paused or partitioned with bytes still in transit, so a second run would
// violate at-most-once execution whatever the timeout.
func (d *Store) applyClaim(c Claim) Answer {
	r, ok := d.records[c.Key]
	if !ok {
		if len(d.records) >= d.limits.MaxRecords {
			d.counters.RefusedFull++
			return Answer{Verdict: VerdictFull, Wait: d.timeUntilExpiry()}
		}
		r = &storedRecord{key: c.Key, fingerprint: c.Fingerprint, state: StateNotRun}
		d.records[c.Key] = r
		d.byLastChange.pushBack(r)
		return d.grant(r, c)
	}
	switch {
	case r.fingerprint != c.Fingerprint:
		return Answer{Verdict: VerdictMismatch}
	case r.claimant == c.Claimant && r.state == StateInFlight:
		// This is a duplicate of the granted claim.
		return Answer{Verdict: VerdictGranted, Attempt: r.attempt, Owner: r.claimant}
	case r.claimant == c.Claimant:
		// The claim arrived after its claimant had recorded an outcome or after it
		// became unknown.
		return Answer{Verdict: VerdictStale, Attempt: r.attempt, Owner: r.claimant}
	case r.state == StateNotRun:
		return d.grant(r, c)
	default:
		return d.answerFor(r)
	}
}

func (d *Store) grant(r *storedRecord, c Claim) Answer {
	r.claimant = internInstance(c.Claimant)
	r.attempt++
	r.state = StateInFlight
	r.unknownAfter = d.clock + min(max(c.Timeout, 0), d.limits.MaxTimeout) + d.limits.TimeoutGrace
	d.markChanged(r)
	d.counters.Granted++
	return Answer{Verdict: VerdictGranted, Attempt: r.attempt, Owner: r.claimant}
}

// answerFor returns the state of a record in any state except StateNotRun.
func (d *Store) answerFor(r *storedRecord) Answer {
	answer := Answer{Attempt: r.attempt, Owner: r.claimant}
	switch {
	case r.state == StateCompleted:
		answer.Verdict = VerdictCompleted
		answer.Response = r.response
	case r.state == StateInFlight && d.clock <= r.unknownAfter:
		answer.Verdict = VerdictInProgress
		answer.Wait = r.unknownAfter - d.clock
	default:
		answer.Verdict = VerdictUnknown
	}
	return answer
}

func (d *Store) applyRecord(c Record) Answer {
	r, ok := d.records[c.Key]
	if !ok {
		return d.recordWithdrawal(c)
	}
	isWithdrawal := c.Attempt == 0 && c.State == StateNotRun
	if r.claimant != c.Claimant || r.attempt != c.Attempt && !isWithdrawal {
		return Answer{Verdict: VerdictStale, Attempt: r.attempt, Owner: r.claimant}
	}
	answer := Answer{Verdict: VerdictRecorded, Attempt: r.attempt, Owner: r.claimant}
	switch {
	case r.state == c.State:
		return answer
	case r.state == StateInFlight && c.State > StateInFlight && c.State <= StateUnknown:
	case r.state == StateUnknown && c.State == StateCompleted:
		// The outcome arrived late. Answers of VerdictUnknown before it were still
		// correct.
	default:
		answer.Verdict = VerdictStale
		return answer
	}
	r.state = c.State
	d.markChanged(r)
	if c.State == StateCompleted {
		d.storeResponse(r, c.Response)
	}
	return answer
}

// recordWithdrawal records that a claimant gave up before it received an answer
// to its claim, if the claim hasn't arrived yet. With this record, the claim is
// stale when it arrives. Otherwise it would block the key until its timeout
// although nobody sends the request.
func (d *Store) recordWithdrawal(c Record) Answer {
	if c.State != StateNotRun {
		return Answer{Verdict: VerdictNotFound}
	}
	if len(d.records) >= d.limits.MaxRecords {
		return Answer{Verdict: VerdictFull, Wait: d.timeUntilExpiry()}
	}
	r := &storedRecord{key: c.Key, fingerprint: c.Fingerprint, claimant: internInstance(c.Claimant), state: StateNotRun, changedAt: d.clock}
	d.records[c.Key] = r
	d.byLastChange.pushBack(r)
	return Answer{Verdict: VerdictRecorded, Owner: r.claimant}
}

// storeResponse adds a response to r and evicts older ones to stay within the
// limits.
func (d *Store) storeResponse(r *storedRecord, response *Response) {
	size := response.size()
	if response == nil || len(response.Body) > d.limits.MaxBodyBytes || size > d.limits.MaxResponseBytes {
		d.counters.ResponsesDropped++
		return
	}
	r.response = response
	d.responseBytes += size
	d.withResponse = append(d.withResponse, r)
	d.evictResponses()
}

// evictResponses drops the oldest responses until Limits.MaxResponseBytes is met.
func (d *Store) evictResponses() {
	for len(d.withResponse) > 0 {
		oldest := d.withResponse[0]
		if oldest.response != nil {
			if d.responseBytes <= d.limits.MaxResponseBytes {
				return
			}
			d.dropResponse(oldest)
			d.counters.ResponsesDropped++
		}
		d.withResponse[0] = nil
		d.withResponse = d.withResponse[1:]
	}
}

func (d *Store) dropResponse(r *storedRecord) {
	d.responseBytes -= r.response.size()
	r.response = nil
}

// markChanged sets the time of the last change and moves r to the end of
// byLastChange.
func (d *Store) markChanged(r *storedRecord) {
	r.changedAt = d.clock
	d.byLastChange.remove(r)
	d.byLastChange.pushBack(r)
}

// internInstance interns the instance name, so that all claimants of an instance
// share its memory.
func internInstance(c Claimant) Claimant {
	c.Instance = unique.Make(c.Instance).Value()
	return c
}

// timeUntilExpiry returns the time until the least recently changed record
// expires.
func (d *Store) timeUntilExpiry() time.Duration {
	if d.byLastChange.first == nil {
		return d.limits.Retention
	}
	return max(0, d.byLastChange.first.changedAt+d.limits.Retention-d.clock)
}
