package counter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagelift/lovagelift/internal/bodysize"
	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shutdown"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/speed"
)

// Proxy is the proxy of one entry instance. It is safe for concurrent use.
type Proxy struct {
	options Options
	// upstreams connect to upstreams, and relays to other entry instances that send to upstreams
	// for this one.
	upstreams transports
	relays    *relayClient
	liveness  livenessChecks
	routes    atomic.Pointer[routes.Table]

	mu       sync.Mutex
	roster   *roster.Roster
	pool     *upstreamPool
	control  controlLinks
	seeds    []string
	demand   *demand
	runTimes runTimes
	// estimators holds the estimated engine speed of each service.
	estimators map[string]*speed.Estimator
	budgets    *retry.Budgets
	metrics    *metrics
	// logQuotas limits the log lines of each kind.
	logQuotas map[string]*logQuota
	// pendingLoads are the load calls for models and adapters that are waiting or in flight.
	pendingLoads map[courier.WantArgs]bool
	loadLimiter  *loadLimiter
	// rosterRevision is the roster revision up to which the pool has been updated.
	rosterRevision uint64
	queue          queue
	// peers exchanges messages with the other entry instances. owners maps each model to the
	// instance that places its requests.
	peers  *peerLink
	owners ownerTable
	// pendingReplies are the messages of this instance to which the owner of a model or limit has
	// yet to reply. permits are the peers' requests that this instance places, queued or granted.
	pendingReplies map[permit.ID]*pendingReply
	lastMessageID  permit.ID
	permits        map[peerRequest]*permitRecord
	// plain holds the groups of the upstreams of plain services.
	plain plainGroups
	// storedAnswers are the recent answers to peers that requested units of a quota, or permission to
	// send to a rate-limited upstream.
	storedAnswers map[peerRequest]storedAnswer
	quotas        quotaAccounts
	// awakeAt is the latest wake of this process, and zero before the first one.
	awakeAt    time.Time
	wakeDelays wakeDelays
	// origins are the origins of streams that began here, and of those reported by other instances.
	origins resumption.Origins
	// formerRoutes are the routes that were in force here before and led streams elsewhere, and routesSince
	// is when the first ones came into force here.
	formerRoutes routes.History
	routesSince  time.Time
	// unsyncedStreams are the streams to report to a control instance.
	unsyncedStreams []resumption.Record
	// crashes detects upstreams that crash while running requests. Lock order: mu before the lock
	// of the detector.
	crashes *coroner.CrashDetector
	// trials decides on the trials that this instance owns.
	trials quarantine.Trials
	// startedAt is the start of this process, which knows nothing of the one before it.
	startedAt time.Time
	// responseBuffers bounds the memory of responses that are read before they are passed on.
	responseBuffers *shuttle.ByteBudget
	// requestBodies bounds the memory of the bodies of requests, which are kept until their answers end.
	requestBodies *shuttle.SharedBudget
	longestBodies bodysize.Longest
	// active is the number of requests in flight, and relaying how many of them other instances
	// have sent here because they cannot reach the upstream.
	active   int
	relaying int
	draining bool

	// drainBegun ends when a planned shutdown begins, by beginDrain. Requests may wait for an upstream until waitsEnd
	// then.
	drainBegun context.Context
	beginDrain context.CancelFunc
	waitsEnd   time.Time
	// shutdown knows the requests that were sent here. Lock order: mu before its lock.
	shutdown *shutdown.Plan[completionKey]
	// syncNow triggers the next sync immediately.
	syncNow    chan struct{}
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New returns a Proxy that has started to sync with control instances.
func New(options Options) *Proxy {
	options.MaxRouteUpdateDelay = cmp.Or(options.MaxRouteUpdateDelay, defaultRoutesMaxDelay)
	if options.DialUpstream == nil {
		options.DialUpstream = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		options:   options,
		startedAt: options.Now(),
		relays:    newRelayClient(),
		roster: roster.New(roster.Options{
			Self:        options.Name,
			Incarnation: uint64(options.Now().UnixNano()),
			Static: roster.InstanceStatic{
				CallerAddress: options.CallerAddress, InnerAddress: options.Name, FailureDomain: options.FailureDomain,
			},
			Lease:       options.UpstreamLease,
			ContestTime: roster.ContestTimeFor(options.UpstreamLease),
		}),
		pool:       newUpstreamPool(options.FailureDomain, options.UpstreamLease),
		demand:     newDemand(),
		runTimes:   runTimes{},
		estimators: map[string]*speed.Estimator{},
		budgets: retry.NewBudgets(retry.Options{
			MaxAttempts: maxSends, Share: options.Retries.Ratio, Reserve: minReserve,
		}),
		seeds:        options.Seeds,
		metrics:      newMetrics(options.Metrics),
		logQuotas:    map[string]*logQuota{},
		pendingLoads: map[courier.WantArgs]bool{}, loadLimiter: newLoadLimiter(),
		owners:         newOwnerTable(parseAddress(options.Name)),
		pendingReplies: map[permit.ID]*pendingReply{},
		// IDs start at the current time, so that they are above those of an earlier process at this
		// address.
		lastMessageID: permit.ID(options.Now().UnixNano()),
		permits:       map[peerRequest]*permitRecord{},
		storedAnswers: map[peerRequest]storedAnswer{},
		quotas:        quotaAccounts{},
		plain:         plainGroups{},
		shutdown:      shutdown.New[completionKey](),
		longestBodies: bodysize.Longest{}, responseBuffers: shuttle.NewByteBudget(defaultResponseBufferBytes),
		requestBodies: shuttle.NewSharedBudget(shuttle.NewMemoryShare(options.MemoryBytes, bodyMemoryShare, 0)),
		syncNow:       make(chan struct{}, 1),
		cancel:        cancel,
	}
	p.drainBegun, p.beginDrain = context.WithCancel(ctx)
	p.upstreams = newTransports(p.dialUpstream)
	p.queue = newQueue()
	p.control = controlLinks{
		syncCalls:   courier.NewPool(options.Dial, syncTimeout),
		loadCalls:   courier.NewPool(options.Dial, syncTimeout),
		reportCalls: courier.NewPool(options.Dial, syncTimeout),
		originCalls: courier.NewPool(options.Dial, controlOriginTimeout),
		known:       options.Seeds,
		nextIndex:   rand.IntN(len(options.Seeds)),

		rosterIncomplete: true,
	}
	p.control.current = options.Seeds[p.control.nextIndex]
	p.peers = newPeerLink(options.PeerConn, options.Now, p.receive, options.Log)
	p.crashes = p.newCrashDetector()
	p.background.Go(func() { p.syncLoop(ctx) })
	p.background.Go(func() { p.probeLoop(ctx) })
	p.background.Go(func() { p.wakeLoop(ctx) })
	return p
}

// parseAddress returns the parsed address, or an invalid one if name is not an address.
func parseAddress(name string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(name)
	return address
}

// maxSends bounds how often one request is sent, including attempts that an upstream refused.
const maxSends = 4

// Ready reports whether the instance accepts requests: it has routes and is not draining.
func (p *Proxy) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.draining && p.routes.Load() != nil
}

// ActiveRequests returns the number of requests in flight.
func (p *Proxy) ActiveRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// syncSoon triggers the next sync immediately.
func (p *Proxy) syncSoon() {
	select {
	case p.syncNow <- struct{}{}:
	default:
	}
}

// Draining reports whether a planned shutdown has begun.
func (p *Proxy) Draining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// SetSeeds replaces the control instances to fall back on.
func (p *Proxy) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
	p.control.known = union(p.control.known, seeds)
}

// Close stops synchronizing and closes all connections.
func (p *Proxy) Close() {
	p.cancel()
	p.control.syncCalls.Close()
	p.control.loadCalls.Close()
	p.crashes.Close()
	p.control.reportCalls.Close()
	p.control.originCalls.Close()
	p.peers.close()
	p.background.Wait()
	p.upstreams.closeIdle()
	p.relays.transports.closeIdle()
}
