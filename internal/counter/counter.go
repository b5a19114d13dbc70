package counter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/speed"
)

// Counter is the proxy of one entry instance. It is safe for concurrent use.
type Counter struct {
	options Options
	// keepAlive serves idempotent requests over reused connections. singleUse serves all others and
	// opens a connection for each.
	keepAlive *http.Transport
	singleUse *http.Transport
	routes    atomic.Pointer[routes.Table]

	mu      sync.Mutex
	roster  *roster.Roster
	pool    *upstreamPool
	control controlLinks
	seeds   []string
	demand  *demand
	// speeds holds the estimated engine speed of each service.
	speeds  map[string]*speed.Speed
	budgets *retry.Budgets
	metrics *metrics
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
	// claimAnswers are the recent answers to peers that asked for permission to send to a
	// rate-limited upstream.
	claimAnswers map[peerRequest]claimAnswer
	// crashes detects upstreams that crash while running requests. Lock order: mu before the lock
	// of the detector.
	crashes *coroner.Coroner
	// active is the number of requests in flight.
	active   int
	draining bool

	// syncNow triggers the next sync immediately.
	syncNow    chan struct{}
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// idleConnTimeout is how long an idle connection to an upstream is kept. Upstreams close idle
// connections after some seconds, and a request sent while the upstream closes its connection is
// lost.
const idleConnTimeout = 2 * time.Second

// maxIdleConnsPerUpstream is the number of idle connections kept to each upstream.
const maxIdleConnsPerUpstream = 8

// New returns a Counter that has started to sync with control instances.
func New(options Options) *Counter {
	options.RoutesWithin = cmp.Or(options.RoutesWithin, defaultRoutesMaxDelay)
	ctx, cancel := context.WithCancel(context.Background())
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, address)
	}
	c := &Counter{
		options: options,
		keepAlive: &http.Transport{
			DialContext: dial, DisableCompression: true,
			MaxIdleConnsPerHost: maxIdleConnsPerUpstream, IdleConnTimeout: idleConnTimeout,
		},
		singleUse: &http.Transport{DialContext: dial, DisableCompression: true, DisableKeepAlives: true},
		roster: roster.New(roster.Options{
			Self:        options.Name,
			Incarnation: uint64(options.Now().UnixNano()),
			Static: roster.InstanceStatic{
				CallerAddress: options.CallerAddress, InnerAddress: options.Name, FailureDomain: options.FailureDomain,
			},
			Lease: options.UpstreamLease,
		}),
		pool:   newUpstreamPool(options.FailureDomain, options.UpstreamLease),
		demand: newDemand(),
		speeds: map[string]*speed.Speed{},
		budgets: retry.NewBudgets(retry.Options{
			Attempts: maxSends, Share: options.Retries.Share, Reserve: minReserve,
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
		claimAnswers:  map[peerRequest]claimAnswer{},
		syncNow:       make(chan struct{}, 1),
		cancel:        cancel,
	}
	c.queue = newQueue()
	c.control = controlLinks{
		syncCalls:   courier.NewPool(options.Dial, syncTimeout),
		loadCalls:   courier.NewPool(options.Dial, syncTimeout),
		reportCalls: courier.NewPool(options.Dial, syncTimeout),
		known:       options.Seeds,
		nextIndex:   rand.IntN(len(options.Seeds)),
	}
	c.control.current = options.Seeds[c.control.nextIndex]
	c.peers = newPeerLink(options.Peers, options.Now, c.receive, options.Log)
	c.crashes = c.newCrashDetector()
	c.background.Go(func() { c.syncLoop(ctx) })
	return c
}

// parseAddress returns the parsed address, or an invalid one if name is not an address.
func parseAddress(name string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(name)
	return address
}

// maxSends bounds how often one request is sent, including attempts that an upstream refused.
const maxSends = 4

// Serves reports whether the instance accepts requests: it has routes and is not draining.
func (c *Counter) Serves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.draining && c.routes.Load() != nil
}

// Open returns the number of requests in flight.
func (c *Counter) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active
}

// Drain begins a planned shutdown. Callers are directed to other instances; requests that still
// arrive are served.
func (c *Counter) Drain() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.syncSoon()
}

// syncSoon triggers the next sync immediately.
func (c *Counter) syncSoon() {
	select {
	case c.syncNow <- struct{}{}:
	default:
	}
}

// Draining reports whether a planned shutdown has begun.
func (c *Counter) Draining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// Seed replaces the control instances to fall back on.
func (c *Counter) Seed(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
	c.control.known = union(c.control.known, seeds)
}

// Close stops synchronizing and closes all connections.
func (c *Counter) Close() {
	c.cancel()
	c.control.syncCalls.Close()
	c.control.loadCalls.Close()
	c.crashes.Close()
	c.control.reportCalls.Close()
	c.peers.close()
	c.background.Wait()
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}
