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

// specTimeout bounds each spec. Elections, and the wait of a new leader before its
// first order to an engine, take some seconds.
const specTimeout = time.Minute

// parseRoutes parses the JSON encoding of routes.Draft.
func parseRoutes(content []byte) (*routes.Table, error) {
	var draft routes.Draft
	if err := json.Unmarshal(content, &draft); err != nil {
		return nil, err
	}
	return routes.New(draft)
}

// encodedRoutes returns routes with the given version: one service of engines with
// three models.
func encodedRoutes(version uint64) []byte {
	model := func(name string) routes.Model {
		return routes.Model{Name: name, Megabytes: 70_000, AdapterMegabytes: 50, Adapters: 4, LoadTime: time.Second}
	}
	text, err := json.Marshal(routes.Draft{Version: version, Services: []routes.Service{{Name: "pool", Engine: &routes.Engine{
		Slots: 8, Megabytes: 200_000, AdapterSlots: 2, LoadsPerSecond: 100,
		Models: []routes.Model{model("a"), model("b"), model("c")},
	}}}})
	Expect(err).NotTo(HaveOccurred())
	return text
}

// testCluster is a group of control instances in this process.
type testCluster struct {
	seeds     []string
	fakes     *fakeEngines
	instances map[string]*backoffice.Instance
	folders   map[string]string
	calls     *courier.Pool
	// stopped marks the instances that were stopped and are not restarted.
	stopped map[string]bool
	// orderGap is the minimum time between orders of two instances to the same engine.
	orderGap time.Duration
	// cut is set if the first and the last instance cannot reach each other.
	cut bool
	// ahead is how far the clocks of instances that start from now on are ahead.
	ahead time.Duration
}

func newTestCluster() *testCluster {
	GinkgoHelper()
	return newTestClusterWithOrderGap(3 * time.Second)
}

func newTestClusterWithOrderGap(gap time.Duration) *testCluster {
	return startTestCluster(&testCluster{orderGap: gap})
}

func startTestCluster(c *testCluster) *testCluster {
	GinkgoHelper()
	c.fakes, c.instances, c.folders, c.stopped = newFakeEngines(), map[string]*backoffice.Instance{}, map[string]string{}, map[string]bool{}
	c.calls = courier.NewPool(courier.DialTCP, time.Second)
	listeners := make([]net.Listener, 3)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners[i] = listener
		c.seeds = append(c.seeds, listener.Addr().String())
	}
	for i, address := range c.seeds {
		c.folders[address] = filepath.Join(GinkgoT().TempDir(), fmt.Sprint(i))
		c.start(address, listeners[i], true)
	}
	DeferCleanup(func() {
		for address, instance := range c.instances {
			if !c.stopped[address] {
				c.stop(instance)
			}
		}
		c.calls.Close()
	})
	return c
}

func (c *testCluster) start(address string, listener net.Listener, founder bool) {
	ahead := c.ahead
	instance, err := backoffice.New(backoffice.Options{
		Address: address, FailureDomain: "here", Seeds: c.seeds, Bootstrap: founder, MinVoters: 3,
		DataDir: c.folders[address], InnerListener: listener, Dial: c.dialFrom(address), UpstreamLease: 3 * time.Second, MinOrderGap: c.orderGap,
		ParseRoutes: parseRoutes, Engines: c.fakes, Now: func() time.Time { return time.Now().Add(ahead) }, Log: zerolog.Nop(),
	})
	Expect(err).NotTo(HaveOccurred())
	c.instances[address] = instance
}

var errCut = errors.New("the link is cut")

// dialFrom returns the function with which an instance connects to others.
func (c *testCluster) dialFrom(address string) courier.Dial {
	first, last := c.seeds[0], c.seeds[len(c.seeds)-1]
	return func(ctx context.Context, to string) (net.Conn, error) {
		if c.cut && (address == first && to == last || address == last && to == first) {
			return nil, errCut
		}
		return courier.DialTCP(ctx, to)
	}
}

// stop closes an instance without handing over its leadership, as if it was killed.
func (c *testCluster) stop(instance *backoffice.Instance) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	instance.Close(canceled)
}

// wipe stops an instance and restarts it with an empty data folder.
func (c *testCluster) wipe(address string) {
	GinkgoHelper()
	c.stop(c.instances[address])
	Expect(os.RemoveAll(c.folders[address])).To(Succeed())
	c.restart(address)
}

// restart starts an instance that was stopped.
func (c *testCluster) restart(address string) {
	GinkgoHelper()
	var listener net.Listener
	Eventually(func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	}, specTimeout).Should(Succeed())
	c.start(address, listener, false)
}

// putRoutes puts a version of the routes through one instance, and retries until it
// gets an answer.
func (c *testCluster) putRoutes(ctx context.Context, address string, version uint64) edition.Result {
	GinkgoHelper()
	var result edition.Result
	Eventually(ctx, func() (err error) {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		result, err = c.instances[address].PutRoutes(callCtx, edition.Put{Version: version, Content: encodedRoutes(version)})
		return err
	}).Should(Succeed())
	return result
}

// beAccepted matches the verdict on a version that is in force. A put whose first
// answer was lost is retried and finds its own content in force.
func beAccepted() types.GomegaMatcher {
	return BeElementOf(edition.Stored, edition.AlreadyInForce)
}

// routesVersion returns the version in force as read from one instance.
func (c *testCluster) routesVersion(ctx context.Context, address string) uint64 {
	GinkgoHelper()
	var held edition.Edition
	Eventually(ctx, func() (ok bool) {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		held, ok = c.instances[address].Routes(callCtx)
		return ok
	}).Should(BeTrue())
	return held.Version
}

// syncWithLeader syncs with the leader as an entry instance does. It returns false if
// no instance says that it leads.
func (c *testCluster) syncWithLeader(ctx context.Context, demand ...courier.Demand) (courier.SyncReply, bool) {
	for _, address := range c.seeds {
		reply, err := c.calls.Sync(ctx, address, courier.SyncArgs{From: roster.InstanceRecord{
			Name: "entry", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()),
			Static: &roster.InstanceStatic{CallerAddress: "127.0.0.1:1", FailureDomain: "here", InnerAddress: "entry"},
		}, Demand: demand})
		if err == nil && reply.Leader == address {
			return withRoster(reply), true
		}
	}
	return courier.SyncReply{}, false
}

// withRoster returns a reply whose changes include those of its packed roster.
func withRoster(reply courier.SyncReply) courier.SyncReply {
	GinkgoHelper()
	if len(reply.Roster) == 0 {
		return reply
	}
	changes, err := courier.UnpackChanges(reply.Roster)
	Expect(err).NotTo(HaveOccurred())
	reply.Changes = changes
	return reply
}

// announce announces an engine to every instance once a second until ctx ends.
func (c *testCluster) announce(ctx context.Context, name string) {
	c.announceVersion(ctx, name, "")
}

// announceVersion is announce for an engine of a software version.
func (c *testCluster) announceVersion(ctx context.Context, name, version string) {
	c.announceAt(ctx, "127.0.0.1:9", name, version)
}

// announceAt is announceVersion for an engine at an address of its own.
func (c *testCluster) announceAt(ctx context.Context, engineAddress, name, version string) {
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			for _, address := range c.seeds {
				_ = c.instances[address].Announce(time.Now(), upstreamapi.Announcement{
					Name: name, Incarnation: 1, Sequence: sequence, Address: engineAddress, Services: []string{"pool"}, SoftwareVersion: version,
				})
			}
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
}

// wantFromLeader returns a function that requests a model or an adapter from the leader
// as an entry instance does. The function returns the engine, the error text of a
// failed call, or an empty string.
func (c *testCluster) wantFromLeader(ctx context.Context, model, adapter string) func() string {
	return c.want(ctx, courier.WantArgs{Service: "pool", Model: model, Adapter: adapter, Timeout: time.Second})
}

func (c *testCluster) want(ctx context.Context, args courier.WantArgs) func() string {
	return func() string {
		reply, ok := c.syncWithLeader(ctx, courier.Demand{Service: "pool", Model: "a", Requests: 1})
		if !ok {
			return ""
		}
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		got, err := c.calls.RequestModel(callCtx, reply.Leader, args)
		if err != nil {
			return err.Error()
		}
		return got.Engine
	}
}

var _ = Describe("Backoffice", func() {
	It("founds one cluster of the seeds, and every instance returns the same routes", func(ctx SpecContext) {
		c := newTestCluster()
		Expect(c.putRoutes(ctx, c.seeds[0], 2).Verdict).To(beAccepted())
		Expect(c.putRoutes(ctx, c.seeds[1], 5).Verdict).To(beAccepted())
		Expect(c.putRoutes(ctx, c.seeds[2], 3).Verdict).To(Equal(edition.Superseded))
		for _, address := range c.seeds {
			Expect(c.routesVersion(ctx, address)).To(Equal(uint64(5)))
		}
	}, SpecTimeout(specTimeout))

	// The routes can take hundreds of kilobytes, and all entry instances request them at
	// the same moment through the leader's link.
	It("sends large routes in a fraction of their size", func(ctx SpecContext) {
		c := newTestCluster()
		large := edition.Put{Version: 1, Content: append(encodedRoutes(1), bytes.Repeat([]byte(" "), 400_000)...)}
		Eventually(ctx, func() error {
			_, err := c.instances[c.seeds[0]].PutRoutes(ctx, large)
			return err
		}).Should(Succeed())
		var received *edition.Edition
		Eventually(ctx, func() bool {
			reply, ok := c.syncWithLeader(ctx)
			received = reply.Edition
			return ok && received != nil
		}).Should(BeTrue())
		Expect(len(received.Content)).To(BeNumerically("<", len(large.Content)/10))
		Expect(registry.Decompress(received.Content)).To(Equal(large.Content))
	}, SpecTimeout(specTimeout))

	// Each instance in turn loses its disk right after a change was acknowledged. It must
	// become a voter again before the next one loses its disk, and no acknowledged change
	// may be lost.
	It("replaces voters that lost their disks, one after the other", func(ctx SpecContext) {
		c := newTestCluster()
		for i, address := range c.seeds {
			version := uint64(i + 1)
			c.putRoutes(ctx, address, version)
			c.wipe(address)
			Eventually(ctx, func() uint64 { return c.routesVersion(ctx, address) }).Should(Equal(version))
			Eventually(ctx, c.instances[address].IsVoter).Should(BeTrue())
		}
		Expect(c.putRoutes(ctx, c.seeds[0], 9).Verdict).To(beAccepted())
	}, SpecTimeout(specTimeout))

	It("tells an entry instance of engines that any instance has heard of, and of their leaving", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		Expect(c.instances[c.seeds[1]].Announce(time.Now(), upstreamapi.Announcement{
			Name: "e1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", Services: []string{"pool"},
		})).To(Succeed())
		upstreams := func() (names []string) {
			reply, ok := c.syncWithLeader(ctx)
			if !ok {
				return nil
			}
			for _, record := range reply.Changes.Upstreams {
				names = append(names, fmt.Sprint(record.Name, " left ", record.Left))
			}
			return names
		}
		Eventually(ctx, upstreams).Should(ConsistOf("e1 left false"))
		c.leave(ctx, upstreamapi.Leave{Name: "e1", Incarnation: 1})
		Eventually(ctx, upstreams).Should(ConsistOf("e1 left true"))
	}, SpecTimeout(specTimeout))

	// Requests wait for a model that the only engine does not hold, and for more adapters
	// than it has slots. The answer to an order is lost: the leader must not repeat the
	// order in a way that could make the engine carry it out twice.
	It("loads what requests wait for, by one holder and within the places", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a", "b")
		c.putRoutes(ctx, c.seeds[0], 1)
		c.announce(ctx, "e1")
		c.fakes.mu.Lock()
		c.fakes.loseAnswer = true
		c.fakes.mu.Unlock()
		Eventually(ctx, c.wantFromLeader(ctx, "a", "a1")).Should(Equal("e1"))
		Eventually(ctx, c.wantFromLeader(ctx, "c", "")).Should(Equal("e1"))
		Expect(c.fakes.holds("e1", "a")).To(BeTrue())
		c.fakes.mu.Lock()
		defer c.fakes.mu.Unlock()
		for _, order := range c.fakes.orders {
			Expect(order.holder).To(Equal(c.fakes.orders[0].holder))
		}
		total := 0
		for _, adapters := range c.fakes.engines["e1"].models {
			total += len(adapters)
		}
		Expect(total).To(BeNumerically("<=", 2))
		Expect(len(c.fakes.engines["e1"].models)).To(BeNumerically("<=", 2), "two models of 70 GB each fit into 200 GB")
	}, SpecTimeout(specTimeout))

	// The leader is lost right after it has ordered an engine. Its successor must not
	// order this engine for a while, since the engine could carry out the older order
	// last. It must order all other engines immediately, or no model could be moved
	// during the wait.
	It("waits after a lost leader only with the engines that it has ordered", func(ctx SpecContext) {
		c := newTestClusterWithOrderGap(30 * time.Second)
		// The engines are full, so that no other orders are sent.
		c.fakes.add("e1", "a", "c")
		c.fakes.add("e2", "b", "c")
		c.putRoutes(ctx, c.seeds[0], 1)
		c.announce(ctx, "e1")
		c.announce(ctx, "e2")
		Eventually(ctx, c.wantFromLeader(ctx, "a", "a1")).Should(Equal("e1"))
		first, ok := c.syncWithLeader(ctx)
		Expect(ok).To(BeTrue())
		c.stopped[first.Leader] = true
		c.stop(c.instances[first.Leader])
		Eventually(ctx, c.wantFromLeader(ctx, "b", "b1")).Should(Equal("e2"))
		Expect(c.wantFromLeader(ctx, "a", "a2")()).To(BeEmpty())
		Expect(c.fakes.holdersOf("e1")).To(HaveLen(1))
		Expect(c.fakes.holdersOf("e2")).NotTo(HaveKey(first.Leader))
	}, SpecTimeout(specTimeout))

	// An engine has crashed, and an empty one under another name was started at its
	// address. Orders to the crashed one are refused, so copies that are planned there
	// never become available and callers wait for them in vain.
	It("takes an engine for gone whose address answers under another name", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.fakes.engines["e1"].replaced = true
		c.putRoutes(ctx, c.seeds[0], 1)
		c.announce(ctx, "e1")
		Eventually(ctx, func() bool {
			c.wantFromLeader(ctx, "a", "a1")()
			reply, ok := c.syncWithLeader(ctx)
			if !ok {
				return false
			}
			return slices.ContainsFunc(reply.Changes.Upstreams, func(record roster.UpstreamRecord) bool {
				return record.Name == "e1" && record.Left
			})
		}).Should(BeTrue())
	}, SpecTimeout(specTimeout))

	It("orders only the engine that was last heard from at an address", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("old", "a")
		c.fakes.add("new", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		Expect(c.instances[c.seeds[1]].Announce(time.Now(), upstreamapi.Announcement{
			Name: "old", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", Services: []string{"pool"},
		})).To(Succeed())
		c.announce(ctx, "new")
		Eventually(ctx, c.wantFromLeader(ctx, "a", "a1")).Should(Equal("new"))
		Eventually(ctx, c.wantFromLeader(ctx, "c", "")).Should(Equal("new"))
		Expect(c.fakes.holdersOf("old")).To(BeEmpty())
	}, SpecTimeout(specTimeout))
})
