package foreman_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/fstest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	gib = int64(1) << 30
	// lease is the announcement lease, and loadTime the duration of a load at an engine.
	lease    = 3 * time.Second
	loadTime = 2 * time.Second
)

// engineKind is a combination of the capabilities by which an engine can prove the outcome of an
// order.
type engineKind struct {
	fencing upstreamapi.Fencing
	// orderExpiry and orderStatus are true if the engine announces these capabilities.
	orderExpiry, orderStatus bool
}

var engineKinds = []engineKind{
	{upstreamapi.FencingChecked, true, true},
	{upstreamapi.FencingIgnored, true, true},
	{upstreamapi.FencingIgnored, false, true},
	{upstreamapi.FencingIgnored, false, false},
}

// testCluster consists of the replicated state, some engines, and a network with fault injection
// between them. It runs in a synctest bubble, whose clock advances only while all goroutines are
// blocked.
type testCluster struct {
	kind engineKind
	log  bytes.Buffer
	// logWriter writes to log. It is safe for concurrent use.
	logWriter io.Writer
	net       *network
	engines   map[string]*standin.Engine
	// missing holds the engines without a valid announcement lease.
	missing map[string]bool
	// staleReports holds, by engine, outdated reports that are announced with the current clock.
	staleReports map[string]upstreamapi.Announcement
	declared     declaration.Set
	// preset is the name of the active preset.
	preset   string
	revision registry.Revision

	mu    sync.Mutex
	state *registry.Registry
	index jury.Index
	// beforePropose may reject a command. afterApply is called after each applied command.
	beforePropose func(manifest.Command) error
	afterApply    func(manifest.Command)
	// afterApplyMu serializes the calls of afterApply.
	afterApplyMu sync.Mutex
	// orderTerm is the term that holds the order right, 0 if none.
	orderTerm uint64
}

// forEachEngineKind runs a test once for each kind of engine.
func forEachEngineKind(t *testing.T, test func(c *testCluster)) {
	for _, kind := range engineKinds {
		t.Run(fmt.Sprintf("fencing %s, expiry %t, status %t", kind.fencing, kind.orderExpiry, kind.orderStatus), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				c := &testCluster{
					kind: kind, engines: map[string]*standin.Engine{}, missing: map[string]bool{},
					state: registry.New(), orderTerm: 1, revision: 1, preset: "ordinary",
				}
				c.net = &network{cluster: c, delayed: map[string][]upstreamapi.Order{}}
				c.logWriter = zerolog.SyncWriter(&c.log)
				defer func() {
					for _, e := range c.engines {
						_ = e.Close(context.Background())
					}
					if t.Failed() {
						t.Log(c.log.String())
					}
				}()
				test(c)
			})
		})
	}
}

// startEngine starts an engine with 10 GiB. It restarts an engine that already has that name.
func (c *testCluster) startEngine(name string, incarnation uint64) {
	if e := c.engines[name]; e != nil {
		_ = e.Close(context.Background())
	}
	capabilities := []upstreamapi.Capability{upstreamapi.CapabilityOrders, upstreamapi.CapabilityAdapters}
	if c.kind.orderExpiry {
		capabilities = append(capabilities, upstreamapi.CapabilityOrderExpiry)
	}
	if c.kind.orderStatus {
		capabilities = append(capabilities, upstreamapi.CapabilityOrderStatus)
	}
	c.engines[name] = standin.NewEngine(standin.EngineOptions{
		Name: name, Address: name + ":80", FailureDomain: "kgn-a", Incarnation: incarnation, Fencing: c.kind.fencing,
		Capabilities: capabilities, LoadDelay: loadTime, UnloadDelay: time.Second,
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 10 * gib}},
	})
}

// declare replaces the declarations by models of the given sizes in GiB.
func (c *testCluster) declare(sizesGiB map[string]int) {
	var text, names strings.Builder
	for name, size := range sizesGiB {
		fmt.Fprintf(&text, "[[model]]\nname = %q\nkv-space = \"1 GiB\"\nlayouts = [{ accelerators = 1, memory = \"%d GiB\" }]\n"+
			"versions = [{ name = \"1\", weights = %q }]\nversion = \"1\"\n", name, size-1, name)
		fmt.Fprintf(&names, "%q, ", name)
	}
	fmt.Fprintf(&text, "[[preset]]\nname = \"ordinary\"\nfirst = true\ntolerate-engines = 0\n"+
		"[[preset]]\nname = \"peak\"\ncopies = 2\ntolerate-engines = 0\n"+
		"[[service]]\nname = \"s\"\nkind = \"model-backed\"\nmodels = [%s]\n", names.String())
	set, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(text.String())}}, "test")
	Expect(err).NotTo(HaveOccurred())
	c.declared = set
	c.revision++
}

// Configuration returns the active configuration.
func (c *testCluster) Configuration() *gazette.Configuration {
	preset, _ := c.declared.Preset(c.preset)
	return &gazette.Configuration{Revision: c.revision, Preset: preset, Declarations: c.declared}
}

// Upstreams returns the engines with a valid announcement lease.
func (c *testCluster) Upstreams(now time.Time) []roster.Upstream {
	var list []roster.Upstream
	for name, e := range c.engines {
		if !c.missing[name] {
			announced := e.Announcement()
			if stale, isStale := c.staleReports[name]; isStale {
				stale.Load.Clock = announced.Load.Clock
				announced = stale
			}
			list = append(list, roster.Upstream{Announcement: announced, LastContact: now})
		}
	}
	return list
}

// replica is the replicated state as seen by the leader of one term.
type replica struct {
	*testCluster
	term uint64
}

// OrderRight reports whether the term holds the order right.
func (r replica) OrderRight(now time.Time) (jury.Term, time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orderTerm != r.term {
		return 0, time.Time{}, false
	}
	return jury.Term(r.term), now.Add(time.Second), true
}

// Manifest returns the recorded engines and orders.
func (c *testCluster) Manifest() manifest.View { return c.state.Manifest() }

// Propose applies a command if its proposer leads.
func (r replica) Propose(_ context.Context, command registry.Command) (registry.Result, error) {
	proposed := command.(manifest.Command)
	if r.beforePropose != nil {
		if err := r.beforePropose(proposed); err != nil {
			return registry.Result{}, err
		}
	}
	r.mu.Lock()
	if r.orderTerm != r.term {
		r.mu.Unlock()
		return registry.Result{}, errors.New("this replica does not lead")
	}
	data, err := registry.Encode(command)
	if err != nil {
		r.mu.Unlock()
		return registry.Result{}, err
	}
	r.index++
	result, err := r.state.Apply(r.index, data)
	r.mu.Unlock()
	if r.afterApply != nil {
		r.afterApplyMu.Lock()
		defer r.afterApplyMu.Unlock()
		r.afterApply(proposed)
	}
	return result, err
}

// newController returns a Controller at the replica that leads in the given term.
func (c *testCluster) newController(term uint64) *foreman.Controller {
	return foreman.NewWithoutLoop(foreman.Options{
		State:         replica{c, term},
		Cluster:       c,
		Planner:       placement.New(placement.Options{}),
		WeightStore:   placement.WeightStore{MaxConcurrentLoads: 2},
		WeightOfMoves: 1,
		Client:        &http.Client{Transport: c.net},
		OrderTimeout:  5 * time.Second,
		UpstreamLease: lease,
		Now:           time.Now,
		Log:           zerolog.New(c.logWriter),
	})
}

// grantRight passes the order right to another term. Term 0 revokes it.
func (c *testCluster) grantRight(term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderTerm = term
}

// run reconciles each Controller every 250 ms. After each round it checks the invariants.
func (c *testCluster) run(d time.Duration, controllers ...*foreman.Controller) {
	for range d / (250 * time.Millisecond) {
		for _, c := range controllers {
			c.Reconcile(time.Now())
		}
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		c.checkInvariants()
	}
}

func (c *testCluster) checkInvariants() {
	for name, e := range c.engines {
		Expect(e.Overcommits()).To(BeZero(), name)
		recorded, known := c.Manifest().Engine(name)
		a := e.Announcement()
		if !known || recorded.Ledger.Incarnation() != a.Incarnation || len(recorded.Ledger.Contradictions()) > 0 {
			continue
		}
		account, _ := recorded.Ledger.Account("a0")
		Expect(*a.Accelerators[0].UsedBytes).To(BeNumerically("<=", account.WorstCase()), name)
	}
}

// hasModel reports whether the engine holds the model.
func (c *testCluster) hasModel(engine, model string) bool {
	for _, r := range c.engines[engine].Announcement().Resident {
		if r.Model == model {
			return true
		}
	}
	return false
}

// openOrders returns the open orders to the engine.
func (c *testCluster) openOrders(engine string) []upstreamapi.Order {
	e, _ := c.Manifest().Engine(engine)
	return e.Ledger.Open()
}

// network carries calls to engines in the goroutine of the caller.
type network struct {
	cluster *testCluster
	mu      sync.Mutex
	// sentOrders holds the orders in the sequence in which they were sent.
	sentOrders []upstreamapi.Order
	// sentTo holds the engine of each entry of sentOrders.
	sentTo []string
	// faultFor selects the fault for an order. Nil means no faults.
	faultFor func(upstreamapi.Order) fault
	// delayed holds the orders still in flight, by engine.
	delayed map[string][]upstreamapi.Order
	// statusQueries counts the status queries.
	statusQueries int
}

// fault is the treatment of an order by the network.
type fault int

const (
	noFault fault = iota
	orderLost
	// answerLost means that the order arrives and its answer is lost.
	answerLost
	// orderDelayed means that the order appears lost, and arrives at the next deliverDelayed.
	orderDelayed
	// notConnected means that the connection cannot be established.
	notConnected
	// loadFails means that the engine answers that the order failed.
	loadFails
)

// RoundTrip carries one call.
func (n *network) RoundTrip(request *http.Request) (*http.Response, error) {
	host := strings.TrimSuffix(request.URL.Host, ":80")
	if request.Method != http.MethodPost {
		n.mu.Lock()
		n.statusQueries++
		n.mu.Unlock()
		return n.deliver(host, request)
	}
	body := new(bytes.Buffer)
	_, _ = body.ReadFrom(request.Body)
	order, _ := upstreamapi.DecodeOrder(body.Bytes())
	request.Body = http.NoBody
	injected := n.recordSent(host, order)
	switch injected {
	case orderLost, orderDelayed:
		return nil, errors.New("the connection was lost")
	case notConnected:
		return nil, dialError()
	case loadFails:
		return loadFailedResponse(order, n.cluster.engines[host].Announcement()), nil
	default:
	}
	response, err := n.deliver(host, orderRequest(body.Bytes()))
	if injected == answerLost {
		return nil, errors.New("the connection was lost")
	}
	return response, err
}

func (n *network) recordSent(engine string, order upstreamapi.Order) fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentOrders, n.sentTo = append(n.sentOrders, order), append(n.sentTo, engine)
	if n.faultFor == nil {
		return noFault
	}
	injected := n.faultFor(order)
	if injected == orderDelayed {
		n.delayed[engine] = append(n.delayed[engine], order)
	}
	return injected
}

// deliver passes a call to an engine. A missing engine is unreachable.
func (n *network) deliver(name string, request *http.Request) (*http.Response, error) {
	if n.cluster.missing[name] {
		return nil, errors.New("the connection was lost")
	}
	recorder := httptest.NewRecorder()
	n.cluster.engines[name].ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// deliverDelayed delivers all delayed orders to the engine.
func (n *network) deliverDelayed(name string) {
	n.mu.Lock()
	delayed := n.delayed[name]
	delete(n.delayed, name)
	n.mu.Unlock()
	for _, order := range delayed {
		response, err := n.deliver(name, orderRequest(encodeOrder(order)))
		if err == nil {
			response.Body.Close()
		}
	}
}
