package counter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// upstreamPath is the network between an instance and all upstreams.
type upstreamPath struct {
	mu sync.Mutex
	// failure is the error of each new connection, nil while the network works.
	failure error
	dials   int
	open    []net.Conn
}

func (p *upstreamPath) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	failure := p.failure
	p.mu.Unlock()
	if failure != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: failure}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		p.mu.Lock()
		p.open = append(p.open, conn)
		p.mu.Unlock()
	}
	return conn, err
}

// reset breaks all open connections off and refuses new ones.
func (p *upstreamPath) reset() {
	p.fail(syscall.ECONNREFUSED)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.open {
		conn.Close()
	}
}

// fail makes all new connections fail, or lets them succeed if failure is nil.
func (p *upstreamPath) fail(failure error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = failure
}

func (p *upstreamPath) dialCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// contactTime is how long after the loss of its path an instance may fail requests.
const contactTime = 3 * time.Second

var _ = Describe("An instance without a path to any upstream", func() {
	var group *peerGroup
	var model string
	var upstreams []*reluctantUpstream

	BeforeEach(func() {
		group = newPeerGroup(4)
		model, upstreams = group.ownedBy(1), nil
		for _, name := range []string{"a", "b", "c", "d"} {
			u := newReluctantUpstream(group.clock)
			group.control.announce(name, u.address(), model)
			upstreams = append(upstreams, u)
		}
		group.waitUntilKnown(len(upstreams))
	})

	// Two of four instances lose their links to all engines, and callers still reach them.
	DescribeTable("has its requests served through a peer",
		func(failure error, path string, withModel bool) {
			requested := ""
			if withModel {
				requested = model
			}
			group.peers[0].path.fail(failure)
			group.peers[2].path.fail(failure)
			first := group.sendFor(contactTime, path, requested, 0, 2)
			Expect(group.sendFor(contactTime, path, requested, 0, 2)).To(Equal(map[int]int{http.StatusOK: 60}))
			arrivals := 0
			for _, u := range upstreams {
				arrivals += u.count()
			}
			Expect(arrivals).To(Equal(60+first[http.StatusOK]), "no request is sent twice")
		},
		Entry("of a plain service", os.ErrDeadlineExceeded, "/book/", false),
		Entry("that are idempotent", os.ErrDeadlineExceeded, "/look/", false),
		Entry("for a model of another instance", os.ErrDeadlineExceeded, "/write/", true),
		Entry("while connections are refused", syscall.ECONNREFUSED, "/write/", true),
	)

	// A reset path breaks responses off and refuses connections, as crashed engines do. Sound
	// requests must not be suspected of crashing them.
	It("does not report sound upstreams as crashed", func() {
		reached := make(chan struct{}, len(upstreams))
		for _, u := range upstreams {
			u.server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				reached <- struct{}{}
				<-r.Context().Done()
			})
		}
		var requests sync.WaitGroup
		for range upstreams {
			requests.Go(func() {
				defer GinkgoRecover()
				Expect(group.sendTo(0, "/book/", "")).To(Equal(http.StatusBadGateway))
			})
		}
		for range upstreams {
			Eventually(reached).Should(Receive())
		}
		group.peers[0].path.reset()
		requests.Wait()
		group.clock.advance(time.Second)
		Consistently(group.control.crashReports).WithTimeout(500 * time.Millisecond).Should(BeEmpty())
	})

	// The owner of a model avoids an upstream after a reported failure, and would then avoid all sound
	// upstreams for the other instances too.
	It("does not report failures of upstreams to the owner of their model", func() {
		owner := listenGrantingOwner()
		control := newFakeControl()
		alone := startPeer(control)
		owned := modelOwnedBy("desk", owner.address, alone.address, owner.address)
		for _, u := range upstreams[:2] {
			control.announce(u.address(), u.address(), owned)
		}
		control.addExactEntries(alone.address, owner.address)
		Eventually(alone.proxy.Instances, specTimeout).Should(Equal(2))
		Eventually(alone.proxy.Upstreams, specTimeout).Should(Equal(2))
		alone.path.fail(os.ErrDeadlineExceeded)
		Expect(alone.serve("")).To(Equal(http.StatusServiceUnavailable), "the loss is noticed")

		owner.grantAlways(upstreams[0].address(), upstreams[0].address())
		Expect(alone.serve(owned)).To(Equal(http.StatusServiceUnavailable))
		Eventually(owner.releases, specTimeout).Should(Receive(HaveField("Outcome", permit.Unused)))
		Consistently(owner.releases).WithTimeout(50 * time.Millisecond).ShouldNot(Receive(HaveField("Outcome", permit.Failed)))
	})
})
