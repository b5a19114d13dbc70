// Package instance puts one instance together: its listeners, its roster, its
// part in the replicated state, and the handlers of callers, upstreams and
// operators (server process).
package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/arrivals"
	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/gauge"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// Instance is one running instance. It is safe for concurrent use.
type Instance struct {
	options     Options
	incarnation uint64
	pools       pools
	inner       *courier.Server
	chamber     chamber.Chamber
	shuttle     *shuttle.Shuttle
	coroner     *coroner.Coroner
	desk        *desk.Desk
	// foreman is nil unless this instance is a voter that may give orders.
	foreman *foreman.Foreman
	gauges  *gauge.Gauges
	// callers, upstreams and operators serve the listeners of those names.
	callers   *http.Server
	upstreams *http.Server
	operators *http.Server

	mu     sync.Mutex
	roster *roster.Roster
	peers  map[string]*pulled
	// told says how far the desk knows the upstreams.
	told uint64
	// lastBeat is the last state that others were told, at lastBeatAt.
	lastBeat   roster.InstanceBeat
	lastBeatAt time.Time
	// draining is set at the start of a planned stop, refusing when callers have
	// had the time to go elsewhere. refusing is never set without draining.
	draining bool
	refusing bool
	// drainAsked is closed when an operator asks for a planned stop.
	drainAsked chan struct{}

	stop context.CancelFunc
	done sync.WaitGroup
}

// pools are the connections to other instances, by what must not wait for what.
type pools struct {
	rosters    *courier.Pool
	calls      *courier.Pool
	heartbeats *courier.Pool
	entries    *courier.Pool
}

// New starts an instance. It answers callers until Drain or Close. If it can't
// start, New closes the listeners and returns an error.
func New(options Options) (*Instance, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Dial == nil {
		options.Dial = courier.DialTCP
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		options:     options,
		incarnation: uint64(options.Now().UnixNano()),
		pools: pools{
			rosters:    courier.NewPool(options.Dial, callTimeout),
			calls:      courier.NewPool(options.Dial, callTimeout),
			heartbeats: courier.NewPool(options.Dial, callTimeout),
			entries:    courier.NewPool(options.Dial, callTimeout),
		},
		shuttle: shuttle.New(shuttle.Options{
			SilenceTime: options.Settings.Timing.SilenceTime,
			BodySilence: options.AnswerPause,
		}),
		peers:      map[string]*pulled{},
		drainAsked: make(chan struct{}),
		gauges:     gauge.New(options.Settings.Name),
		stop:       cancel,
	}
	if err := i.join(); err != nil {
		cancel()
		options.Listeners.Close()
		return nil, err
	}
	i.coroner = i.newCoroner()
	i.desk = desk.New(desk.Options{
		Instance:    i,
		Name:        options.Settings.Name,
		Incarnation: i.incarnation,
		Shuttle:     i.shuttle,
		Coroner:     i.coroner,

		FailureDomain: options.Settings.FailureDomain,
		RemoteDelay:   remoteDelay,
		Instances:     len(options.Settings.Instances) + 1,
		UpstreamLease: options.Settings.Timing.UpstreamLease,

		Now:     options.Now,
		Log:     options.Log,
		Metrics: i.gauges.Scope(),
		Limits: desk.Limits{
			BodyBytes: options.Settings.Limits.BodyBytes,
			Deadline:  options.Settings.Goals.Deadline,
			Goal: declaration.Goal{
				FirstToken:    options.Settings.Goals.FirstToken,
				BetweenTokens: options.Settings.Goals.BetweenTokens,
			},
			Streams:       options.Settings.Limits.Streams,
			QueueLength:   options.Settings.Limits.QueueLength,
			RecordedBytes: options.Settings.Limits.DocketAnswerBytes,
		},
	})
	i.beatNow()
	if err := i.listen(); err != nil {
		i.Close()
		options.Listeners.Close()
		return nil, err
	}
	i.done.Go(func() { i.pull(ctx) })
	i.done.Go(func() { i.beat(ctx) })
	i.done.Go(func() { i.followCrashes(ctx) })
	i.done.Go(func() { i.abandonEarlier(ctx) })
	i.foreman = i.newForeman()
	return i, nil
}

// join starts this instance's part in the replicated state, and its roster,
// which tells others of that part.
func (i *Instance) join() error {
	control, err := i.newChamber()
	if err != nil {
		return err
	}
	i.chamber = control
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster = roster.New(roster.Options{
		Self:        i.options.Settings.Name,
		Incarnation: i.incarnation,
		Static:      i.static(),
		Lease:       i.options.Settings.Timing.UpstreamLease,
	})
	return nil
}

func (i *Instance) listen() error {
	services := courier.Services{
		Roster: courier.NewRosterService(i.answerPull),
		Others: map[string]any{},
	}
	if voter, ok := i.chamber.(*chamber.Voter); ok {
		services.Others["Control"] = courier.NewControlService(voter.Control())
	}
	inner, err := courier.NewServer(i.options.Listeners.Inner, services)
	if err != nil {
		return errors.Wrap(err, "instance: inner listener")
	}
	i.inner = inner
	i.callers = i.serve("callers", i.options.Listeners.Caller, i.desk)
	i.upstreams = i.serve("upstreams", i.options.Listeners.Upstream, arrivals.New(arrivals.Options{
		Instance: i,
		Holder:   holder(i.options.Upstreams, "upstream"),
		Now:      i.options.Now,
		Log:      i.options.Log,
	}))
	i.operators = i.serve("operators", i.options.Listeners.Operator, registrar.New(registrar.Options{
		Register:   i.register(),
		House:      house{i},
		Metrics:    i.gauges,
		Quarantine: i,
		Electorate: i,
		Preview:    i.preview,
		Holder:     holder(i.options.Operators, "operator"),
		Now:        i.options.Now,
		Log:        i.options.Log,
	}))
	return nil
}

func (i *Instance) serve(whom string, listener net.Listener, handler http.Handler) *http.Server {
	limits := i.options.Settings.Limits
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTime,
		ReadTimeout:       limits.HeaderTime + limits.BodyTime,
		MaxHeaderBytes:    int(limits.HeaderBytes),
	}
	i.done.Go(func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			i.options.Log.Error().Err(err).Str("listener", whom).Msg("listener failed")
		}
	})
	return server
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
	// The news are everywhere after three pulls and one call. An answer with this
	// instance in it may have been given until then.
	keep := time.NewTimer(i.options.Settings.Timing.EntryTime + 3*pullEvery + callTimeout)
	defer keep.Stop()
	select {
	case <-keep.C:
	case <-ctx.Done():
	}
	i.mu.Lock()
	i.refusing = true
	i.mu.Unlock()
	// Shutdown stops listening before it waits, so no request can come in
	// between the last answer and the close.
	err := i.callers.Shutdown(ctx)
	if err != nil {
		err = errors.Wrapf(err, "instance: %d requests cut off", i.desk.Streams())
	}
	// What was run must be recorded before the voters are left.
	i.desk.Wait()
	i.stopOrders()
	i.chamber.Close(ctx)
	i.Close()
	return err
}

// UpstreamAddress returns where upstreams announce themselves.
func (i *Instance) UpstreamAddress() string {
	return i.options.Settings.Advertise.Upstream.String()
}

// DrainAsked is closed when an operator asks for a planned stop.
func (i *Instance) DrainAsked() <-chan struct{} {
	return i.drainAsked
}

// Close stops the instance at once, cutting off requests in progress.
func (i *Instance) Close() {
	i.stop()
	for _, server := range []*http.Server{i.callers, i.upstreams, i.operators} {
		if server != nil {
			server.Close()
		}
	}
	i.stopOrders()
	i.coroner.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	i.chamber.Close(ended)
	if i.inner != nil {
		i.inner.Close()
	}
	for _, pool := range []*courier.Pool{i.pools.rosters, i.pools.calls, i.pools.heartbeats, i.pools.entries} {
		pool.Close()
	}
	i.done.Wait()
	i.shuttle.Close()
	if err := i.gauges.Close(); err != nil {
		i.options.Log.Debug().Err(err).Msg("metrics not closed")
	}
}
