// Package instance is the server process of one instance. It wires the listeners,
// the roster, the control plane, and the handlers for callers, upstreams and
// operators.
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
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/shutdown"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// Instance is one running instance. It is safe for concurrent use.
type Instance struct {
	options       Options
	incarnation   uint64
	pools         pools
	innerServer   *courier.Server
	controlPlane  chamber.ControlPlane
	proxy         *shuttle.Proxy
	crashDetector *coroner.CrashDetector
	trials        quarantine.Trials
	// trialTerm is the latest term in which this instance was asked for a trial as leader, first at
	// trialTermSince.
	trialTerm      jury.Term
	trialTermSince time.Time
	callerAPI      *desk.Server
	// placementController is nil unless this instance is a voter and placement is enabled.
	placementController *foreman.Controller
	metrics             *gauge.Metrics
	// The HTTP servers are nil until startServers succeeds.
	callerServer   *http.Server
	upstreamServer *http.Server
	operatorServer *http.Server
	// connections are those of the HTTP servers.
	connections shuttle.Connections

	mu     sync.Mutex
	roster *roster.Roster
	peers  map[string]*rosterPeer
	// forwardedChange is the sequence number of the last upstream change in the roster
	// that was forwarded to the caller API.
	forwardedChange uint64
	// lastBeat is the last published state of this instance, published at
	// lastBeatAt.
	lastBeat   roster.InstanceBeat
	lastBeatAt time.Time
	// draining is set when a drain starts. refusingRequests is set later, once
	// callers have had time to switch to other instances, and never without draining.
	draining         bool
	refusingRequests bool
	// drainRequested is closed when an operator requests a drain.
	drainRequested chan struct{}

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// pools are the connections to other instances. Each kind of traffic has its own
// pool, so that one kind cannot delay another.
type pools struct {
	rosters    *courier.Pool
	calls      *courier.Pool
	heartbeats *courier.Pool
	logEntries *courier.Pool
}

// New starts an instance, which serves callers until Drain or Close. If it cannot
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
			logEntries: courier.NewPool(options.Dial, callTimeout),
		},
		proxy: shuttle.New(shuttle.Options{
			StatusQueryDelay: options.Settings.Timing.StatusQueryDelay,
			BodyIdleTimeout:  options.MaxResponsePause,
		}),
		peers:          map[string]*rosterPeer{},
		drainRequested: make(chan struct{}),
		metrics:        gauge.New(options.Settings.Name),
		cancel:         cancel,
	}
	if err := i.startControlPlane(); err != nil {
		cancel()
		options.Listeners.Close()
		return nil, err
	}
	i.crashDetector = i.newCrashDetector()
	i.callerAPI = desk.New(desk.Options{
		Instance:      i,
		Name:          options.Settings.Name,
		Incarnation:   i.incarnation,
		Proxy:         i.proxy,
		CrashDetector: i.crashDetector,

		FailureDomain: options.Settings.FailureDomain,
		RemoteDelay:   remoteDomainDelay,
		Instances:     len(options.Settings.Instances) + 1,
		UpstreamLease: options.Settings.Timing.UpstreamLease,

		Now:     options.Now,
		Log:     options.Log,
		Metrics: i.metrics.Scope(),
		Limits: desk.Limits{
			MaxBodyBytes:    options.Settings.Limits.BodyBytes,
			DefaultDeadline: options.Settings.Goals.Deadline,
			DefaultGoal: declaration.Goal{
				FirstToken:    options.Settings.Goals.FirstToken,
				BetweenTokens: options.Settings.Goals.BetweenTokens,
			},
			MaxActiveRequests: options.Settings.Limits.Streams,
			MaxQueueLength:    options.Settings.Limits.QueueLength,
			MaxRecordedBytes:  options.Settings.Limits.IdempotencyAnswerBytes,
		},
	})
	i.renew()
	if err := i.startServers(); err != nil {
		i.Close()
		options.Listeners.Close()
		return nil, err
	}
	i.goroutines.Go(func() { i.runPulls(ctx) })
	i.goroutines.Go(func() { i.runRenewal(ctx) })
	i.goroutines.Go(func() { i.runCrashDetection(ctx) })
	i.goroutines.Go(func() { i.abandonEarlierClaims(ctx) })
	i.placementController = i.newPlacementController()
	return i, nil
}

// startControlPlane starts the control plane and then creates the roster, because
// the roster's record of this instance contains the control plane's identity.
func (i *Instance) startControlPlane() error {
	control, err := i.newControlPlane()
	if err != nil {
		return err
	}
	i.controlPlane = control
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster = roster.New(roster.Options{
		Self:        i.options.Settings.Name,
		Incarnation: i.incarnation,
		Static:      i.staticRecord(),
		Lease:       i.options.Settings.Timing.UpstreamLease,
	})
	return nil
}

func (i *Instance) startServers() error {
	services := courier.Services{
		Roster: courier.NewRosterService(i.servePull),
		Others: map[string]any{},
	}
	if voter, ok := i.controlPlane.(*chamber.Voter); ok {
		services.Others["Control"] = courier.NewControlService(voter.Control())
	}
	inner, err := courier.NewServer(i.options.Listeners.Inner, services)
	if err != nil {
		return errors.Wrap(err, "instance: inner listener")
	}
	i.innerServer = inner
	i.callerServer = i.startHTTPServer("callers", i.options.Listeners.Caller, i.callerAPI)
	i.upstreamServer = i.startHTTPServer("upstreams", i.options.Listeners.Upstream, arrivals.New(arrivals.Options{
		Instance:        i,
		UpstreamByToken: tokenHolder(i.options.Upstreams, "upstream"),
		Now:             i.options.Now,
		Log:             i.options.Log,
	}))
	i.operatorServer = i.startHTTPServer("operators", i.options.Listeners.Operator, registrar.New(registrar.Options{
		ConfigStore:     i.newConfigStore(),
		Instance:        operatorTarget{i},
		Metrics:         i.metrics,
		QuarantineStore: i,
		VoterManager:    i,
		Preview:         i.previewPlacement,
		OperatorByToken: tokenHolder(i.options.Operators, "operator"),
		Now:             i.options.Now,
		Log:             i.options.Log,
	}))
	return nil
}

func (i *Instance) startHTTPServer(name string, listener net.Listener, handler http.Handler) *http.Server {
	limits := i.options.Settings.Limits
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTime,
		ReadTimeout:       limits.HeaderTime + limits.BodyTime,
		MaxHeaderBytes:    int(limits.HeaderBytes),
		ConnContext:       i.connections.WithConn,
	}
	i.goroutines.Go(func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			i.options.Log.Error().Err(err).Str("listener", name).Msg("listener failed")
		}
	})
	return server
}

const (
	// answerTime is the time before the end of a drain at which requests that still run are
	// answered, at most half of the drain.
	answerTime = 500 * time.Millisecond
	// cutTime is the time before the end of a drain at which responses that have begun are ended,
	// event streams with an event that says so.
	cutTime = 200 * time.Millisecond
)

// Drain shuts the instance down gracefully, without aborting requests.
//
// First the instance is no longer listed to callers, but continues to serve
// those that have cached its address until their cache entries expire. Then it
// refuses new requests with the addresses of other instances, and closes once no
// request is in progress. Requests that arrive and can't be expected to end before
// the deadline of ctx are refused at once, and those that still run shortly before it
// are answered. If ctx ends earlier, Drain closes the instance anyway and returns an
// error with the number of aborted requests.
func (i *Instance) Drain(ctx context.Context) error {
	start := i.options.Now()
	i.mu.Lock()
	i.draining = true
	i.renewIfDueLocked(start)
	i.mu.Unlock()
	i.options.Log.Info().Msg("draining")
	var schedule shutdown.Schedule
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end)
		until := func(rest time.Duration) time.Duration { return max(left-rest, left/2, time.Nanosecond) }
		schedule = shutdown.Schedule{TakeUntil: left, AnswersEnd: until(answerTime), CutFrom: until(cutTime), BegunEnd: until(cutTime)}
	}
	i.callerAPI.Stop(schedule)
	// The drain state reaches every instance within three pulls and one call. Until
	// then, another instance may still list this one to callers.
	addressExpiry := time.NewTimer(i.options.Settings.Timing.ReferralTTL + 3*pullInterval + callTimeout)
	defer addressExpiry.Stop()
	select {
	case <-addressExpiry.C:
	case <-ctx.Done():
	}
	i.mu.Lock()
	i.refusingRequests = true
	i.mu.Unlock()
	// StopServer closes the listener before it waits, so no request can arrive
	// between the last response and Close.
	err := shutdown.StopServer(ctx, i.callerServer, i.options.Listeners.Caller, shutdown.HeadTime)
	if err != nil {
		err = errors.Wrapf(err, "instance: %d requests cut off", i.callerAPI.ActiveRequests())
	}
	i.options.Log.Info().Object("requests", i.callerAPI.StopSummary()).Int("cut-off", i.callerAPI.ActiveRequests()).
		Dur("took", i.options.Now().Sub(start)).Msg("drained")
	// Outcomes of requests must be recorded before the control plane closes.
	i.callerAPI.Wait()
	i.stopPlacementController()
	i.controlPlane.Close(ctx)
	i.answerCalls()
	i.Close()
	return err
}

// answerCalls stops the servers for upstreams and operators after their calls in progress, which do not wait for a
// closed control plane.
func (i *Instance) answerCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	var stops sync.WaitGroup
	stop := func(server *http.Server, listener net.Listener) {
		// An error means that a call is cut off by Close.
		stops.Go(func() { _ = shutdown.StopServer(ctx, server, listener, 0) })
	}
	stop(i.upstreamServer, i.options.Listeners.Upstream)
	stop(i.operatorServer, i.options.Listeners.Operator)
	stops.Wait()
}

// UpstreamAddress returns the address where upstreams announce themselves.
func (i *Instance) UpstreamAddress() string {
	return i.options.Settings.Advertise.Upstream.String()
}

// DrainRequested returns a channel that is closed when an operator requests a
// drain.
func (i *Instance) DrainRequested() <-chan struct{} {
	return i.drainRequested
}

// Close stops the instance immediately and aborts requests in progress.
func (i *Instance) Close() {
	i.cancel()
	i.connections.Reset()
	for _, server := range []*http.Server{i.callerServer, i.upstreamServer, i.operatorServer} {
		if server != nil {
			server.Close()
		}
	}
	i.stopPlacementController()
	i.crashDetector.Close()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	i.controlPlane.Close(expired)
	if i.innerServer != nil {
		i.innerServer.Close()
	}
	for _, pool := range []*courier.Pool{i.pools.rosters, i.pools.calls, i.pools.heartbeats, i.pools.logEntries} {
		pool.Close()
	}
	i.goroutines.Wait()
	i.proxy.Close()
	if err := i.metrics.Close(); err != nil {
		i.options.Log.Debug().Err(err).Msg("cannot close metrics")
	}
}
