package counter_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// messagePath carries the messages of an instance to and from its peers.
type messagePath struct {
	net.PacketConn
	sentLost, receivedLost atomic.Bool
}

func (p *messagePath) WriteTo(message []byte, to net.Addr) (int, error) {
	if p.sentLost.Load() {
		return len(message), nil
	}
	return p.PacketConn.WriteTo(message, to)
}

func (p *messagePath) ReadFrom(buffer []byte) (n int, from net.Addr, err error) {
	for {
		n, from, err = p.PacketConn.ReadFrom(buffer)
		if err != nil || !p.receivedLost.Load() {
			return n, from, err
		}
	}
}

// controlPath carries the calls of an instance to control instances. A call of which a part is lost fails.
type controlPath struct {
	callsLost, repliesLost atomic.Bool
}

func (p *controlPath) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.callsLost.Load() {
		return nil, os.ErrDeadlineExceeded
	}
	conn, err := courier.DialTCP(ctx, address)
	return &controlConn{Conn: conn, path: p}, err
}

type controlConn struct {
	net.Conn
	path *controlPath
}

func (c *controlConn) Write(call []byte) (int, error) {
	if c.path.callsLost.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(call)
}

func (c *controlConn) Read(reply []byte) (int, error) {
	n, err := c.Conn.Read(reply)
	if c.path.repliesLost.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// isolation is what of the traffic of an instance is lost, and for how long.
type isolation struct {
	calls, replies, sent, received bool
	lasts                          time.Duration
	// over is true if nothing is lost any more as callers resume their streams.
	over bool
}

func (p peer) apply(c isolation) {
	p.control.callsLost.Store(c.calls)
	p.control.repliesLost.Store(c.replies)
	p.messages.sentLost.Store(c.sent)
	p.messages.receivedLost.Store(c.received)
}

const streamsPerCut = 3

// beginSome begins streams at an instance, as far as it has an upstream, and returns the version of each.
func (g *resumptionGroup) beginSome(ctx context.Context, instance int, name string) map[string]string {
	GinkgoHelper()
	versions := map[string]string{}
	for n := range streamsPerCut {
		id := fmt.Sprint(name, n)
		if status, version := g.beginAt(ctx, instance, id); status == http.StatusOK {
			versions[id] = version
		}
	}
	return versions
}

// resumeAt resumes streams at an instance. They go on at the version that began them, or are refused. It returns
// how many went on.
func (g *resumptionGroup) resumeAt(ctx context.Context, instance int, began map[string]string) (wentOn int) {
	GinkgoHelper()
	for id, version := range began {
		if status, resumed := g.resume(ctx, instance, id); status == http.StatusOK {
			Expect(resumed).To(Equal(version), "stream %s at %d", id, instance)
			wentOn++
		}
	}
	return wentOn
}

// A release begins while one instance is cut off. It goes on to decide by what it knew.
var _ = DescribeTable("A stream is never joined from two versions while one instance is cut off",
	func(ctx SpecContext, c isolation, elsewhere, here int) {
		g := newResumptionGroup(4)
		_, late := g.ownerAndOther()
		other := (late + 1) % len(g.peers)
		g.announceUpstreams("v1", "v1")
		g.peers[late].apply(c)
		g.control.announceVersion("v2", "e3", newVersionedUpstream("v2").address(), resumedModel)
		g.control.announceVersion("v2", "e4", newVersionedUpstream("v2").address(), resumedModel)
		for n, p := range g.peers {
			if n != late {
				Eventually(ctx, p.proxy.Upstreams).Should(Equal(4))
			}
		}
		g.clock.advance(c.lasts)
		began, begunElsewhere := g.beginSome(ctx, late, "late"), g.beginSome(ctx, other, "other")
		if c.over {
			c = isolation{}
			g.peers[late].apply(c)
		}
		if !c.calls {
			Eventually(ctx, g.control.knownStreams).Should(Equal(2 * streamsPerCut))
		}
		Expect(g.resumeAt(ctx, other, began)).To(BeNumerically(">=", elsewhere))
		Expect(g.resumeAt(ctx, late, began)).To(Equal(streamsPerCut))
		Expect(g.resumeAt(ctx, late, begunElsewhere)).To(BeNumerically(">=", here))
	},
	Entry("from control instances", SpecTimeout(specTimeout), isolation{calls: true}, streamsPerCut, streamsPerCut),
	Entry("from control instances, for longer than a lease", SpecTimeout(specTimeout), isolation{calls: true, lasts: longerThanLease}, streamsPerCut, streamsPerCut),
	Entry("from the replies of control instances", SpecTimeout(specTimeout), isolation{replies: true}, streamsPerCut, streamsPerCut),
	Entry("from the replies of control instances, for longer than a lease", SpecTimeout(specTimeout), isolation{replies: true, lasts: longerThanLease}, streamsPerCut, streamsPerCut),
	Entry("from peers", SpecTimeout(specTimeout), isolation{sent: true, received: true}, streamsPerCut, streamsPerCut),
	Entry("from peers that hear it", SpecTimeout(specTimeout), isolation{received: true}, streamsPerCut, streamsPerCut),
	Entry("from peers that it hears", SpecTimeout(specTimeout), isolation{sent: true}, streamsPerCut, streamsPerCut),
	Entry("from all", SpecTimeout(specTimeout), isolation{calls: true, sent: true, received: true}, 0, 0),
	Entry("from all, for longer than a lease", SpecTimeout(specTimeout), isolation{calls: true, sent: true, received: true, lasts: longerThanLease}, 0, 0),
	Entry("from what it would hear, for longer than a lease", SpecTimeout(specTimeout), isolation{replies: true, received: true, lasts: longerThanLease}, 0, 0),
	Entry("from all, until callers return", SpecTimeout(specTimeout), isolation{calls: true, sent: true, received: true, lasts: longerThanLease, over: true}, streamsPerCut, streamsPerCut),
)
