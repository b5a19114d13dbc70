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

// Counter is one entry instance. It is safe for concurrent use.
type Counter struct {
	options Options
	// kept carries what may be repeated on connections that are used again, and
	// fresh the rest, on a connection for each request.
	kept  *http.Transport
	fresh *http.Transport
	table atomic.Pointer[routes.Table]

	mu     sync.Mutex
	roster *roster.Roster
	fleet  *fleet
	links  links
	seeds  []string
	demand *demand
	// speeds are what is learned of the engines of each service.
	speeds  map[string]*speed.Speed
	budgets *retry.Budgets
	metrics *metrics
	// quotas bound the log lines of each kind.
	quotas map[string]*quota
	// wants are the calls for models and adapters that wait or are under way.
	wants    map[courier.WantArgs]bool
	wantPace *wantPace
	// told says how far the fleet follows the roster.
	told  uint64
	queue queue
	// exchange reaches the other entry instances, and owners says which of them decides
	// for which model.
	exchange *exchange
	owners   owners
	// questions are the requests of this instance that others decide on, and permits those
	// of others that this one does.
	questions    map[permit.ID]*question
	lastQuestion permit.ID
	permits      map[otherInstance]*issued
	// claims are the answers of late to instances that asked to send to upstreams with a
	// limit.
	claims map[otherInstance]claimed
	// coroner looks for upstreams that end under requests. Its lock may be taken while mu
	// is held.
	coroner *coroner.Coroner
	// open is how many requests are under way.
	open     int
	draining bool

	// syncNow has the next sync come at once.
	syncNow chan struct{}
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// idleTime is how long a connection to an upstream is kept. Upstreams close idle
// ones after some seconds, and a request that crosses the close is lost.
const idleTime = 2 * time.Second

// keptConnections is how many idle connections are kept to each upstream.
const keptConnections = 8

// New returns a Counter that has started to learn from control instances.
func New(options Options) *Counter {
	options.RoutesWithin = cmp.Or(options.RoutesWithin, defaultRoutesWithin)
	ctx, cancel := context.WithCancel(context.Background())
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, address)
	}
	c := &Counter{
		options: options,
		kept: &http.Transport{
			DialContext: dial, DisableCompression: true,
			MaxIdleConnsPerHost: keptConnections, IdleConnTimeout: idleTime,
		},
		fresh: &http.Transport{DialContext: dial, DisableCompression: true, DisableKeepAlives: true},
		roster: roster.New(roster.Options{
			Self:        options.Name,
			Incarnation: uint64(options.Now().UnixNano()),
			Static: roster.InstanceStatic{
				CallerAddress: options.CallerAddress, InnerAddress: options.Name, FailureDomain: options.FailureDomain,
			},
			Lease: options.UpstreamLease,
		}),
		fleet:  newFleet(options.FailureDomain, options.UpstreamLease),
		demand: newDemand(),
		speeds: map[string]*speed.Speed{},
		budgets: retry.NewBudgets(retry.Options{
			Attempts: maxAttempts, Share: options.Retries.Share, Reserve: leastReserve,
		}),
		seeds:   options.Seeds,
		metrics: newMetrics(options.Metrics),
		quotas:  map[string]*quota{},
		wants:   map[courier.WantArgs]bool{}, wantPace: newWantPace(),
		owners:    newOwners(addressOf(options.Name)),
		questions: map[permit.ID]*question{},
		// The questions of the process that had this address before have lower numbers.
		lastQuestion: permit.ID(options.Now().UnixNano()),
		permits:      map[otherInstance]*issued{},
		claims:       map[otherInstance]claimed{},
		syncNow:      make(chan struct{}, 1),
		stop:         cancel,
	}
	c.queue = newQueue()
	c.links = links{
		calls:    courier.NewPool(options.Dial, syncTimeout),
		wants:    courier.NewPool(options.Dial, syncTimeout),
		reports:  courier.NewPool(options.Dial, syncTimeout),
		controls: options.Seeds,
		next:     rand.IntN(len(options.Seeds)),
	}
	c.links.asked = options.Seeds[c.links.next]
	c.exchange = newExchange(options.Peers, options.Now, c.hear, options.Log)
	c.coroner = c.newCoroner()
	c.done.Go(func() { c.follow(ctx) })
	return c
}

// addressOf returns an address, which is not valid if name is none.
func addressOf(name string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(name)
	return address
}

// maxAttempts bounds the sendings of one request, refusals by upstreams
// included.
const maxAttempts = 4

// Serves reports whether the instance takes requests: it knows routes and is not
// stopping.
func (c *Counter) Serves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.draining && c.table.Load() != nil
}

// Open returns how many requests are under way.
func (c *Counter) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Drain begins a planned stop: callers are told to use other instances. Requests
// that come all the same are served.
func (c *Counter) Drain() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.hurry()
}

// hurry has the next question to a control instance come at once.
func (c *Counter) hurry() {
	select {
	case c.syncNow <- struct{}{}:
	default:
	}
}

// Draining reports whether a planned stop has begun.
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
	c.links.controls = merge(c.links.controls, seeds)
}

// Close stops learning and closes the connections.
func (c *Counter) Close() {
	c.stop()
	c.links.calls.Close()
	c.links.wants.Close()
	c.coroner.Close()
	c.links.reports.Close()
	c.exchange.close()
	c.done.Wait()
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
