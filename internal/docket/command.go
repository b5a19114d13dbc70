package docket

import "time"

// Command is a change of the docket: Claim, Record, Expire or Abandon.
type Command interface {
	isCommand()
}

func (Claim) isCommand()   {}
func (Record) isCommand()  {}
func (Expire) isCommand()  {}
func (Abandon) isCommand() {}

// Claimant names one request that an instance holds. A claim that the instance
// proposes twice has the same Claimant, and counts once.
type Claimant struct {
	Instance string `json:"instance"`
	// Incarnation grows with every start of the instance.
	Incarnation uint64 `json:"incarnation"`
	// Request is never used twice in an incarnation.
	Request uint64 `json:"request"`
}

// Claim asks for the right to send a request once. It must be committed before
// the first byte of the request leaves.
type Claim struct {
	Key         Key         `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Claimant    Claimant    `json:"claimant"`
	// Timeout is how long the claimant may take, from now on, until it records
	// what came of the request. The claimant sends nothing after it, by its own
	// clock, counted from before it proposed the claim.
	Timeout time.Duration `json:"timeout"`
}

// Record says what came of a claimed request.
type Record struct {
	Key      Key      `json:"key"`
	Claimant Claimant `json:"claimant"`
	// Attempt is the one that the claim's answer gave. It is 0 if the claimant
	// never got an answer, which only StateNotRun may go with: the claimant has
	// sent nothing, nor ever will.
	Attempt uint32 `json:"attempt,omitempty"`
	// Fingerprint is that of the claim.
	Fingerprint Fingerprint `json:"fingerprint"`
	// State is StateNotRun, StateCompleted or StateUnknown.
	State State `json:"state"`
	// Response is the upstream's answer, if State is StateCompleted. It may be
	// nil if the answer is too large to keep.
	Response *Response `json:"response,omitempty"`
}

// Expire moves the docket's clock on and drops the records whose retention has
// run out. The leader proposes it every Limits.MaxStep at the longest.
type Expire struct {
	// Now is the leader's time. Only its distance from the Now before counts,
	// up to Limits.MaxStep: a clock that is set wrong by a day makes no record
	// expire a day early.
	Now time.Time `json:"now"`
	// Limits are in force from this command on, so that all replicas have the
	// same ones whatever their settings say.
	Limits Limits `json:"limits"`
}

// Abandon says that an instance has come back as a new incarnation. What its
// earlier incarnations had in flight is unknown from then on, without waiting
// for the timeout.
type Abandon struct {
	Instance string `json:"instance"`
	// Incarnation is the new one.
	Incarnation uint64 `json:"incarnation"`
}

// Response is an upstream's answer, kept to be given again.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Header is one header field of a Response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// size returns the bytes that the response takes in memory, roughly.
func (r *Response) size() int64 {
	if r == nil {
		return 0
	}
	size := responseBytes + len(r.Body)
	for _, h := range r.Headers {
		size += headerBytes + len(h.Name) + len(h.Value)
	}
	return int64(size)
}
