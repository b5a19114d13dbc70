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
	// lease is the announcement lease, loadTime how long an engine loads.
	lease    = 3 * time.Second
	loadTime = 2 * time.Second
)

// kind is a kind of engine, by the promises on which proofs rest.
type kind struct {
	fencing upstreamapi.Fencing
	// expiry and status are whether it speaks of those.
	expiry, status bool
}

var kinds = []kind{
	{upstreamapi.FencingChecked, true, true},
	{upstreamapi.FencingIgnored, true, true},
	{upstreamapi.FencingIgnored, false, true},
	{upstreamapi.FencingIgnored, false, false},
}

// stage is the replicated state, some engines, and a network between them that
// does as it is told. It runs in a bubble of testing/synctest, whose clock moves
// only when all have nothing left to do.
type stage struct {
	kind kind
	log  bytes.Buffer
	// lines writes to log, from any goroutine.
	lines   io.Writer
	net     *network
	engines map[string]*standin.Engine
	// gone are engines that are not heard of.
	gone map[string]bool
	// lags are inventories of engines that are reported with later clocks.
	lags     map[string]upstreamapi.Announcement
	declared declaration.Set
	// preset is the name of the one in force.
	preset   string
	revision registry.Revision

	mu    sync.Mutex
	state *registry.Registry
	index jury.Index
	// before is asked about each command and may refuse it. after is told of each
	// that was carried out.
	before func(manifest.Command) error
	after  func(manifest.Command)
	// afterMu has after called by one goroutine at a time.
	afterMu sync.Mutex
	// holder is the term that holds the right to order, 0 if none.
	holder uint64
}

// onStage runs a test once for each kind of engine.
func onStage(t *testing.T, test func(s *stage)) {
	for _, k := range kinds {
		t.Run(fmt.Sprintf("fencing %s, expiry %t, status %t", k.fencing, k.expiry, k.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				s := &stage{
					kind: k, engines: map[string]*standin.Engine{}, gone: map[string]bool{},
					state: registry.New(), holder: 1, revision: 1, preset: "ordinary",
				}
				s.net = &network{stage: s, late: map[string][]upstreamapi.Order{}}
				s.lines = zerolog.SyncWriter(&s.log)
				defer func() {
					for _, e := range s.engines {
						_ = e.Close(context.Background())
					}
					if t.Failed() {
						t.Log(s.log.String())
					}
				}()
				test(s)
			})
		})
	}
}

// start starts an engine of 10 GiB, again if there is one of that name.
func (s *stage) start(name string, incarnation uint64) {
	if e := s.engines[name]; e != nil {
		_ = e.Close(context.Background())
	}
	capabilities := []upstreamapi.Capability{upstreamapi.CapabilityOrders, upstreamapi.CapabilityAdapters}
	if s.kind.expiry {
		capabilities = append(capabilities, upstreamapi.CapabilityOrderExpiry)
	}
	if s.kind.status {
		capabilities = append(capabilities, upstreamapi.CapabilityOrderStatus)
	}
	s.engines[name] = standin.NewEngine(standin.EngineOptions{
		Name: name, Address: name + ":80", FailureDomain: "kgn-a", Incarnation: incarnation, Fencing: s.kind.fencing,
		Capabilities: capabilities, LoadDelay: loadTime, UnloadDelay: time.Second,
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 10 * gib}},
	})
}

// declare declares models of so many GiB.
func (s *stage) declare(sizes map[string]int) {
	var text, names strings.Builder
	for name, size := range sizes {
		fmt.Fprintf(&text, "[[model]]\nname = %q\nkv-space = \"1 GiB\"\nlayouts = [{ accelerators = 1, memory = \"%d GiB\" }]\n"+
			"versions = [{ name = \"1\", weights = %q }]\nversion = \"1\"\n", name, size-1, name)
		fmt.Fprintf(&names, "%q, ", name)
	}
	fmt.Fprintf(&text, "[[preset]]\nname = \"ordinary\"\nfirst = true\ntolerate-engines = 0\n"+
		"[[preset]]\nname = \"peak\"\ncopies = 2\ntolerate-engines = 0\n"+
		"[[service]]\nname = \"s\"\nkind = \"model-backed\"\nmodels = [%s]\n", names.String())
	set, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(text.String())}}, "test")
	Expect(err).NotTo(HaveOccurred())
	s.declared = set
	s.revision++
}

// Issue returns the configuration in force.
func (s *stage) Issue() *gazette.Issue {
	preset, _ := s.declared.Preset(s.preset)
	return &gazette.Issue{Revision: s.revision, Preset: preset, Declarations: s.declared}
}

// Upstreams returns the engines that are heard of.
func (s *stage) Upstreams(now time.Time) []roster.Upstream {
	var list []roster.Upstream
	for name, e := range s.engines {
		if !s.gone[name] {
			announced := e.Announcement()
			if old, lags := s.lags[name]; lags {
				old.Load.Clock = announced.Load.Clock
				announced = old
			}
			list = append(list, roster.Upstream{Announcement: announced, Heard: now})
		}
	}
	return list
}

// right is the replicated state as the holder of one term sees it.
type right struct {
	*stage
	term uint64
}

// OrderRight tells whether the term holds the right.
func (r right) OrderRight(now time.Time) (jury.Term, time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder != r.term {
		return 0, time.Time{}, false
	}
	return jury.Term(r.term), now.Add(time.Second), true
}

// Manifest returns what is recorded.
func (s *stage) Manifest() manifest.View { return s.state.Manifest() }

// Propose carries out a command if its proposer leads.
func (r right) Propose(_ context.Context, command registry.Command) (registry.Result, error) {
	c := command.(manifest.Command)
	if r.before != nil {
		if err := r.before(c); err != nil {
			return registry.Result{}, err
		}
	}
	r.mu.Lock()
	if r.holder != r.term {
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
	if r.after != nil {
		r.afterMu.Lock()
		defer r.afterMu.Unlock()
		r.after(c)
	}
	return result, err
}

// leader returns the foreman at the replica that leads in that term.
func (s *stage) leader(term uint64) *foreman.Foreman {
	return foreman.NewStill(foreman.Options{
		Register:      right{s, term},
		World:         s,
		Planner:       placement.New(placement.Options{}),
		WeightStore:   placement.WeightStore{Concurrent: 2},
		WeightOfMoves: 1,
		Client:        &http.Client{Transport: s.net},
		OrderFlight:   5 * time.Second,
		UpstreamLease: lease,
		Now:           time.Now,
		Log:           zerolog.New(s.lines),
	})
}

// change gives the right to another term.
func (s *stage) change(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder = term
}

// run has the foremen go through a round every quarter of a second, and checks
// after each that no engine was asked for more memory than it has, and that the
// account covers what is taken.
func (s *stage) run(d time.Duration, foremen ...*foreman.Foreman) {
	for range d / (250 * time.Millisecond) {
		for _, f := range foremen {
			f.Round(time.Now())
		}
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		s.check()
	}
}

func (s *stage) check() {
	for name, e := range s.engines {
		Expect(e.Overcommits()).To(BeZero(), name)
		recorded, known := s.Manifest().Engine(name)
		a := e.Announcement()
		if !known || recorded.Ledger.Incarnation() != a.Incarnation || len(recorded.Ledger.Contradictions()) > 0 {
			continue
		}
		account, _ := recorded.Ledger.Account("a0")
		Expect(*a.Accelerators[0].UsedBytes).To(BeNumerically("<=", account.Worst()), name)
	}
}

// holds tells whether the engine has the model.
func (s *stage) holds(engine, model string) bool {
	for _, r := range s.engines[engine].Announcement().Resident {
		if r.Model == model {
			return true
		}
	}
	return false
}

// open returns the open orders to the engine.
func (s *stage) open(engine string) []upstreamapi.Order {
	e, _ := s.Manifest().Engine(engine)
	return e.Ledger.Open()
}

// network carries calls to engines, in the caller's goroutine.
type network struct {
	stage *stage
	mu    sync.Mutex
	// orders are those that were sent, by the sequence in which they left.
	orders []upstreamapi.Order
	// to are the engines that they were sent to.
	to []string
	// fate says what happens to an order. Nil means that it arrives.
	fate func(upstreamapi.Order) fate
	// late are orders that are still under way, by engine.
	late map[string][]upstreamapi.Order
	// asked counts the questions after orders.
	asked int
}

// fate is what the network does with an order.
type fate int

const (
	arrives fate = iota
	isLost
	// losesAnswer means that the order arrives and its answer does not.
	losesAnswer
	// comesLate means that the order seems lost, and arrives with deliverLate.
	comesLate
	// unsent means that no connection came about.
	unsent
	// fails means that the engine fails to carry the order out.
	fails
)

// RoundTrip carries one call.
func (n *network) RoundTrip(request *http.Request) (*http.Response, error) {
	host := strings.TrimSuffix(request.URL.Host, ":80")
	if request.Method != http.MethodPost {
		n.mu.Lock()
		n.asked++
		n.mu.Unlock()
		return n.deliver(host, request)
	}
	body := new(bytes.Buffer)
	_, _ = body.ReadFrom(request.Body)
	order, _ := upstreamapi.DecodeOrder(body.Bytes())
	request.Body = http.NoBody
	fate := n.sent(host, order)
	switch fate {
	case isLost, comesLate:
		return nil, errors.New("the connection was lost")
	case unsent:
		return nil, dialError()
	case fails:
		return failed(order, n.stage.engines[host].Announcement()), nil
	default:
	}
	response, err := n.deliver(host, post(body.Bytes()))
	if fate == losesAnswer {
		return nil, errors.New("the connection was lost")
	}
	return response, err
}

func (n *network) sent(to string, order upstreamapi.Order) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.orders, n.to = append(n.orders, order), append(n.to, to)
	if n.fate == nil {
		return arrives
	}
	f := n.fate(order)
	if f == comesLate {
		n.late[to] = append(n.late[to], order)
	}
	return f
}

// deliver has the engine answer. One that is gone can't be reached.
func (n *network) deliver(name string, request *http.Request) (*http.Response, error) {
	if n.stage.gone[name] {
		return nil, errors.New("the connection was lost")
	}
	recorder := httptest.NewRecorder()
	n.stage.engines[name].ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// deliverLate has all orders arrive at the engine that are still under way.
func (n *network) deliverLate(name string) {
	n.mu.Lock()
	late := n.late[name]
	delete(n.late, name)
	n.mu.Unlock()
	for _, order := range late {
		response, err := n.deliver(name, post(encode(order)))
		if err == nil {
			response.Body.Close()
		}
	}
}
