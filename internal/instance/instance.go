// Package instance puts one instance together: its listeners, its roster and
// the handlers of callers and upstreams (server process).
package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/arrivals"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// Peer is another instance, as this one's settings name it.
type Peer struct {
	Name         string
	InnerAddress string
}

// Timing is the intervals of an instance. Zero values stand for DefaultTiming.
type Timing struct {
	// PullEvery is the time between pulls of the others' rosters.
	PullEvery time.Duration
	// MemberLease is how long an instance or upstream counts as alive after it
	// was heard of.
	MemberLease time.Duration
	// RenewEvery is how often upstreams announce themselves again.
	RenewEvery time.Duration
	// KeepEntries is how long callers keep the addresses they were given.
	KeepEntries time.Duration
	// CallTimeout bounds one call between instances.
	CallTimeout time.Duration
	// HeaderTimeout bounds how long a caller may take to send its headers.
	HeaderTimeout time.Duration
	// BodyTimeout bounds how long a caller may take to send a whole request.
	BodyTimeout time.Duration
}

// DefaultTiming is used for what Options leaves at zero. Three renewals fit
// into a lease, so that one lost message loses nobody.
var DefaultTiming = Timing{
	PullEvery:     500 * time.Millisecond,
	MemberLease:   3 * time.Second,
	RenewEvery:    time.Second,
	KeepEntries:   5 * time.Second,
	CallTimeout:   time.Second,
	HeaderTimeout: 5 * time.Second,
	BodyTimeout:   30 * time.Second,
}

// Options configures an Instance.
type Options struct {
	Name          string
	FailureDomain string
	Voter         bool
	// Listeners are open; the instance closes them.
	CallerListener   net.Listener
	UpstreamListener net.Listener
	InnerListener    net.Listener
	Peers            []Peer
	// UpstreamToken is what upstreams must show, if it is not empty.
	UpstreamToken string
	Timing        Timing
	Limits        desk.Limits
	Log           zerolog.Logger
	// Now returns the present time. Nil stands for time.Now.
	Now func() time.Time
}

// Instance is one running instance. It is safe for concurrent use.
type Instance struct {
	options  Options
	pool     *courier.Pool
	inner    *courier.Server
	shuttle  *shuttle.Shuttle
	desk     *desk.Desk
	callers  *http.Server
	arrivals *http.Server

	mu       sync.Mutex
	roster   *roster.Roster
	cursors  map[string]roster.Cursor
	draining bool
	refusing bool

	stop context.CancelFunc
	done sync.WaitGroup
}

// New starts an instance. It answers callers until Drain or Close.
func New(options Options) (*Instance, error) {
	options.Timing = options.Timing.withDefaults()
	if options.Now == nil {
		options.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		options: options,
		pool:    courier.NewPool(dialTCP, options.Timing.CallTimeout),
		shuttle: shuttle.New(shuttle.Options{}),
		cursors: map[string]roster.Cursor{},
		stop:    cancel,
	}
	i.roster = roster.New(roster.Options{
		Self:        options.Name,
		Incarnation: uint64(options.Now().UnixNano()),
		Static:      i.static(),
		Lease:       options.Timing.MemberLease,
	})
	i.roster.Beat(options.Now(), roster.InstanceBeat{})
	i.desk = desk.New(desk.Options{
		Instance: i,
		Shuttle:  i.shuttle,
		Now:      options.Now,
		Log:      options.Log,
		Limits:   options.Limits,
	})
	if err := i.listen(); err != nil {
		cancel()
		return nil, err
	}
	for _, peer := range options.Peers {
		i.done.Go(func() { i.pullFrom(ctx, peer) })
	}
	i.done.Go(func() { i.beat(ctx) })
	return i, nil
}

func (i *Instance) listen() error {
	inner, err := courier.NewServer(i.options.InnerListener, courier.Services{
		Roster: courier.NewRosterService(i.changes),
	})
	if err != nil {
		return errors.Wrap(err, "instance: inner listener")
	}
	i.inner = inner
	i.callers = &http.Server{
		Handler:           i.desk,
		ReadHeaderTimeout: i.options.Timing.HeaderTimeout,
		ReadTimeout:       i.options.Timing.BodyTimeout,
	}
	i.arrivals = &http.Server{
		Handler: arrivals.New(arrivals.Options{
			Instance: i,
			Token:    i.options.UpstreamToken,
			Now:      i.options.Now,
			Log:      i.options.Log,
		}),
		ReadHeaderTimeout: i.options.Timing.HeaderTimeout,
		ReadTimeout:       i.options.Timing.BodyTimeout,
	}
	i.done.Go(func() { i.serve("callers", i.callers, i.options.CallerListener) })
	i.done.Go(func() { i.serve("upstreams", i.arrivals, i.options.UpstreamListener) })
	return nil
}

func (i *Instance) serve(whom string, server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		i.options.Log.Error().Err(err).Str("listener", whom).Msg("listener failed")
	}
}

func (i *Instance) static() roster.InstanceStatic {
	return roster.InstanceStatic{
		CallerAddress:   i.options.CallerListener.Addr().String(),
		UpstreamAddress: i.options.UpstreamListener.Addr().String(),
		InnerAddress:    i.options.InnerListener.Addr().String(),
		FailureDomain:   i.options.FailureDomain,
		Voter:           i.options.Voter,
	}
}

// Drain stops the instance gracefully: it cuts off no request.
//
// First the instance disappears from what callers are told, and goes on serving
// those that kept its address for as long as they may keep it. Then it refuses
// new work, naming other instances, and closes once no request is in progress.
// If ctx ends before, Drain closes all the same and returns an error that says
// how many requests it cut off.
func (i *Instance) Drain(ctx context.Context) error {
	i.mu.Lock()
	i.draining = true
	i.beatLocked(i.options.Now())
	i.mu.Unlock()
	i.options.Log.Info().Msg("draining")
	keep := time.NewTimer(i.options.Timing.KeepEntries + i.options.Timing.PullEvery)
	defer keep.Stop()
	select {
	case <-keep.C:
	case <-ctx.Done():
	}
	i.mu.Lock()
	i.refusing = true
	i.mu.Unlock()
	i.callers.SetKeepAlivesEnabled(false)
	// Shutdown stops listening before it waits, so no request can come in
	// between the last answer and the close.
	err := i.callers.Shutdown(ctx)
	if err != nil {
		err = errors.Wrapf(err, "instance: %d requests cut off", i.desk.Streams())
	}
	i.Close()
	return err
}

// Close stops the instance at once, cutting off requests in progress.
func (i *Instance) Close() {
	i.stop()
	i.callers.Close()
	i.arrivals.Close()
	i.inner.Close()
	i.pool.Close()
	i.done.Wait()
	i.shuttle.Close()
}

func (t Timing) withDefaults() Timing {
	for _, interval := range []struct {
		set *time.Duration
		def time.Duration
	}{
		{&t.PullEvery, DefaultTiming.PullEvery},
		{&t.MemberLease, DefaultTiming.MemberLease},
		{&t.RenewEvery, DefaultTiming.RenewEvery},
		{&t.KeepEntries, DefaultTiming.KeepEntries},
		{&t.CallTimeout, DefaultTiming.CallTimeout},
		{&t.HeaderTimeout, DefaultTiming.HeaderTimeout},
		{&t.BodyTimeout, DefaultTiming.BodyTimeout},
	} {
		if *interval.set == 0 {
			*interval.set = interval.def
		}
	}
	return t
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
