// Package backoffice is a control instance: a voter of the replicated state that
// takes announcements of upstreams and changes of routes, tells entry instances
// of both, and gives orders to engines while it leads (control plane).
package backoffice

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// Options configures a Backoffice.
type Options struct {
	// Address is where other instances reach this one. It is its name as well, so
	// that whoever knows an identity knows where to reach it.
	Address       string
	FailureDomain string
	// Seeds are the addresses of control instances to begin with, this one's
	// perhaps among them.
	Seeds []string
	// Founder is true at the very first start of the whole system, on the
	// instances that Seeds names. They become the first voters.
	Founder bool
	// Voters is how many instances should vote at the least.
	Voters int
	// Folder is the data folder.
	Folder string
	// Inner is where Address listens. The Backoffice closes it.
	Inner net.Listener
	// Dial connects to another instance.
	Dial courier.Dial
	// UpstreamLease is how long an upstream gets work after it was heard of.
	UpstreamLease time.Duration
	// OrderGap is the least time between orders of two instances to one engine.
	OrderGap time.Duration
	// Quarantine says when requests that crash upstreams are quarantined.
	Quarantine quarantine.Limits
	// Table reads the routes that an operator sent.
	Table func(content []byte) (*routes.Table, error)
	// Engines reaches engines to ask and to order.
	Engines Engines
	Now     func() time.Time
	Log     zerolog.Logger
	// Metrics is where the instance counts.
	Metrics tally.Scope
}

// Engines speaks with engines. Its methods are called from many goroutines.
type Engines interface {
	// Report asks an engine what it holds and does.
	Report(ctx context.Context, engine EngineAddress) (Report, error)
	// Order has an engine load or unload. An error leaves open whether the engine
	// carries the order out, now or later.
	Order(ctx context.Context, engine EngineAddress, order Order) (OrderAnswer, error)
}

// EngineAddress names one engine's process. Whoever else answers at Address is
// not meant.
type EngineAddress struct {
	Name    string
	Address string
}

// Report is what an engine holds and does. It lags by some tenths of a second.
type Report struct {
	// Incarnation is that of the process that gives it, 0 if it does not say.
	Incarnation uint64
	// Sequence counts the orders that the engine has accepted.
	Sequence uint64
	// Busy says that a model is being loaded or unloaded.
	Busy   bool
	Models []courier.HeldModel
	// Running and Queued are requests, KVUsed the tokens in memory that can't be
	// dropped.
	Running int
	Queued  int
	KVUsed  int
	// Coming are adapters that are being loaded. They take places already.
	Coming []Adapter
	// InMemory and OnDisk are models whose weights the engine need not fetch from
	// the store.
	InMemory []string
	OnDisk   []string
}

// Adapter is an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// OrderKind is what an Order does.
type OrderKind uint8

// The kinds of order.
const (
	Load OrderKind = iota + 1
	Unload
)

// Order changes what an engine holds.
type Order struct {
	Kind  OrderKind
	Model string
	// Adapter is empty for the model itself.
	Adapter string
	// Expected is the Sequence of the engine at which the order holds. An order
	// that is carried out late, after another one, would else take memory that is
	// no longer free.
	Expected uint64
	// Holder is who gives the order, and Fence its fencing number.
	Holder string
	Fence  uint64
}

// OrderAnswer is what an engine says to an order.
type OrderAnswer uint8

// The answers.
const (
	// Accepted means that the order is being carried out.
	Accepted OrderAnswer = iota + 1
	// AlreadyDone means that the engine holds what the order asks for.
	AlreadyDone
	// Refused means that the engine does not carry the order out and never will.
	Refused
	// Gone is Refused by another process, which has the engine's address now.
	Gone
)

// String returns the word for the log. An order without an answer is unknown.
func (a OrderAnswer) String() string {
	switch a {
	case Accepted:
		return "accepted"
	case AlreadyDone:
		return "already-done"
	case Refused:
		return "refused"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// The intervals of a control instance.
const (
	// pullEvery is the time between two pulls of another's roster: with the entry
	// instances' own interval, an upstream that leaves is known everywhere within
	// a second.
	pullEvery = 250 * time.Millisecond
	// electEvery is the time between two looks at the voters. A voter that lost
	// its disk is replaced within some of them.
	electEvery = 200 * time.Millisecond
	// callTimeout bounds one call between instances. It is far above the round
	// trip between failure domains (3 ms) and a sync (2 ms).
	callTimeout = time.Second
	// heartbeat and electionTimeout pace the agreement: a lost leader is replaced
	// within 1.5 s, and a heartbeat costs a core of 0.12 about 1 part in 1,000.
	heartbeat       = 120 * time.Millisecond
	electionTimeout = 700 * time.Millisecond
	// clockDrift bounds how far the rates of two clocks differ.
	clockDrift = 0.05
	// silentVoter is how long a voter is silent before another takes its place.
	silentVoter = 1500 * time.Millisecond
)
