package backoffice_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// specTimeout bounds what a spec waits for: elections and the wait of a new
// leader before its first order take some seconds.
const specTimeout = time.Minute

// fakeEngines are engines that check what they are ordered.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	// orders are those that came, in order.
	orders []givenOrder
	// lose has an order be carried out without an answer.
	lose bool
}

// givenOrder is who ordered which engine.
type givenOrder struct {
	engine, holder string
}

type fakeEngine struct {
	sequence uint64
	models   map[string][]string
	// gone says that another process has its address.
	gone bool
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{engines: map[string]*fakeEngine{}}
}

func (f *fakeEngines) add(name string, models ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &fakeEngine{models: map[string][]string{}}
	for _, model := range models {
		e.models[model] = nil
	}
	f.engines[name] = e
}

func (f *fakeEngines) Report(_ context.Context, engine backoffice.EngineAddress) (backoffice.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[engine.Name]
	report := backoffice.Report{Sequence: e.sequence}
	for model, adapters := range e.models {
		report.Models = append(report.Models, courier.HeldModel{Name: model, Adapters: append([]string(nil), adapters...)})
	}
	return report, nil
}

var errLost = errors.New("the answer was lost")

func (f *fakeEngines) Order(
	_ context.Context, engine backoffice.EngineAddress, order backoffice.Order,
) (backoffice.OrderAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, givenOrder{engine.Name, order.Holder})
	e := f.engines[engine.Name]
	if e.gone {
		return backoffice.Gone, nil
	}
	if order.Expected != e.sequence {
		return backoffice.Refused, nil
	}
	e.sequence++
	switch {
	case order.Kind == backoffice.Unload && order.Adapter == "":
		delete(e.models, order.Model)
	case order.Kind == backoffice.Load && order.Adapter == "":
		e.models[order.Model] = nil
	case order.Kind == backoffice.Load:
		e.models[order.Model] = append(e.models[order.Model], order.Adapter)
	}
	if f.lose {
		f.lose = false
		return 0, errLost
	}
	return backoffice.Accepted, nil
}

// holdersOf returns who gave orders to an engine.
func (f *fakeEngines) holdersOf(engine string) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	holders := map[string]bool{}
	for _, order := range f.orders {
		if order.engine == engine {
			holders[order.holder] = true
		}
	}
	return holders
}

func (f *fakeEngines) holds(engine, model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, held := f.engines[engine].models[model]
	return held
}

// table reads routes.Draft as JSON.
func table(content []byte) (*routes.Table, error) {
	var draft routes.Draft
	if err := json.Unmarshal(content, &draft); err != nil {
		return nil, err
	}
	return routes.New(draft)
}

// content is the routes of a version: one service of engines with three models.
func content(version uint64) []byte {
	model := func(name string) routes.Model {
		return routes.Model{Name: name, Megabytes: 70_000, AdapterMegabytes: 50, Adapters: 4, Load: time.Second}
	}
	text, err := json.Marshal(routes.Draft{Version: version, Services: []routes.Service{{Name: "pool", Engine: &routes.Engine{
		Slots: 8, Megabytes: 200_000, AdapterSlots: 2, LoadsPerSecond: 100,
		Models: []routes.Model{model("a"), model("b"), model("c")},
	}}}})
	Expect(err).NotTo(HaveOccurred())
	return text
}

// site is control instances on one machine.
type site struct {
	seeds   []string
	engines *fakeEngines
	offices map[string]*backoffice.Backoffice
	folders map[string]string
	calls   *courier.Pool
	// lost are instances that were stopped for good.
	lost map[string]bool
	// gap is the least time between orders of two instances to one engine.
	gap time.Duration
}

func newSite() *site {
	GinkgoHelper()
	return newSiteWithGap(3 * time.Second)
}

func newSiteWithGap(gap time.Duration) *site {
	s := &site{
		engines: newFakeEngines(), offices: map[string]*backoffice.Backoffice{}, folders: map[string]string{},
		calls: courier.NewPool(courier.DialTCP, time.Second), gap: gap, lost: map[string]bool{},
	}
	listeners := make([]net.Listener, 3)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners[i] = listener
		s.seeds = append(s.seeds, listener.Addr().String())
	}
	for i, address := range s.seeds {
		s.folders[address] = filepath.Join(GinkgoT().TempDir(), fmt.Sprint(i))
		s.start(address, listeners[i], true)
	}
	DeferCleanup(func() {
		for address, office := range s.offices {
			if !s.lost[address] {
				s.stop(office)
			}
		}
		s.calls.Close()
	})
	return s
}

func (s *site) start(address string, listener net.Listener, founder bool) {
	office, err := backoffice.New(backoffice.Options{
		Address: address, FailureDomain: "here", Seeds: s.seeds, Founder: founder, Voters: 3,
		Folder: s.folders[address], Inner: listener, Dial: courier.DialTCP, UpstreamLease: 3 * time.Second, OrderGap: s.gap,
		Table: table, Engines: s.engines, Now: time.Now, Log: zerolog.Nop(),
	})
	Expect(err).NotTo(HaveOccurred())
	s.offices[address] = office
}

// stop stops an instance at once, as a kill would: it hands nothing over.
func (s *site) stop(office *backoffice.Backoffice) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	office.Close(ended)
}

// wipe kills an instance and starts it again on an empty folder.
func (s *site) wipe(address string) {
	GinkgoHelper()
	s.stop(s.offices[address])
	Expect(os.RemoveAll(s.folders[address])).To(Succeed())
	var listener net.Listener
	Eventually(func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	}, specTimeout).Should(Succeed())
	s.start(address, listener, false)
}

// put has routes come into force by way of one instance.
func (s *site) put(ctx context.Context, address string, version uint64) edition.Result {
	GinkgoHelper()
	var result edition.Result
	Eventually(ctx, func() (err error) {
		bounded, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		result, err = s.offices[address].Put(bounded, edition.Put{Version: version, Content: content(version)})
		return err
	}).Should(Succeed())
	return result
}

// beAccepted matches the verdict on a version that is in force now. A put whose first
// answer is lost is tried again, and finds its own document in force.
func beAccepted() types.GomegaMatcher {
	return BeElementOf(edition.Stored, edition.Held)
}

// read returns the version that an instance says is in force.
func (s *site) read(ctx context.Context, address string) uint64 {
	GinkgoHelper()
	var held edition.Edition
	Eventually(ctx, func() (ok bool) {
		bounded, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		held, ok = s.offices[address].Edition(bounded)
		return ok
	}).Should(BeTrue())
	return held.Version
}

// sync asks the leader as an entry instance does.
func (s *site) sync(ctx context.Context, demand ...courier.Demand) (courier.SyncReply, bool) {
	for _, address := range s.seeds {
		reply, err := s.calls.Sync(ctx, address, courier.SyncArgs{From: roster.InstanceRecord{
			Name: "entry", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()),
			Static: &roster.InstanceStatic{CallerAddress: "127.0.0.1:1", FailureDomain: "here", InnerAddress: "entry"},
		}, Demand: demand})
		if err == nil && reply.Leader == address {
			return reply, true
		}
	}
	return courier.SyncReply{}, false
}

// announce tells every instance of an engine, again and again.
func (s *site) announce(ctx context.Context, name string) {
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			for _, address := range s.seeds {
				_ = s.offices[address].Announce(time.Now(), upstreamapi.Announcement{
					Name: name, Incarnation: 1, Sequence: sequence, Address: "127.0.0.1:9", Services: []string{"pool"},
				})
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
}

// want returns a function that asks the leader for a model or an adapter, as an entry
// instance does, and returns the engine or why there is none.
func (s *site) want(ctx context.Context, model, adapter string) func() string {
	return func() string {
		reply, ok := s.sync(ctx, courier.Demand{Service: "pool", Model: "a", Requests: 1})
		if !ok {
			return ""
		}
		bounded, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		got, err := s.calls.Want(bounded, reply.Leader, courier.WantArgs{Service: "pool", Model: model, Adapter: adapter, Timeout: time.Second})
		if err != nil {
			return err.Error()
		}
		return got.Engine
	}
}

var _ = Describe("Backoffice", func() {
	It("founds one cluster of the seeds, and every instance tells the same routes", func(ctx SpecContext) {
		s := newSite()
		Expect(s.put(ctx, s.seeds[0], 2).Verdict).To(beAccepted())
		Expect(s.put(ctx, s.seeds[1], 5).Verdict).To(beAccepted())
		Expect(s.put(ctx, s.seeds[2], 3).Verdict).To(Equal(edition.Superseded))
		for _, address := range s.seeds {
			Expect(s.read(ctx, address)).To(Equal(uint64(5)))
		}
	}, SpecTimeout(specTimeout))

	// Routes have grown to hundreds of kilobytes, and every entry instance asks for them
	// at the same moment: they have to get through the leader's link at once.
	It("tells large routes in a fraction of their size", func(ctx SpecContext) {
		s := newSite()
		large := edition.Put{Version: 1, Content: append(content(1), bytes.Repeat([]byte(" "), 400_000)...)}
		Eventually(ctx, func() error {
			_, err := s.offices[s.seeds[0]].Put(ctx, large)
			return err
		}).Should(Succeed())
		var told *edition.Edition
		Eventually(ctx, func() bool {
			reply, ok := s.sync(ctx)
			told = reply.Edition
			return ok && told != nil
		}).Should(BeTrue())
		Expect(len(told.Content)).To(BeNumerically("<", len(large.Content)/10))
		Expect(registry.Unpack(told.Content)).To(Equal(large.Content))
	}, SpecTimeout(specTimeout))

	// One instance after the other loses its disk, right after a change was
	// acknowledged. Each comes back empty and must become a voter again before the
	// next is lost; what was acknowledged must stay.
	It("replaces voters that lost their disks, one after the other", func(ctx SpecContext) {
		s := newSite()
		for i, address := range s.seeds {
			version := uint64(i + 1)
			s.put(ctx, address, version)
			s.wipe(address)
			Eventually(ctx, func() uint64 { return s.read(ctx, address) }).Should(Equal(version))
			Eventually(ctx, s.offices[address].Votes).Should(BeTrue())
		}
		Expect(s.put(ctx, s.seeds[0], 9).Verdict).To(beAccepted())
	}, SpecTimeout(specTimeout))

	It("tells an entry instance of engines that any instance has heard of, and of their leaving", func(ctx SpecContext) {
		s := newSite()
		s.engines.add("e1", "a")
		s.put(ctx, s.seeds[0], 1)
		Expect(s.offices[s.seeds[1]].Announce(time.Now(), upstreamapi.Announcement{
			Name: "e1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", Services: []string{"pool"},
		})).To(Succeed())
		told := func() (names []string) {
			reply, ok := s.sync(ctx)
			if !ok {
				return nil
			}
			for _, record := range reply.Changes.Upstreams {
				names = append(names, fmt.Sprint(record.Name, " left ", record.Left))
			}
			return names
		}
		Eventually(ctx, told).Should(ConsistOf("e1 left false"))
		s.offices[s.seeds[2]].Leave(time.Now(), upstreamapi.Leave{Name: "e1", Incarnation: 1})
		Eventually(ctx, told).Should(ConsistOf("e1 left true"))
	}, SpecTimeout(specTimeout))

	// Requests wait for a model that the only engine does not hold, and for more
	// adapters than it has places. The answer to an order is lost: it must not be
	// given in a way that could be carried out twice.
	It("loads what requests wait for, by one holder and within the places", func(ctx SpecContext) {
		s := newSite()
		s.engines.add("e1", "a", "b")
		s.put(ctx, s.seeds[0], 1)
		s.announce(ctx, "e1")
		s.engines.mu.Lock()
		s.engines.lose = true
		s.engines.mu.Unlock()
		Eventually(ctx, s.want(ctx, "a", "a1")).Should(Equal("e1"))
		Eventually(ctx, s.want(ctx, "c", "")).Should(Equal("e1"))
		Expect(s.engines.holds("e1", "a")).To(BeTrue())
		s.engines.mu.Lock()
		defer s.engines.mu.Unlock()
		for _, order := range s.engines.orders {
			Expect(order.holder).To(Equal(s.engines.orders[0].holder))
		}
		total := 0
		for _, adapters := range s.engines.engines["e1"].models {
			total += len(adapters)
		}
		Expect(total).To(BeNumerically("<=", 2))
		Expect(len(s.engines.engines["e1"].models)).To(BeNumerically("<=", 2), "of 70 GB each in 200 GB")
	}, SpecTimeout(specTimeout))

	// The leader is lost right after it has ordered an engine. Its successor must not
	// order the same engine for a while: an engine that two instances order in turns
	// may carry out the older order last. All others it orders at once, or every model
	// that demand moves to would wait for as long.
	It("waits after a lost leader only with the engines that it has ordered", func(ctx SpecContext) {
		s := newSiteWithGap(30 * time.Second)
		// The engines are full, so that nothing else is ordered.
		s.engines.add("e1", "a", "c")
		s.engines.add("e2", "b", "c")
		s.put(ctx, s.seeds[0], 1)
		s.announce(ctx, "e1")
		s.announce(ctx, "e2")
		Eventually(ctx, s.want(ctx, "a", "a1")).Should(Equal("e1"))
		first, ok := s.sync(ctx)
		Expect(ok).To(BeTrue())
		s.lost[first.Leader] = true
		s.stop(s.offices[first.Leader])
		Eventually(ctx, s.want(ctx, "b", "b1")).Should(Equal("e2"))
		Expect(s.want(ctx, "a", "a2")()).To(BeEmpty())
		Expect(s.engines.holdersOf("e1")).To(HaveLen(1))
		Expect(s.engines.holdersOf("e2")).NotTo(HaveKey(first.Leader))
	}, SpecTimeout(specTimeout))

	// An engine has crashed and was started anew at its address, under another name.
	// The new one answers for it, empty: orders to the one that is gone are refused,
	// and the copies that they should bring never come. Callers wait for them.
	It("takes an engine for gone whose address answers under another name", func(ctx SpecContext) {
		s := newSite()
		s.engines.add("e1", "a")
		s.engines.engines["e1"].gone = true
		s.put(ctx, s.seeds[0], 1)
		s.announce(ctx, "e1")
		Eventually(ctx, func() bool {
			s.want(ctx, "a", "a1")()
			reply, ok := s.sync(ctx)
			if !ok {
				return false
			}
			return slices.ContainsFunc(reply.Changes.Upstreams, func(record roster.UpstreamRecord) bool {
				return record.Name == "e1" && record.Left
			})
		}).Should(BeTrue())
	}, SpecTimeout(specTimeout))

	It("orders the engine that was heard of last at an address alone", func(ctx SpecContext) {
		s := newSite()
		s.engines.add("old", "a")
		s.engines.add("new", "a")
		s.put(ctx, s.seeds[0], 1)
		Expect(s.offices[s.seeds[1]].Announce(time.Now(), upstreamapi.Announcement{
			Name: "old", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", Services: []string{"pool"},
		})).To(Succeed())
		s.announce(ctx, "new")
		Eventually(ctx, s.want(ctx, "a", "a1")).Should(Equal("new"))
		Eventually(ctx, s.want(ctx, "c", "")).Should(Equal("new"))
		Expect(s.engines.holdersOf("old")).To(BeEmpty())
	}, SpecTimeout(specTimeout))
})
