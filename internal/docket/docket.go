// Package docket is the idempotency store: it keeps an idempotency record for each
// key of a non-idempotent request.
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

// Counters are totals since the store was created. They are part of the
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

// New returns an empty Store with DefaultLimits.
func New() *Store {
	return &Store{limits: DefaultLimits(), records: map[Key]*storedRecord{}}
}

// Len returns the number of records.
func (s *Store) Len() int {
	return len(s.records)
}

// ResponseBytes returns the estimated memory use of the kept responses in bytes.
func (s *Store) ResponseBytes() int64 {
	return s.responseBytes
}

// Counters returns the current counters.
func (s *Store) Counters() Counters {
	return s.counters
}

// Limits returns the limits in force.
func (s *Store) Limits() Limits {
	return s.limits
}

// Apply applies a command and returns its result.
func (s *Store) Apply(command Command) Answer {
	switch c := command.(type) {
	case Claim:
		return s.applyClaim(c)
	case Record:
		return s.applyRecord(c)
	case Expire:
		return s.applyExpire(c)
	case Abandon:
		return s.applyAbandon(c)
	default:
		panic(errors.AssertionFailedf("docket: command %T", command))
	}
}

// Lookup returns the state of the record for key. The verdict is VerdictNotFound,
// VerdictInProgress, VerdictCompleted, VerdictUnknown, or VerdictRecorded if the
// request was not run.
func (s *Store) Lookup(key Key) Answer {
	r, ok := s.records[key]
	switch {
	case !ok:
		return Answer{Verdict: VerdictNotFound}
	case r.state == StateNotRun:
		return Answer{Verdict: VerdictRecorded, Attempt: r.attempt, Owner: r.claimant}
	default:
		return s.answerFor(r)
	}
}

// applyClaim grants a claim if no other claimant can have sent a byte of the
// request: the key is new, or the previous claimant recorded StateNotRun. A claim
// whose timeout has passed is never granted to another claimant. Its owner may be
// paused or partitioned with bytes still in transit, so a second run would
// violate at-most-once execution whatever the timeout.
func (s *Store) applyClaim(c Claim) Answer {
	r, ok := s.records[c.Key]
	if !ok {
		if len(s.records) >= s.limits.MaxRecords {
			s.counters.RefusedFull++
			return Answer{Verdict: VerdictFull, Wait: s.timeUntilExpiry()}
		}
		r = &storedRecord{key: c.Key, fingerprint: c.Fingerprint, state: StateNotRun}
		s.records[c.Key] = r
		s.byLastChange.pushBack(r)
		return s.grant(r, c)
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
		return s.grant(r, c)
	default:
		return s.answerFor(r)
	}
}

func (s *Store) grant(r *storedRecord, c Claim) Answer {
	r.claimant = internInstance(c.Claimant)
	r.attempt++
	r.state = StateInFlight
	r.unknownAfter = s.clock + min(max(c.Timeout, 0), s.limits.MaxTimeout) + s.limits.TimeoutGrace
	s.markChanged(r)
	s.counters.Granted++
	return Answer{Verdict: VerdictGranted, Attempt: r.attempt, Owner: r.claimant}
}

// answerFor returns the state of a record in any state except StateNotRun.
func (s *Store) answerFor(r *storedRecord) Answer {
	answer := Answer{Attempt: r.attempt, Owner: r.claimant}
	switch {
	case r.state == StateCompleted:
		answer.Verdict = VerdictCompleted
		answer.Response = r.response
	case r.state == StateInFlight && s.clock <= r.unknownAfter:
		answer.Verdict = VerdictInProgress
		answer.Wait = r.unknownAfter - s.clock
	default:
		answer.Verdict = VerdictUnknown
	}
	return answer
}

func (s *Store) applyRecord(c Record) Answer {
	r, ok := s.records[c.Key]
	if !ok {
		return s.recordWithdrawal(c)
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
	s.markChanged(r)
	if c.State == StateCompleted {
		s.storeResponse(r, c.Response)
	}
	return answer
}

// recordWithdrawal records that a claimant gave up before it received an answer
// to its claim, if the claim hasn't arrived yet. With this record, the claim is
// stale when it arrives. Otherwise it would block the key until its timeout
// although nobody sends the request.
func (s *Store) recordWithdrawal(c Record) Answer {
	if c.State != StateNotRun {
		return Answer{Verdict: VerdictNotFound}
	}
	if len(s.records) >= s.limits.MaxRecords {
		return Answer{Verdict: VerdictFull, Wait: s.timeUntilExpiry()}
	}
	r := &storedRecord{key: c.Key, fingerprint: c.Fingerprint, claimant: internInstance(c.Claimant), state: StateNotRun, changedAt: s.clock}
	s.records[c.Key] = r
	s.byLastChange.pushBack(r)
	return Answer{Verdict: VerdictRecorded, Owner: r.claimant}
}

// storeResponse adds a response to r and evicts older ones to stay within the
// limits.
func (s *Store) storeResponse(r *storedRecord, response *Response) {
	size := response.size()
	if response == nil || len(response.Body) > s.limits.MaxBodyBytes || size > s.limits.MaxResponseBytes {
		s.counters.ResponsesDropped++
		return
	}
	r.response = response
	s.responseBytes += size
	s.withResponse = append(s.withResponse, r)
	s.evictResponses()
}

// evictResponses drops the oldest responses until Limits.MaxResponseBytes is met.
func (s *Store) evictResponses() {
	for len(s.withResponse) > 0 {
		oldest := s.withResponse[0]
		if oldest.response != nil {
			if s.responseBytes <= s.limits.MaxResponseBytes {
				return
			}
			s.dropResponse(oldest)
			s.counters.ResponsesDropped++
		}
		s.withResponse[0] = nil
		s.withResponse = s.withResponse[1:]
	}
}

func (s *Store) dropResponse(r *storedRecord) {
	s.responseBytes -= r.response.size()
	r.response = nil
}

// markChanged sets the time of the last change and moves r to the end of
// byLastChange.
func (s *Store) markChanged(r *storedRecord) {
	r.changedAt = s.clock
	s.byLastChange.remove(r)
	s.byLastChange.pushBack(r)
}

// internInstance interns the instance name, so that all claimants of an instance
// share its memory.
func internInstance(c Claimant) Claimant {
	c.Instance = unique.Make(c.Instance).Value()
	return c
}

// timeUntilExpiry returns the time until the least recently changed record
// expires.
func (s *Store) timeUntilExpiry() time.Duration {
	if s.byLastChange.first == nil {
		return s.limits.Retention
	}
	return max(0, s.byLastChange.first.changedAt+s.limits.Retention-s.clock)
}
