package voucher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// Chamber is the replicated state. Its methods are called from many goroutines
// at once.
type Chamber interface {
	// Propose has command carried out. After an error for which
	// Options.NotAccepted is false, the command may be carried out still.
	Propose(ctx context.Context, command registry.Command) (registry.Result, error)
	// Lookup returns what is recorded of key.
	Lookup(ctx context.Context, key docket.Key) (docket.Answer, error)
}

// The values for what Options leave at zero.
const (
	DefaultRecorders  = 32
	DefaultQueue      = 4096
	DefaultRecordTime = time.Minute
	DefaultRetryAfter = time.Second
)

// The time between two look-ups while another claimant runs the request grows
// from firstPoll to lastPoll.
const (
	firstPoll = 20 * time.Millisecond
	lastPoll  = 500 * time.Millisecond
)

// Options is what an Office is made of.
type Options struct {
	// Instance and Incarnation are those of this instance.
	Instance    string
	Incarnation uint64
	Chamber     Chamber
	// NotAccepted tells whether an error of Chamber.Propose means that the
	// command is not carried out and never will be.
	NotAccepted func(err error) bool
	Now         func() time.Time
	// After returns a channel that is sent to after a while; time.After if nil.
	After func(time.Duration) <-chan time.Time
	Log   zerolog.Logger
	// Recorders is how many records are proposed at a time.
	Recorders int
	// Queue bounds the records that wait to be proposed. One more is dropped, so
	// that its request counts as unknown after its timeout.
	Queue int
	// RecordTime is how long it is tried to get a record accepted.
	RecordTime time.Duration
	// RetryAfter is what callers are told when nothing is known about when the
	// voters can be reached again.
	RetryAfter time.Duration
	// MaxBodyBytes bounds the body of an answer that is recorded. A larger
	// answer is recorded as one that was not kept.
	MaxBodyBytes int
}

// Office claims keys for one instance and records outcomes. It is safe for
// concurrent use.
type Office struct {
	options Options
	// request numbers the claims of this incarnation.
	request atomic.Uint64

	// mutex guards closed and the closing of records.
	mutex   sync.RWMutex
	closed  bool
	records chan docket.Record

	// stopAbandon ends what Close need not wait for, and cancel all of it.
	stopAbandon context.CancelFunc
	cancel      context.CancelFunc
	done        sync.WaitGroup
}

// New returns an Office that has started to give up what earlier incarnations
// of the instance had in flight.
func New(options Options) *Office {
	setDefault(&options.Recorders, DefaultRecorders)
	setDefault(&options.Queue, DefaultQueue)
	setDefault(&options.RecordTime, DefaultRecordTime)
	setDefault(&options.RetryAfter, DefaultRetryAfter)
	setDefault(&options.MaxBodyBytes, docket.DefaultLimits().MaxBodyBytes)
	if options.After == nil {
		options.After = time.After
	}
	ctx, cancel := context.WithCancel(context.Background())
	abandonCtx, stopAbandon := context.WithCancel(ctx)
	o := &Office{
		options:     options,
		records:     make(chan docket.Record, options.Queue),
		stopAbandon: stopAbandon,
		cancel:      cancel,
	}
	o.done.Go(func() { o.abandon(abandonCtx) })
	for range options.Recorders {
		o.done.Go(func() {
			for record := range o.records {
				o.propose(ctx, record)
			}
		})
	}
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Close waits until all records are accepted or ctx ends. Vouchers that are
// settled later are dropped.
func (o *Office) Close(ctx context.Context) {
	o.mutex.Lock()
	if !o.closed {
		o.closed = true
		close(o.records)
	}
	o.mutex.Unlock()
	o.stopAbandon()
	finished := make(chan struct{})
	go func() {
		o.done.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	o.cancel()
	<-finished
}

// abandon tells the docket that this instance's earlier incarnations are gone,
// so that nobody waits for them.
func (o *Office) abandon(ctx context.Context) {
	command := docket.Abandon{Instance: o.options.Instance, Incarnation: o.options.Incarnation}
	for {
		result, err := o.options.Chamber.Propose(ctx, command)
		if err == nil {
			if result.Docket != nil && result.Docket.Overdue > 0 {
				o.options.Log.Warn().Int("requests", result.Docket.Overdue).
					Msg("requests that were in flight when this instance ended are unknown")
			}
			return
		}
		if !o.sleep(ctx, o.options.RetryAfter) {
			return
		}
	}
}

// enqueue hands a record to the recorders.
func (o *Office) enqueue(record docket.Record) {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	if o.closed {
		o.dropped(record, "the instance is closing")
		return
	}
	select {
	case o.records <- record:
	default:
		o.dropped(record, "too many records wait")
	}
}

// propose tries to have a record accepted. One that is not leaves the key in
// flight until its timeout, and unknown after that, which is true.
func (o *Office) propose(ctx context.Context, record docket.Record) {
	ctx, cancel := context.WithTimeout(ctx, o.options.RecordTime)
	defer cancel()
	for {
		result, err := o.options.Chamber.Propose(ctx, record)
		if err == nil {
			o.accepted(record, result)
			return
		}
		if !o.sleep(ctx, firstPoll) {
			o.dropped(record, err.Error())
			return
		}
	}
}

func (o *Office) accepted(record docket.Record, result registry.Result) {
	if result.Docket != nil && result.Docket.Verdict != docket.VerdictRecorded {
		o.dropped(record, "the docket answered "+result.Docket.Verdict.String())
	}
}

func (o *Office) dropped(record docket.Record, reason string) {
	key, _ := record.Key.MarshalText()
	o.options.Log.Warn().Bytes("key", key).Str("state", record.State.String()).Str("reason", reason).
		Msg("outcome of a request not recorded")
}

// sleep returns false if ctx ended first.
func (o *Office) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-o.options.After(d):
		return true
	}
}
