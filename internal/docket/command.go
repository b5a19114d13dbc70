package docket

import "time"

// Command changes a Store. It is a Claim, Record, Expire or Abandon.
type Command interface {
	isCommand()
}

func (Claim) isCommand()   {}
func (Record) isCommand()  {}
func (Expire) isCommand()  {}
func (Abandon) isCommand() {}

// Claimant identifies one request at an instance. If the instance proposes a
// claim twice, both have the same Claimant and count as one.
type Claimant struct {
	Instance string `json:"instance"`
	// Incarnation increases with every start of the instance.
	Incarnation uint64 `json:"incarnation"`
	// Request is unique within the incarnation.
	Request uint64 `json:"request"`
}

// Claim requests the permission to send a request once. It must be committed
// before the first byte of the request is sent.
type Claim struct {
	Key         Key         `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Claimant    Claimant    `json:"claimant"`
	// Timeout is the time that the claimant has to record the outcome of the
	// request, counted from when the claim is applied. The claimant sends nothing
	// after the timeout on its own clock, counted from before it proposed the
	// claim.
	Timeout time.Duration `json:"timeout"`
}

// Record stores the outcome of a claimed request.
type Record struct {
	Key      Key      `json:"key"`
	Claimant Claimant `json:"claimant"`
	// Attempt is Answer.Attempt of the granted claim. It is 0 if the claimant
	// received no answer to its claim. It has then sent nothing and never will, so
	// State must be StateNotRun.
	Attempt uint32 `json:"attempt,omitempty"`
	// Fingerprint is the fingerprint of the claim.
	Fingerprint Fingerprint `json:"fingerprint"`
	// State is StateNotRun, StateCompleted or StateUnknown.
	State State `json:"state"`
	// Response is the upstream's response if State is StateCompleted. It may be
	// nil if the response is too large to keep.
	Response *Response `json:"response,omitempty"`
}

// Expire advances the store's clock and removes the records whose retention has
// ended. The leader proposes it at least once every Limits.MaxStep.
type Expire struct {
	// Now is the leader's wall clock. The store's clock advances by the difference
	// from the previous Now, but by Limits.MaxStep at most. So if a leader's clock
	// is a day ahead, no record expires a day early.
	Now time.Time `json:"now"`
	// Limits apply from this command on. They are part of the command so that all
	// replicas use the same limits even if their settings differ.
	Limits Limits `json:"limits"`
}

// Abandon reports that an instance restarted as a new incarnation. In-flight
// claims of its earlier incarnations change to StateUnknown without waiting for
// their timeout.
type Abandon struct {
	Instance string `json:"instance"`
	// Incarnation is the new incarnation.
	Incarnation uint64 `json:"incarnation"`
}

// Response is an upstream's response, which is replayed to duplicate requests.
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

// size estimates the memory use of the response in bytes.
func (r *Response) size() int64 {
	if r == nil {
		return 0
	}
	size := responseOverheadBytes + len(r.Body)
	for _, h := range r.Headers {
		size += headerOverheadBytes + len(h.Name) + len(h.Value)
	}
	return int64(size)
}
