package counter_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// instanceAddresses returns the addresses of a number of entry instances.
func instanceAddresses(count int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range count {
		all = append(all, netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1)))
	}
	return all
}

// modelOwnedBy returns a model of a service that a given instance owns.
func modelOwnedBy(service string, owner netip.AddrPort, among ...netip.AddrPort) string {
	owners := permit.NewOwners(among)
	for i := 0; ; i++ {
		model := fmt.Sprint("model-", i)
		if found, _ := owners.Of(service, model, func(netip.AddrPort) bool { return true }); found == owner {
			return model
		}
	}
}

// addSmallEngine adds an engine of twelve slots.
func addSmallEngine(pool counter.UpstreamPool, name string, models ...string) {
	engine := engineRecord(name, "here", start, models...)
	engine.Announcement.Load.MaxRunning = 12
	pool.Apply(start, engine)
}

func askMessage(id permit.ID, model string) permit.Request {
	return permit.Request{
		ID: id, Service: "pool", Model: model, PromptTokens: 1, Objective: 800 * time.Millisecond, Remaining: 12 * time.Second,
	}
}

var _ = Describe("The instance that owns a model", func() {
	const instanceCount = 291
	instances := instanceAddresses(instanceCount)
	owner := instances[7]
	model := modelOwnedBy("pool", owner, instances...)
	var pool counter.UpstreamPool
	var instance counter.Instance

	BeforeEach(func() {
		pool = counter.NewUpstreamPool("here", lease)
		instance = counter.NewInstance(pool, owner, instances)
	})

	// Each of 291 instances has one request for a model at the same moment, and four engines of
	// twelve slots have loaded it. Without coordination, each instance sees all slots as free, and
	// the engines reject five of six requests. If all instances were notified of every request,
	// each would receive 290 messages per request.
	It("grants as many places as there are, at a cost that does not grow with the instances", func() {
		for i := range 4 {
			addSmallEngine(pool, fmt.Sprint("e", i), model)
		}
		granted := map[string]int{}
		messages, notGranted := 0, 0
		for i, peerAddress := range instances {
			if peerAddress == owner {
				continue
			}
			for _, sent := range instance.Receive(start, peerAddress, askMessage(permit.ID(i), model)) {
				messages++
				Expect(sent.To).To(Equal(peerAddress))
				switch m := sent.Message.(type) {
				case permit.Granted:
					granted[m.Upstream]++
				case permit.Queued, permit.Rejected:
					notGranted++
				}
			}
		}
		Expect(granted).To(Equal(map[string]int{"e0": 12, "e1": 12, "e2": 12, "e3": 12}))
		Expect(messages).To(Equal(instanceCount-1), "one answer each")
		Expect(notGranted).To(Equal(instanceCount - 1 - 48))
	})

	It("notifies only the owners of the engine's other models", func() {
		shared := modelOwnedBy("pool", instances[9], instances...)
		addSmallEngine(pool, "e", model, shared)
		sent := instance.Receive(start, instances[1], askMessage(1, model))
		Expect(sent).To(HaveLen(2))
		Expect(sent[0].To).To(Equal(instances[9]))
		Expect(sent[0].Message).To(Equal(permit.LoadReport{Upstream: "e", PrefillTime: sent[0].Message.(permit.LoadReport).PrefillTime, ActiveRequests: 1}))
		Expect(sent[1].To).To(Equal(instances[1]))
	})

	// An answer is lost, and the permit request is repeated. Treated as a new one, it would occupy
	// a second slot that is never used.
	It("answers a question that comes again as it did before", func() {
		addSmallEngine(pool, "e", model)
		first := instance.Receive(start, instances[1], askMessage(1, model))
		again := instance.Receive(start.Add(40*time.Millisecond), instances[1], askMessage(1, model))
		Expect(again).To(Equal(first))
		Expect(pool.Load(start, "e")).To(BeNumerically("~", 1, 0.01))
	})

	It("grants a returned slot to the next request", func() {
		addSmallEngine(pool, "e", model)
		for i := range 12 {
			instance.Receive(start, instances[1], askMessage(permit.ID(i), model))
		}
		Expect(instance.Receive(start, instances[2], askMessage(1, model))).To(Equal([]counter.SentMessage{{To: instances[2], Message: permit.Queued{ID: 1}}}))
		instance.Receive(start, instances[1], permit.Release{ID: 3, Outcome: permit.Succeeded})
		sent := instance.Dispatch(start.Add(10 * time.Millisecond))
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].To).To(Equal(instances[2]))
		Expect(sent[0].Message).To(BeAssignableToTypeOf(permit.Granted{}))
	})

	// Guards against a workspace that sends many times its usual and takes the engines from others:
	// its requests came first, but those of a workspace within its rate go before them.
	It("grants a returned slot to a workspace within its rate first", func() {
		addSmallEngine(pool, "e", model)
		for i := range 12 {
			instance.Receive(start, instances[1], askMessage(permit.ID(i), model))
		}
		busy := askMessage(20, model)
		busy.Yields = true
		instance.Receive(start, instances[2], busy)
		instance.Receive(start.Add(time.Millisecond), instances[3], askMessage(21, model))
		for i, first := range []netip.AddrPort{instances[3], instances[2]} {
			instance.Receive(start, instances[1], permit.Release{ID: permit.ID(i), Outcome: permit.Succeeded})
			sent := instance.Dispatch(start.Add(10 * time.Millisecond))
			Expect(sent).To(HaveLen(1))
			Expect(sent[0].To).To(Equal(first))
		}
	})

	It("removes a waiting request that its instance withdraws", func() {
		addSmallEngine(pool, "e", model)
		for i := range 13 {
			instance.Receive(start, instances[1], askMessage(permit.ID(i), model))
		}
		instance.Receive(start, instances[1], permit.Release{ID: 12})
		instance.Receive(start, instances[1], permit.Release{ID: 3})
		Expect(instance.Dispatch(start.Add(10 * time.Millisecond))).To(BeEmpty())
	})

	// An instance is killed while it has twelve requests at an engine, or the messages about their
	// end are lost. The engine must not appear full forever.
	It("takes places back that nobody gives back", func() {
		addSmallEngine(pool, "e", model)
		for i := range 12 {
			instance.Receive(start, instances[1], askMessage(permit.ID(i), model))
		}
		instance.ExpirePermits(start.Add(time.Second))
		Expect(pool.Load(start.Add(time.Second), "e")).To(BeNumerically("~", 12, 0.01))
		instance.ExpirePermits(start.Add(12 * time.Second))
		Expect(pool.Load(start.Add(12*time.Second), "e")).To(BeNumerically("<", 1))
	})

	It("sends askers on when it is about to stop, and keeps what it has granted", func() {
		addSmallEngine(pool, "e", model)
		first := instance.Receive(start, instances[1], askMessage(1, model))
		instance.Drain()
		Expect(instance.Receive(start, instances[1], askMessage(1, model))).To(Equal(first))
		Expect(instance.Receive(start, instances[1], askMessage(2, model))).To(Equal([]counter.SentMessage{{To: instances[1], Message: permit.ShuttingDown{ID: 2}}}))
	})

	// Two instances consider themselves the owner, because a new instance is not known everywhere
	// yet. Both issue grants, so each counts the requests that the other reports for the engine.
	It("counts what another instance grants that takes itself for the owner", func() {
		addSmallEngine(pool, "e", model)
		instance.Receive(start, instances[3], permit.LoadReport{Upstream: "e", ActiveRequests: 12})
		sent := instance.Receive(start, instances[1], askMessage(1, model))
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].Message).To(BeAssignableToTypeOf(permit.Queued{}))
	})

	It("avoids an engine that peers report as failed", func() {
		addSmallEngine(pool, "e0", model)
		instance.Receive(start, instances[1], askMessage(1, model))
		instance.Receive(start, instances[1], permit.Release{ID: 1, Outcome: permit.Failed})
		addSmallEngine(pool, "e1", model)
		sent := instance.Receive(start, instances[1], askMessage(2, model))
		Expect(sent[0].Message.(permit.Granted).Upstream).To(Equal("e1"))
	})

	It("places requests for a service without a route here", func() {
		addSmallEngine(pool, "e", model)
		instance.Receive(start, instances[1], askMessage(1, model))
		Expect(pool.Load(start, "e")).To(BeNumerically("~", 1, 0.01), "NaN would make it appear empty forever")
	})
})

// peer is an entry instance on loopback that exchanges messages with others.
type peer struct {
	address netip.AddrPort
	proxy   *counter.Proxy
	path    *upstreamPath
	// messages and control carry what the instance exchanges with peers and control instances.
	messages *messagePath
	control  *controlPath
	// relay is the server for requests of other instances.
	relay *httptest.Server
}

func listenPeer() net.PacketConn {
	GinkgoHelper()
	var config net.ListenConfig
	conn, err := config.ListenPacket(GinkgoT().Context(), "udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// listenPeerWithRelay listens at one address for messages and for relayed requests.
func listenPeerWithRelay() (net.PacketConn, net.Listener) {
	GinkgoHelper()
	var config net.ListenConfig
	for range 100 {
		conn := listenPeer()
		listener, err := config.Listen(GinkgoT().Context(), "tcp", conn.LocalAddr().String())
		if err == nil {
			return conn, listener
		}
		conn.Close()
	}
	Fail("no address is free for both")
	return nil, nil
}

// startPeer starts a peer that syncs with c.
func startPeer(c *fakeControl) peer {
	GinkgoHelper()
	return startPeerWithClock(c, time.Now)
}

// startPeerWithClock is startPeer with a given clock.
func startPeerWithClock(c *fakeControl, now func() time.Time) peer {
	GinkgoHelper()
	conn, relayListener := listenPeerWithRelay()
	p := peer{
		address: conn.LocalAddr().(*net.UDPAddr).AddrPort(), path: &upstreamPath{},
		messages: &messagePath{PacketConn: conn}, control: &controlPath{},
	}
	p.proxy = counter.New(counter.Options{
		Name: p.address.String(), CallerAddress: "127.0.0.1:2", FailureDomain: "here", Seeds: []string{c.address},
		Dial: p.control.dial, DialUpstream: p.path.dial, UpstreamLease: time.Minute, PeerConn: p.messages,
		Retries:     counter.RetryLimits{Ratio: 0.1, Burst: 20, Window: 10 * time.Second},
		ParseRoutes: parseRoutes, Dialect: dialect{}, Now: now, Log: zerolog.Nop(),
	})
	p.relay = p.startRelay(relayListener)
	DeferCleanup(p.proxy.Close)
	return p
}

// startRelay serves the requests that other instances send through this one.
func (p peer) startRelay(listener net.Listener) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(p.proxy.ServeRelay))
	server.Listener.Close()
	server.Listener = listener
	server.Config.ConnContext = shuttle.WithConn
	server.Start()
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// serve sends a request for a model through the instance and returns the status.
func (p peer) serve(model string) int {
	request := httptest.NewRequest(http.MethodPost, "http://spec.test/write/", nil)
	request.Header.Set(idHeader, "r1")
	recorder := httptest.NewRecorder()
	p.proxy.ServeRequest(recorder, request, counter.Call{ID: "r1", Timeout: 5 * time.Second, Model: model})
	return recorder.Code
}

// grantingOwner is an entry instance that grants the same upstream to each request.
type grantingOwner struct {
	conn    net.PacketConn
	address netip.AddrPort
	// releases receives the releases of the grants, and pushbacks the reported pushbacks.
	releases  chan permit.Release
	pushbacks chan permit.PushbackReport
}

func listenGrantingOwner() *grantingOwner {
	GinkgoHelper()
	conn := listenPeer()
	DeferCleanup(conn.Close)
	return &grantingOwner{
		conn: conn, address: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		releases: make(chan permit.Release, 100), pushbacks: make(chan permit.PushbackReport, 100),
	}
}

func (o *grantingOwner) grantAlways(upstream, address string) {
	o.grantAfter(func() {}, upstream, address)
}

// grantAfter is grantAlways with a call before each grant.
func (o *grantingOwner) grantAfter(before func(), upstream, address string) {
	go func() {
		defer GinkgoRecover()
		buffer := make([]byte, permit.MaxBytes)
		for {
			n, from, err := o.conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			message, err := permit.Decode(buffer[:n])
			Expect(err).NotTo(HaveOccurred())
			switch m := message.(type) {
			case permit.Request:
				before()
				granted := permit.Granted{ID: m.ID, Upstream: upstream, Address: address}
				_, _ = o.conn.WriteTo(permit.Append(nil, granted), from)
			case permit.Release:
				o.releases <- m
			case permit.PushbackReport:
				o.pushbacks <- m
			}
		}
	}()
}

var _ = Describe("A request at an instance that does not own its model", func() {
	It("is served by a grant of the owner, which is returned", func() {
		c := newFakeControl()
		first, second := startPeer(c), startPeer(c)
		model := modelOwnedBy("desk", second.address, first.address, second.address)
		u := newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
			Expect(second.proxy.Permits()).To(Equal(1))
			succeed(w, r)
		})
		c.announce("u", u.address(), model)
		c.addExactEntries(first.address, second.address)
		Eventually(first.proxy.Instances, specTimeout).Should(Equal(2))
		Eventually(second.proxy.Upstreams, specTimeout).Should(Equal(1))
		Expect(first.serve(model)).To(Equal(http.StatusOK))
		Eventually(second.proxy.Permits, specTimeout).Should(BeZero())
	})

	// The owner is cut off from the control instances and does not learn that an engine is leaving.
	// Its grants must not be used: the engine expects no more requests.
	It("is not sent to an engine that leaves by what its own instance knows", func() {
		c := newFakeControl()
		first := startPeer(c)
		owner := listenGrantingOwner()
		model := modelOwnedBy("desk", owner.address, first.address, owner.address)
		leaving, staying := newFakeUpstream(succeed), newFakeUpstream(succeed)
		c.announce("leaving", leaving.address(), model)
		c.announce("staying", staying.address(), model)
		c.announceLeave("leaving")
		c.addExactEntries(first.address, owner.address)
		Eventually(first.proxy.Instances, specTimeout).Should(Equal(2))
		Eventually(first.proxy.Upstreams, specTimeout).Should(Equal(2))
		owner.grantAlways("leaving", leaving.address())
		Expect(first.serve(model)).To(Equal(http.StatusOK))
		Expect(leaving.count()).To(BeZero())
		Expect(staying.count()).To(Equal(1))
		Eventually(owner.releases, specTimeout).Should(Receive(HaveField("Outcome", permit.ModelAbsent)))
	})

	// The owner of a model is frozen or gone, but still listed. The caller must be served as fast
	// as without an owner, apart from two short timeouts.
	It("is served without the owner if that does not answer, and the next at once", func() {
		c := newFakeControl()
		first := startPeer(c)
		silentConn := listenPeer()
		DeferCleanup(silentConn.Close)
		silentOwner := silentConn.LocalAddr().(*net.UDPAddr).AddrPort()
		model := modelOwnedBy("desk", silentOwner, first.address, silentOwner)
		u := newFakeUpstream(succeed)
		c.announce("u", u.address(), model)
		c.addExactEntries(first.address, silentOwner)
		Eventually(first.proxy.Instances, specTimeout).Should(Equal(2))
		Eventually(first.proxy.Upstreams, specTimeout).Should(Equal(1))
		began := time.Now()
		Expect(first.serve(model)).To(Equal(http.StatusOK))
		Expect(first.serve(model)).To(Equal(http.StatusOK))
		Expect(time.Since(began)).To(BeNumerically("<", specTimeout/4))
		Expect(u.count()).To(Equal(2))
	})
})
