// Package docket keeps what is known of non-idempotent requests: idempotency
// records, the deduplication store.
//
// It is a pure state machine. Equal commands in equal order give equal dockets
// on every replica: it has a clock of its own, which only commands move, and
// limits that commands carry.
package docket

import (
	"time"
	"unique"

	"github.com/cockroachdb/errors"
)

// Docket is the records of all keys. It is not safe for concurrent use.
type Docket struct {
	limits  Limits
	records map[Key]*entry
	// order holds every record of records.
	order queue
	// responses are the records that had a response when they completed, oldest
	// first. Those that expired since have none any more.
	responses     []*entry
	responseBytes int64
	// clock is the time that the docket has counted. It never goes back, and
	// stands still while there is no leader, so that records are kept longer,
	// never shorter.
	clock time.Duration
	// reported is the Now of the last Expire.
	reported time.Time
	counters Counters
}

// Counters count since the docket began, on all replicas alike.
type Counters struct {
	// Granted counts the claims granted.
	Granted uint64 `json:"granted"`
	// Refused counts the claims refused because there was no room.
	Refused uint64 `json:"refused"`
	// Expired counts the records dropped because their retention ran out. The
	// same key is a new request from then on.
	Expired uint64 `json:"expired"`
	// Overdue counts the claims that became unknown because their claimant
	// recorded nothing in time, or came back as a new incarnation.
	Overdue uint64 `json:"overdue"`
	// ResponsesDropped counts the responses that were not kept, or not to the
	// end, for want of room.
	ResponsesDropped uint64 `json:"responses-dropped"`
}

// New returns an empty docket with DefaultLimits.
func New() *Docket {
	return &Docket{limits: DefaultLimits(), records: map[Key]*entry{}}
}

// Len returns the number of records.
func (d *Docket) Len() int {
	return len(d.records)
}

// ResponseBytes returns the bytes that the kept responses take in memory.
func (d *Docket) ResponseBytes() int64 {
	return d.responseBytes
}

// Counters returns the counters.
func (d *Docket) Counters() Counters {
	return d.counters
}

// Limits returns the limits in force.
func (d *Docket) Limits() Limits {
	return d.limits
}

// Apply carries a command out.
func (d *Docket) Apply(command Command) Answer {
	switch c := command.(type) {
	case Claim:
		return d.claim(c)
	case Record:
		return d.record(c)
	case Expire:
		return d.expire(c)
	case Abandon:
		return d.abandon(c)
	default:
		panic(errors.AssertionFailedf("docket: command %T", command))
	}
}

// Lookup returns what is recorded of key: VerdictNone, VerdictInProgress,
// VerdictCompleted, VerdictUnknown, or VerdictRecorded if the request was not
// run.
func (d *Docket) Lookup(key Key) Answer {
	r, ok := d.records[key]
	switch {
	case !ok:
		return Answer{Verdict: VerdictNone}
	case r.state == StateNotRun:
		return Answer{Verdict: VerdictRecorded, Attempt: r.attempt, Owner: r.owner}
	default:
		return d.known(r)
	}
}

// claim grants a claim if nobody else can have sent a byte of the request: the
// key is new, or the claimant before recorded that it gave up. A claim whose
// timeout has passed is never granted to another claimant. The paused or
// partitioned owner's bytes may still be on their way, so that a second run
// would break at-most-once, which no timeout can rule out.
func (d *Docket) claim(c Claim) Answer {
	r, ok := d.records[c.Key]
	if !ok {
		if len(d.records) >= d.limits.MaxRecords {
			d.counters.Refused++
			return Answer{Verdict: VerdictFull, Wait: d.untilExpiry()}
		}
		r = &entry{key: c.Key, fingerprint: c.Fingerprint, state: StateNotRun}
		d.records[c.Key] = r
		d.order.push(r)
		return d.grant(r, c)
	}
	switch {
	case r.fingerprint != c.Fingerprint:
		return Answer{Verdict: VerdictMismatch}
	case r.owner == c.Claimant && r.state == StateInFlight:
		// The claimant proposed its claim twice.
		return Answer{Verdict: VerdictGranted, Attempt: r.attempt, Owner: r.owner}
	case r.owner == c.Claimant:
		// The claim was delayed until after its claimant had given up.
		return Answer{Verdict: VerdictStale, Attempt: r.attempt, Owner: r.owner}
	case r.state == StateNotRun:
		return d.grant(r, c)
	default:
		return d.known(r)
	}
}

func (d *Docket) grant(r *entry, c Claim) Answer {
	r.owner = intern(c.Claimant)
	r.attempt++
	r.state = StateInFlight
	r.until = d.clock + min(max(c.Timeout, 0), d.limits.MaxTimeout) + d.limits.Grace
	d.touch(r)
	d.counters.Granted++
	return Answer{Verdict: VerdictGranted, Attempt: r.attempt, Owner: r.owner}
}

// known answers with the state of a record that isn't StateNotRun.
func (d *Docket) known(r *entry) Answer {
	answer := Answer{Attempt: r.attempt, Owner: r.owner}
	switch {
	case r.state == StateCompleted:
		answer.Verdict = VerdictCompleted
		answer.Response = r.response
	case r.state == StateInFlight && d.clock <= r.until:
		answer.Verdict = VerdictInProgress
		answer.Wait = r.until - d.clock
	default:
		answer.Verdict = VerdictUnknown
	}
	return answer
}

func (d *Docket) record(c Record) Answer {
	r, ok := d.records[c.Key]
	if !ok {
		return d.withdraw(c)
	}
	withdrawn := c.Attempt == 0 && c.State == StateNotRun
	if r.owner != c.Claimant || r.attempt != c.Attempt && !withdrawn {
		return Answer{Verdict: VerdictStale, Attempt: r.attempt, Owner: r.owner}
	}
	answer := Answer{Verdict: VerdictRecorded, Attempt: r.attempt, Owner: r.owner}
	switch {
	case r.state == c.State:
		return answer
	case r.state == StateInFlight && c.State > StateInFlight && c.State <= StateUnknown:
	case r.state == StateUnknown && c.State == StateCompleted:
		// The claimant knows better, late. Who was told unknown was told no lie.
	default:
		answer.Verdict = VerdictStale
		return answer
	}
	r.state = c.State
	d.touch(r)
	if c.State == StateCompleted {
		d.keep(r, c.Response)
	}
	return answer
}

// withdraw notes that a claimant gave up before it learned whether its claim
// was granted. If the claim is yet to come, it finds the record and is stale;
// otherwise it would hold the key until its timeout, for a request that nobody
// sends.
func (d *Docket) withdraw(c Record) Answer {
	if c.State != StateNotRun {
		return Answer{Verdict: VerdictNone}
	}
	if len(d.records) >= d.limits.MaxRecords {
		return Answer{Verdict: VerdictFull, Wait: d.untilExpiry()}
	}
	r := &entry{key: c.Key, fingerprint: c.Fingerprint, owner: intern(c.Claimant), state: StateNotRun, touched: d.clock}
	d.records[c.Key] = r
	d.order.push(r)
	return Answer{Verdict: VerdictRecorded, Owner: r.owner}
}

// keep attaches a response to r, dropping older ones for room.
func (d *Docket) keep(r *entry, response *Response) {
	size := response.size()
	if response == nil || len(response.Body) > d.limits.MaxBodyBytes || size > d.limits.MaxResponseBytes {
		d.counters.ResponsesDropped++
		return
	}
	r.response = response
	d.responseBytes += size
	d.responses = append(d.responses, r)
	d.trimResponses()
}

// trimResponses drops the oldest responses until the rest fit.
func (d *Docket) trimResponses() {
	for len(d.responses) > 0 {
		oldest := d.responses[0]
		if oldest.response != nil {
			if d.responseBytes <= d.limits.MaxResponseBytes {
				return
			}
			d.dropResponse(oldest)
			d.counters.ResponsesDropped++
		}
		d.responses[0] = nil
		d.responses = d.responses[1:]
	}
}

func (d *Docket) dropResponse(r *entry) {
	d.responseBytes -= r.response.size()
	r.response = nil
}

func (d *Docket) touch(r *entry) {
	r.touched = d.clock
	d.order.remove(r)
	d.order.push(r)
}

// intern makes all claimants of an instance share the memory of its name.
func intern(c Claimant) Claimant {
	c.Instance = unique.Make(c.Instance).Value()
	return c
}

// untilExpiry returns the time until the record touched longest ago expires.
func (d *Docket) untilExpiry() time.Duration {
	if d.order.first == nil {
		return d.limits.Retention
	}
	return max(0, d.order.first.touched+d.limits.Retention-d.clock)
}
