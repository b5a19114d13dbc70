// Package clerk is a replica of the Raft log. It drives a member of the consensus protocol (package
// jury): it persists the log, exchanges messages with peers and applies committed entries to the
// state machine.
package clerk

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// Store persists the log. Each method returns once its effect is durable. If a method returns an
// error for any reason but invalid arguments, the store must not be used any further.
type Store interface {
	Append(hard jury.HardState, truncateFrom jury.Index, entries []jury.Entry) error
	SaveSnapshot(snapshot jury.Snapshot) error
	Compact(upTo jury.Index) error
	// RecordCluster records the cluster ID. The ID never changes once it is recorded.
	RecordCluster(id string) error
}

// Transport sends messages to other replicas.
type Transport interface {
	// Send sends a message to the replica message.To. Delivery is not guaranteed.
	Send(ctx context.Context, message jury.Message) error
	// Forward calls ProposeLocal on the replica to and returns its result. If the reply is lost,
	// the error must not be a *RejectedError.
	Forward(ctx context.Context, to jury.Identity, command []byte) ([]byte, error)
}

// StateMachine is the replicated state machine. All calls come from one goroutine, in log order.
type StateMachine interface {
	// Apply applies a committed command and returns its result. An error stops the replica, because
	// skipping a command would make its state diverge from the other replicas.
	Apply(index jury.Index, command []byte) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Options configure a Replica.
type Options struct {
	Member jury.Options
	// State is the state loaded from the store. StateMachine must be empty; New restores the
	// snapshot of State into it.
	State        jury.State
	Store        Store
	Transport    Transport
	StateMachine StateMachine
	// Peers returns the known replicas. While the replica knows no leader, it sends each of them a
	// jury.Join. Peers must be safe for concurrent use.
	Peers func() []jury.Identity
	Now   func() time.Time
	// Ticks drives the protocol's timers, with a period of at most a third of the heartbeat
	// interval.
	Ticks <-chan time.Time
	// SnapshotBytes is the size of the commands to apply before a new snapshot is taken. If the
	// last snapshot was larger, its size is used instead. Default 4 MiB.
	SnapshotBytes int
	Log           zerolog.Logger
	Metrics       tally.Scope
}

// Capacities of channels, and limits.
const (
	inboxCapacity              = 1024
	proposalQueueCapacity      = 1024
	maxProposalBatch           = 512
	defaultSnapshotBytes       = 4 << 20
	maxEntriesBetweenSnapshots = 50_000
)

// Replica is a replica of the log. It is safe for concurrent use.
type Replica struct {
	options Options
	applier *applier
	outbox  *outbox
	metrics metrics

	inbox        chan jury.Message
	proposals    chan *proposal
	requests     chan request
	writes       chan jury.Persist
	writeResults chan writeResult
	snapshots    chan jury.Compact
	failures     chan error

	// view is the member's state as other goroutines see it.
	view atomic.Pointer[view]

	// ctx is canceled when the replica closes.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New starts a replica. It returns an error if the options or the loaded state are invalid. The
// caller must close the Replica.
func New(options Options) (*Replica, error) {
	if options.SnapshotBytes == 0 {
		options.SnapshotBytes = defaultSnapshotBytes
	}
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	member, err := jury.New(options.Now(), options.Member, options.State)
	if err != nil {
		return nil, err
	}
	snapshot := options.State.Snapshot
	if snapshot.Index > 0 {
		if err := options.StateMachine.Restore(snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "clerk: restore the snapshot at %d", snapshot.Index)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		options:      options,
		metrics:      newMetrics(options.Metrics),
		inbox:        make(chan jury.Message, inboxCapacity),
		proposals:    make(chan *proposal, proposalQueueCapacity),
		requests:     make(chan request),
		writes:       make(chan jury.Persist, 1),
		writeResults: make(chan writeResult, 1),
		snapshots:    make(chan jury.Compact, 1),
		failures:     make(chan error, 1),
		ctx:          ctx,
		cancel:       cancel,
	}
	r.applier = newApplier(r, snapshot)
	r.outbox = newOutbox(ctx, options.Transport, r.metrics)
	l := &loop{replica: r, member: member, pending: map[uint64]pendingRequest{}}
	l.publish(options.Now())
	r.goroutines.Go(l.run)
	r.goroutines.Go(r.runWriter)
	r.goroutines.Go(r.applier.run)
	return r, nil
}

// Close transfers the leadership if the replica is the leader, and stops the replica. Proposals
// without an outcome complete with ErrUnknown. If ctx ends before the transfer completes, Close
// stops the replica without waiting for it.
func (r *Replica) Close(ctx context.Context) {
	if r.Status().Role == jury.Leader {
		// If no successor is available, the transfer is rejected and there is nothing to wait for.
		if r.TransferLeadership(ctx) == nil {
			r.awaitView(ctx, func(v *view) bool { return v.status.Role != jury.Leader })
		}
	}
	r.cancel()
	r.goroutines.Wait()
	r.outbox.close()
	r.applier.failPending()
}

// Receive handles a message from another replica. It returns false if the message was dropped
// because the inbox is full.
func (r *Replica) Receive(message jury.Message) bool {
	select {
	case r.inbox <- message:
		return true
	default:
		r.metrics.droppedMessages.Inc(1)
		return false
	}
}
