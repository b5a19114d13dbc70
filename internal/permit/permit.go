// Package permit is how entry instances share engines (distributed admission
// control): which instance decides for a model, and the messages by which the
// others ask it for a permit to send a request to an engine.
//
// An instance that decides by itself sees a small part of what an engine gets. Told
// of every request of every other instance it sees all of it, at a cost that grows
// with the square of their number. Here each model has one owner among the
// instances, chosen by rendezvous hashing, which queues the requests for the model
// and places them. A request costs a question, an answer and a note of its end,
// however many instances there are.
//
// Owners are a matter of load and never of safety: if two instances take themselves
// for the owner, or none answers, engines get a little more than they should.
//
// It does no I/O.
package permit

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

// ID tells the questions of one instance apart.
type ID uint64

// Message is what instances tell each other: Ask, Granted, Queued, Refused, Moved,
// Ended, Use, Limited, Claim, Allowed or Held.
type Message interface {
	message()
}

// Ask asks the owner of a model for a permit. It may be sent again: the owner answers
// with what it has decided.
type Ask struct {
	ID      ID
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter      string
	PromptTokens int
	AnswerTokens int
	// Priority is that of the route, 0 being the most urgent.
	Priority uint8
	// Objective is the time to the first event within which an answer is on time, and Gap
	// the longest pause between events. 0 means that there is none.
	Objective time.Duration
	Gap       time.Duration
	// Age is how long ago the request came, and Left how long its caller waits still.
	Age  time.Duration
	Left time.Duration
	// Tried are the names of upstreams that have failed the request.
	Tried []string
}

// Granted answers Ask with the upstream to send to.
type Granted struct {
	ID       ID
	Upstream string
	// Address is where the upstream is: the asker may not have heard of it.
	Address string
	// Unread is how long the engine reads what it has before this prompt.
	Unread time.Duration
}

// Queued answers Ask while no upstream has room. Granted follows.
type Queued struct {
	ID ID
}

// Refused answers Ask if the request can't be served in time.
type Refused struct {
	ID     ID
	Reason Reason
	// ComeBack is when the caller may come back, and Forecast how long the request
	// would have waited.
	ComeBack time.Duration
	Forecast time.Duration
	Survey   Survey
}

// Survey is why each upstream that holds what a request asks for did not get it.
type Survey struct {
	// Holders is how many upstreams hold it and are alive.
	Holders int
	// Full had all their places taken, Paced had too much to read, Yielding were left to
	// other instances first, and Avoided had failed the request.
	Full, Paced, Yielding, Avoided int
	// ReportAge is how old the oldest report of the holders is.
	ReportAge time.Duration
}

// Moved answers Ask if the instance is about to stop: another one owns the model.
type Moved struct {
	ID ID
}

// Ended gives a permit back, or takes back a question.
type Ended struct {
	ID      ID
	Outcome Outcome
	// First is how long the engine took to the first event, less what it read before,
	// Run how long it had the request, and Events how many came over Writing, after the
	// first. They are 0 unless the whole answer came at the first attempt.
	First   time.Duration
	Run     time.Duration
	Events  int
	Writing time.Duration
}

// Use tells other owners what goes to an engine whose models they own.
type Use struct {
	Upstream string
	// Reading is how long the engine reads the prompt, and Open how many requests of the
	// sender it has now, this one included.
	Reading time.Duration
	Open    int
}

// Limited tells all instances what an answer of an upstream said of its limit.
type Limited struct {
	Upstream string
	// Incarnation is that of the upstream: another process under its name has said nothing.
	Incarnation uint64
	// Named says that the answer named Limit, else it named none.
	Named bool
	Limit ratelimit.Limit
	// Age is how long ago the request was sent that was answered.
	Age time.Duration
}

// Claim asks the owner of an upstream's limit whether a request may be sent there. It may be
// sent again: the owner answers with what it has decided.
type Claim struct {
	ID       ID
	Upstream string
	// Limit is what the asker knows: the owner may not have heard of it.
	Limit ratelimit.Limit
}

// Allowed answers Claim: one request may be sent.
type Allowed struct {
	ID ID
}

// Held answers Claim: none may be sent for Wait.
type Held struct {
	ID   ID
	Wait time.Duration
}

func (Ask) message()     {}
func (Granted) message() {}
func (Queued) message()  {}
func (Refused) message() {}
func (Moved) message()   {}
func (Ended) message()   {}
func (Use) message()     {}
func (Limited) message() {}
func (Claim) message()   {}
func (Allowed) message() {}
func (Held) message()    {}

// Reason is why a request is refused.
type Reason uint8

// The reasons.
const (
	// Crowded means that too many requests wait.
	Crowded Reason = iota + 1
	// Missing means that no upstream holds the model, nor will in time.
	Missing
	// Limits means that the upstreams take no more than they get.
	Limits
)

// Outcome is what became of a permit.
type Outcome uint8

// The outcomes.
const (
	// Unused means that nothing was sent, or that the caller left.
	Unused Outcome = iota
	// Worked means that the upstream answered as it should.
	Worked
	// Full means that it had no room.
	Full
	// Absent means that it does not hold the model or the adapter.
	Absent
	// Failed means that it could not be reached, or did not answer as it should.
	Failed
	// Over means that it takes no more than it gets: nothing was sent.
	Over
)
