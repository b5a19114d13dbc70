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
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
)

// addresses are those of so many entry instances.
func addresses(count int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range count {
		all = append(all, netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1)))
	}
	return all
}

// modelOf returns a model of a service that an instance owns among others.
func modelOf(service string, owner netip.AddrPort, among ...netip.AddrPort) string {
	owners := permit.NewOwners(among)
	for i := 0; ; i++ {
		model := fmt.Sprint("model-", i)
		if found, _ := owners.Of(service, model, func(netip.AddrPort) bool { return true }); found == owner {
			return model
		}
	}
}

// smallEngine is an engine of twelve places.
func smallEngine(fleet counter.UpstreamPool, name string, models ...string) {
	engine := engineOf(name, "here", start, models...)
	engine.Announcement.Load.MaxRunning = 12
	fleet.Apply(start, engine)
}

func asking(id permit.ID, model string) permit.Ask {
	return permit.Ask{
		ID: id, Service: "pool", Model: model, PromptTokens: 1, Objective: 800 * time.Millisecond, Left: 12 * time.Second,
	}
}

var _ = Describe("The instance that owns a model", func() {
	const instances = 291
	among := addresses(instances)
	owner := among[7]
	model := modelOf("pool", owner, among...)
	var fleet counter.UpstreamPool
	var own counter.Instance

	BeforeEach(func() {
		fleet = counter.NewUpstreamPool("here", lease)
		own = counter.NewInstance(fleet, owner, among)
	})

	// Each of 291 instances has one request for a model at the same moment, and four
	// engines of twelve places hold it. Each instance by itself sees all places free, and
	// engines reject five of six. Told of every request of the others, each takes in 290
	// messages a request.
	It("grants as many places as there are, at a cost that does not grow with the instances", func() {
		for i := range 4 {
			smallEngine(fleet, fmt.Sprint("e", i), model)
		}
		granted := map[string]int{}
		messages, others := 0, 0
		for i, asker := range among {
			if asker == owner {
				continue
			}
			for _, told := range own.Receive(start, asker, asking(permit.ID(i), model)) {
				messages++
				Expect(told.To).To(Equal(asker))
				switch m := told.Message.(type) {
				case permit.Granted:
					granted[m.Upstream]++
				case permit.Queued, permit.Refused:
					others++
				}
			}
		}
		Expect(granted).To(Equal(map[string]int{"e0": 12, "e1": 12, "e2": 12, "e3": 12}))
		Expect(messages).To(Equal(instances-1), "one answer each")
		Expect(others).To(Equal(instances - 1 - 48))
	})

	It("tells those alone who own other models of the engine what goes there", func() {
		shared := modelOf("pool", among[9], among...)
		smallEngine(fleet, "e", model, shared)
		told := own.Receive(start, among[1], asking(1, model))
		Expect(told).To(HaveLen(2))
		Expect(told[0].To).To(Equal(among[9]))
		Expect(told[0].Message).To(Equal(permit.Use{Upstream: "e", Reading: told[0].Message.(permit.Use).Reading, Open: 1}))
		Expect(told[1].To).To(Equal(among[1]))
	})

	// An answer is lost on its way, and the question comes again: taken for another
	// request, it would take a second place that nobody uses.
	It("answers a question that comes again as it did before", func() {
		smallEngine(fleet, "e", model)
		first := own.Receive(start, among[1], asking(1, model))
		again := own.Receive(start.Add(40*time.Millisecond), among[1], asking(1, model))
		Expect(again).To(Equal(first))
		Expect(fleet.Load(start, "e")).To(BeNumerically("~", 1, 0.01))
	})

	It("hands on a place that is given back", func() {
		smallEngine(fleet, "e", model)
		for i := range 12 {
			own.Receive(start, among[1], asking(permit.ID(i), model))
		}
		Expect(own.Receive(start, among[2], asking(1, model))).To(Equal([]counter.SentMessage{{To: among[2], Message: permit.Queued{ID: 1}}}))
		own.Receive(start, among[1], permit.Ended{ID: 3, Outcome: permit.Worked})
		told := own.Dispatch(start.Add(10 * time.Millisecond))
		Expect(told).To(HaveLen(1))
		Expect(told[0].To).To(Equal(among[2]))
		Expect(told[0].Message).To(BeAssignableToTypeOf(permit.Granted{}))
	})

	It("forgets a request that is taken back while it waits", func() {
		smallEngine(fleet, "e", model)
		for i := range 13 {
			own.Receive(start, among[1], asking(permit.ID(i), model))
		}
		own.Receive(start, among[1], permit.Ended{ID: 12})
		own.Receive(start, among[1], permit.Ended{ID: 3})
		Expect(own.Dispatch(start.Add(10 * time.Millisecond))).To(BeEmpty())
	})

	// An instance is killed while it has twelve requests at an engine, or what it says of
	// their end is lost. The engine would look full for good.
	It("takes places back that nobody gives back", func() {
		smallEngine(fleet, "e", model)
		for i := range 12 {
			own.Receive(start, among[1], asking(permit.ID(i), model))
		}
		own.ExpirePermits(start.Add(time.Second))
		Expect(fleet.Load(start.Add(time.Second), "e")).To(BeNumerically("~", 12, 0.01))
		own.ExpirePermits(start.Add(12 * time.Second))
		Expect(fleet.Load(start.Add(12*time.Second), "e")).To(BeNumerically("<", 1))
	})

	It("sends askers on when it is about to stop, and keeps what it has granted", func() {
		smallEngine(fleet, "e", model)
		first := own.Receive(start, among[1], asking(1, model))
		own.Drain()
		Expect(own.Receive(start, among[1], asking(1, model))).To(Equal(first))
		Expect(own.Receive(start, among[1], asking(2, model))).To(Equal([]counter.SentMessage{{To: among[1], Message: permit.Moved{ID: 2}}}))
	})

	// Two instances take themselves for the owner, as one has come and not all know it.
	// Both grant: each counts what the other tells of the engine.
	It("counts what another instance grants that takes itself for the owner", func() {
		smallEngine(fleet, "e", model)
		own.Receive(start, among[3], permit.Use{Upstream: "e", Open: 12})
		told := own.Receive(start, among[1], asking(1, model))
		Expect(told).To(HaveLen(1))
		Expect(told[0].Message).To(BeAssignableToTypeOf(permit.Queued{}))
	})

	It("avoids an engine that askers say has failed", func() {
		smallEngine(fleet, "e0", model)
		own.Receive(start, among[1], asking(1, model))
		own.Receive(start, among[1], permit.Ended{ID: 1, Outcome: permit.Failed})
		smallEngine(fleet, "e1", model)
		told := own.Receive(start, among[1], asking(2, model))
		Expect(told[0].Message.(permit.Granted).Upstream).To(Equal("e1"))
	})

	It("places requests for a service that no route known here goes to", func() {
		smallEngine(fleet, "e", model)
		own.Receive(start, among[1], asking(1, model))
		Expect(fleet.Load(start, "e")).To(BeNumerically("~", 1, 0.01), "no number would have it look empty for good")
	})
})

// peer is an entry instance that others can ask, on loopback.
type peer struct {
	address netip.AddrPort
	counter *counter.Counter
}

func listenPeer() net.PacketConn {
	GinkgoHelper()
	var config net.ListenConfig
	conn, err := config.ListenPacket(GinkgoT().Context(), "udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// startPeer starts one that learns from c.
func startPeer(c *control) peer {
	GinkgoHelper()
	return startPeerAt(c, time.Now)
}

// startPeerAt is startPeer with a clock.
func startPeerAt(c *control, now func() time.Time) peer {
	GinkgoHelper()
	conn := listenPeer()
	p := peer{address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	p.counter = counter.New(counter.Options{
		Name: p.address.String(), CallerAddress: "127.0.0.1:2", FailureDomain: "here", Seeds: []string{c.address},
		Dial: courier.DialTCP, UpstreamLease: time.Minute, Peers: conn,
		Retries: counter.RetryLimits{Share: 0.1, Slack: 20, Window: 10 * time.Second},
		Table:   table, Dialect: dialect{}, Now: now, Log: zerolog.Nop(),
	})
	DeferCleanup(p.counter.Close)
	return p
}

// serve has the instance serve one request for a model, and returns the status.
func (p peer) serve(model string) int {
	request := httptest.NewRequest(http.MethodPost, "http://spec.test/write/", nil)
	request.Header.Set(idHeader, "r1")
	recorder := httptest.NewRecorder()
	p.counter.Serve(recorder, request, counter.Call{ID: "r1", Patience: 5 * time.Second, Model: model})
	return recorder.Code
}

var _ = Describe("A request at an instance that does not own its model", func() {
	It("is served at the place that the owner grants, which is given back", func() {
		c := newControl()
		first, second := startPeer(c), startPeer(c)
		model := modelOf("desk", second.address, first.address, second.address)
		u := newUpstream(func(w http.ResponseWriter, r *http.Request) {
			Expect(second.counter.Permits()).To(Equal(1))
			good(w, r)
		})
		c.announce("u", u.address(), model)
		c.instances(first.address, second.address)
		Eventually(first.counter.Instances, specTimeout).Should(Equal(2))
		Eventually(second.counter.Upstreams, specTimeout).Should(Equal(1))
		Expect(first.serve(model)).To(Equal(http.StatusOK))
		Eventually(second.counter.Permits, specTimeout).Should(BeZero())
	})

	// The owner is cut off from the control instances, and does not hear that an engine
	// leaves. Requests that it places there would reach the engine until it is gone, though
	// the engine was told that it gets none.
	It("is not sent to an engine that leaves by what its own instance knows", func() {
		c := newControl()
		first := startPeer(c)
		cut := listenPeer()
		DeferCleanup(cut.Close)
		owner := cut.LocalAddr().(*net.UDPAddr).AddrPort()
		model := modelOf("desk", owner, first.address, owner)
		leaving, staying := newUpstream(good), newUpstream(good)
		c.announce("leaving", leaving.address(), model)
		c.announce("staying", staying.address(), model)
		c.leave("leaving")
		c.instances(first.address, owner)
		Eventually(first.counter.Instances, specTimeout).Should(Equal(2))
		Eventually(first.counter.Upstreams, specTimeout).Should(Equal(2))
		ended := make(chan permit.Ended, 1)
		go func() {
			defer GinkgoRecover()
			buffer := make([]byte, permit.MaxBytes)
			for {
				n, from, err := cut.ReadFrom(buffer)
				if err != nil {
					return
				}
				message, err := permit.Decode(buffer[:n])
				Expect(err).NotTo(HaveOccurred())
				switch m := message.(type) {
				case permit.Ask:
					granted := permit.Granted{ID: m.ID, Upstream: "leaving", Address: leaving.address()}
					_, _ = cut.WriteTo(permit.Append(nil, granted), from)
				case permit.Ended:
					ended <- m
				}
			}
		}()
		Expect(first.serve(model)).To(Equal(http.StatusOK))
		Expect(leaving.count()).To(BeZero())
		Expect(staying.count()).To(Equal(1))
		Eventually(ended, specTimeout).Should(Receive(HaveField("Outcome", permit.Absent)))
	})

	// The owner of a model is frozen or gone, and its address is in the lists still. The
	// caller must be served as fast as if there were no owner, but for two short waits.
	It("is served without the owner if that does not answer, and the next at once", func() {
		c := newControl()
		first := startPeer(c)
		silent := listenPeer()
		DeferCleanup(silent.Close)
		gone := silent.LocalAddr().(*net.UDPAddr).AddrPort()
		model := modelOf("desk", gone, first.address, gone)
		u := newUpstream(good)
		c.announce("u", u.address(), model)
		c.instances(first.address, gone)
		Eventually(first.counter.Instances, specTimeout).Should(Equal(2))
		Eventually(first.counter.Upstreams, specTimeout).Should(Equal(1))
		began := time.Now()
		Expect(first.serve(model)).To(Equal(http.StatusOK))
		Expect(first.serve(model)).To(Equal(http.StatusOK))
		Expect(time.Since(began)).To(BeNumerically("<", specTimeout/4))
		Expect(u.count()).To(Equal(2))
	})
})
