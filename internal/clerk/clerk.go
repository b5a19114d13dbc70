// Package clerk runs a replica of the log: it drives a member of the agreement
// (package jury) with a disk, peers and a state machine.
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

// Store keeps the log on the disk. Each method returns when its effect is
// durable. After an error of any method but for wrong arguments the store is
// not used again.
type Store interface {
	Append(hard jury.HardState, truncateFrom jury.Index, entries []jury.Entry) error
	SaveSnapshot(snapshot jury.Snapshot) error
	Compact(upTo jury.Index) error
	// RecordCluster keeps the name of the cluster, once and for all.
	RecordCluster(id string) error
}

// Courier reaches other replicas.
type Courier interface {
	// Deliver hands a message to the replica that it is for. It may be lost.
	Deliver(ctx context.Context, message jury.Message) error
	// Forward has the replica to propose command, see Clerk.ProposeHere. If the
	// reply is lost, Forward returns an error that is ErrUnknown or no error of
	// this package.
	Forward(ctx context.Context, to jury.Identity, command []byte) ([]byte, error)
}

// Machine is the replicated state machine. One goroutine calls it, in the order
// of the log.
type Machine interface {
	// Apply carries out a committed command and returns its result. After an
	// error the replica stops: to skip a command would fork the state.
	Apply(index jury.Index, command []byte) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Options are what a Clerk is made of.
type Options struct {
	Member jury.Options
	// State is what the disk held. Machine must be empty; New restores it.
	State   jury.State
	Store   Store
	Courier Courier
	Machine Machine
	// Peers returns the replicas that are known of, to look for a leader. It
	// must be safe for concurrent use.
	Peers func() []jury.Identity
	Now   func() time.Time
	// Ticks lets time pass. It should tick at least every third of the
	// heartbeat.
	Ticks <-chan time.Time
	// SnapshotBytes is how many bytes of commands are applied before a snapshot
	// is taken, unless the last snapshot was larger. Default 4 MiB.
	SnapshotBytes int
	Log           zerolog.Logger
	Metrics       tally.Scope
}

// Sizes of queues and limits.
const (
	inboxSize            = 1024
	proposalsSize        = 1024
	maxBatch             = 512
	defaultSnapshotBytes = 4 << 20
	snapshotEntries      = 50_000
)

// Clerk runs one replica. It is safe for concurrent use.
type Clerk struct {
	options Options
	applier *applier
	senders *senders
	metrics metrics

	inbox     chan jury.Message
	proposals chan *proposal
	requests  chan request
	writes    chan jury.Persist
	written   chan written
	compacts  chan jury.Compact
	failures  chan error

	// view is what other goroutines see of the member.
	view atomic.Pointer[view]

	// ctx ends when the clerk closes.
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New starts the replica. If the options or the state cannot be used, New
// returns an error. The Clerk must be closed.
func New(options Options) (*Clerk, error) {
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
		if err := options.Machine.Restore(snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "clerk: restore the snapshot at %d", snapshot.Index)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Clerk{
		options:   options,
		metrics:   newMetrics(options.Metrics),
		inbox:     make(chan jury.Message, inboxSize),
		proposals: make(chan *proposal, proposalsSize),
		requests:  make(chan request),
		writes:    make(chan jury.Persist, 1),
		written:   make(chan written, 1),
		compacts:  make(chan jury.Compact, 1),
		failures:  make(chan error, 1),
		ctx:       ctx,
		cancel:    cancel,
	}
	c.applier = newApplier(c, snapshot)
	c.senders = newSenders(ctx, options.Courier, c.metrics)
	l := &loop{clerk: c, member: member, askers: map[uint64]asker{}}
	l.publish(options.Now())
	c.done.Go(l.run)
	c.done.Go(c.writeAll)
	c.done.Go(c.applier.run)
	return c, nil
}

// Close hands the leadership over, if the replica holds it, and stops the
// replica. Proposals whose fate is open get ErrUnknown. If ctx ends before the
// handover is done, Close stops without it.
func (c *Clerk) Close(ctx context.Context) {
	if c.Status().Role == jury.Leader {
		// Without a successor there is nobody to wait for.
		if c.TransferLeadership(ctx) == nil {
			c.awaitView(ctx, func(v *view) bool { return v.status.Role != jury.Leader })
		}
	}
	c.cancel()
	c.done.Wait()
	c.senders.close()
	c.applier.abandon()
}

// Deliver takes in a message of another replica. It returns false if it had to
// drop it.
func (c *Clerk) Deliver(message jury.Message) bool {
	select {
	case c.inbox <- message:
		return true
	default:
		c.metrics.dropped.Inc(1)
		return false
	}
}
