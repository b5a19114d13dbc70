// Package backoffice is the control plane: each instance is a voter of the replicated
// state, accepts announcements of upstreams and changes of routes, sends both to entry
// instances, and while it leads, orders engines to load and unload models.
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

// Options configures an Instance.
type Options struct {
	// Address is where other instances reach this one. It also serves as the instance's
	// name, so that an identity implies an address.
	Address       string
	FailureDomain string
	// Seeds are the addresses of the initial control instances. They may include
	// this instance.
	Seeds []string
	// Bootstrap is set at the very first start of the whole system, on the instances listed
	// in Seeds. They become the first voters.
	Bootstrap bool
	// MinVoters is the minimum number of voters.
	MinVoters int
	// DataDir is the data folder.
	DataDir string
	// InnerListener listens on Address. The Instance closes it.
	InnerListener net.Listener
	// Dial connects to another instance.
	Dial courier.Dial
	// UpstreamLease is how long an upstream receives work after it was last heard from.
	UpstreamLease time.Duration
	// MinOrderGap is the minimum time between orders of two instances to the same engine.
	MinOrderGap time.Duration
	// Quarantine determines when requests that crash upstreams are quarantined.
	Quarantine quarantine.Limits
	// ParseRoutes parses routes as sent by an operator.
	ParseRoutes func(content []byte) (*routes.Table, error)
	// EngineClient is the client for reports and orders of engines.
	Engines EngineClient
	Now     func() time.Time
	Log     zerolog.Logger
	// Metrics defaults to a scope that discards everything.
	Metrics tally.Scope
}

// EngineClient is a client for engines. Its methods must be safe for concurrent use.
type EngineClient interface {
	// Report asks an engine for the models that it holds and its load.
	Report(ctx context.Context, engine EngineAddress) (Report, error)
	// Order orders an engine to load or unload a model or an adapter. After an error, the
	// engine may or may not carry the order out, now or later.
	Order(ctx context.Context, engine EngineAddress, order Order) (OrderAnswer, error)
}

// EngineAddress identifies one engine process. Another process may have taken over
// Address.
type EngineAddress struct {
	Name    string
	Address string
}

// Report holds an engine's models and load. It lags by some tenths of a second.
type Report struct {
	// Incarnation is the incarnation of the reporting process, or 0 if the process
	// reports none.
	Incarnation uint64
	// Sequence is the number of orders that the engine has accepted.
	Sequence uint64
	// Busy is set while a model is being loaded or unloaded.
	Busy   bool
	Models []courier.LoadedModel
	// Leaving is set if the engine states that it is leaving.
	Leaving bool
	// Running and Queued are numbers of requests. KVUsed is the number of KV cache tokens
	// that can't be evicted.
	Running int
	Queued  int
	KVUsed  int
	// LoadingAdapters are adapters that are being loaded. They already occupy slots.
	LoadingAdapters []Adapter
	// InMemory and OnDisk are models whose weights the engine has cached, so that a load
	// does not fetch them from the weight store.
	InMemory []string
	OnDisk   []string
}

// Adapter is an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// OrderKind is the action of an Order.
type OrderKind uint8

// Kinds of order.
const (
	Load OrderKind = iota + 1
	Unload
)

// Order changes which models or adapters an engine holds.
type Order struct {
	Kind  OrderKind
	Model string
	// Adapter is empty if the order is for the model itself.
	Adapter string
	// ExpectedSequence is the engine's Sequence at which the order is valid. Without it, an order
	// that is carried out late, after another one, could take memory that is no longer
	// free.
	ExpectedSequence uint64
	// Holder is the instance that sends the order, and FencingNumber its fencing number.
	Holder        string
	FencingNumber uint64
}

// OrderAnswer is an engine's answer to an order.
type OrderAnswer uint8

// Answers of an engine.
const (
	// Accepted means that the order is being carried out.
	Accepted OrderAnswer = iota + 1
	// AlreadyDone means that the engine is already in the ordered state.
	AlreadyDone
	// Refused means that the engine does not carry out the order, now or later.
	Refused
	// RefusedByOtherProcess means that the order was refused by another process that now has the
	// engine's address.
	RefusedByOtherProcess
)

// String returns the name for logs and metrics. The zero value, which stands for no
// answer, is "unknown".
func (a OrderAnswer) String() string {
	switch a {
	case Accepted:
		return "accepted"
	case AlreadyDone:
		return "already-done"
	case Refused:
		return "refused"
	case RefusedByOtherProcess:
		return "gone"
	default:
		return "unknown"
	}
}

// Timing of a control instance.
const (
	// rosterPullInterval is the interval between two pulls of a peer's roster. Together
	// with the sync interval of entry instances, it makes the leave of an upstream known
	// everywhere within a second.
	rosterPullInterval = 250 * time.Millisecond
	// voterCheckInterval is the interval between two checks of the voters. A voter that
	// lost its disk is replaced within a few of them.
	voterCheckInterval = 200 * time.Millisecond
	// callTimeout bounds one call between instances. It is far above the round trip
	// between failure domains (3 ms) and the duration of a sync (2 ms).
	callTimeout = time.Second
	// heartbeatInterval and electionTimeout are those of the consensus protocol: a lost
	// leader is replaced within 1.5 s, and heartbeats take about 1/1000 of the time of an
	// instance with 0.12 of a core.
	heartbeatInterval = 120 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	// maxClockDrift bounds the relative difference between the rates of two clocks.
	maxClockDrift = 0.05
	// voterSilenceTimeout is how long a voter may be silent before another instance
	// replaces it.
	voterSilenceTimeout = 1500 * time.Millisecond
)
