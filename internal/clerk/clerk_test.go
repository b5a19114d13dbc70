package clerk_test

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/clerk"
	"github.com/lovagelift/lovagelift/internal/jury"
)

type proposed struct {
	result string
	err    error
}

func propose(r *replica, command string) proposed {
	result, err := r.clerk.Propose(context.Background(), []byte(command))
	return proposed{result: string(result), err: err}
}

var _ = Describe("a set of replicas", func() {
	It("carries out proposals of any replica in one order", func() {
		c := newCourt(3)
		c.begin()
		for i := range 9 {
			p := whilePassing(c, func() proposed { return propose(c.replicas[i%3], fmt.Sprint("change-", i)) })
			Expect(p).To(Equal(proposed{result: fmt.Sprint(i + 1)}))
		}
		for _, r := range c.replicas {
			c.until(func() bool { return len(r.machine.all()) == 9 })
			Expect(r.machine.all()).To(Equal(c.replicas[0].machine.all()))
		}
	})

	It("has one holder of the right to order, and knows how fresh each state is", func() {
		c := newCourt(3)
		leader := c.begin()
		c.until(func() bool {
			for _, r := range c.replicas {
				asOf, ok := r.clerk.Freshness()
				if !ok || c.clock().Sub(asOf) > 200e6 {
					return false
				}
			}
			return true
		})
		for _, r := range c.others(leader) {
			_, _, ok := r.clerk.OrderRight(c.clock())
			Expect(ok).To(BeFalse())
			Expect(r.clerk.Leader()).To(Equal(leader.name))
		}
	})

	// A clerk's change was accepted just before every instance lost power.
	// Each starts again from its disk, which holds a snapshot and the entries
	// after it, and has the same state in the same order.
	It("has the same state after all have restarted", func() {
		c := newCourt(3)
		c.begin()
		for i := range 60 {
			p := whilePassing(c, func() proposed { return propose(c.replicas[0], strings.Repeat("x", 100)+fmt.Sprint(i)) })
			Expect(p.err).NotTo(HaveOccurred())
		}
		c.until(func() bool {
			return c.replicas[0].disk.load().Snapshot.Index > 1 && len(c.replicas[0].machine.all()) == 60
		})
		want := c.replicas[0].machine.all()
		c.close()
		for _, r := range c.replicas {
			c.start(r)
		}
		c.until(func() bool { return c.leader() != nil })
		for _, r := range c.replicas {
			c.until(func() bool { return len(r.machine.all()) == 60 })
			Expect(r.machine.all()).To(Equal(want))
		}
	})

	// The same with data folders on the disk: the cluster, the snapshot and the
	// entries after it come back.
	It("has the same state after all have restarted from their data folders", func() {
		c := makeCourt(3)
		folders := make([]string, len(c.replicas))
		for i, r := range c.replicas {
			folders[i] = GinkgoT().TempDir()
			Expect(r.open(folders[i])).To(Succeed())
			c.start(r)
		}
		c.begin()
		for i := range 60 {
			p := whilePassing(c, func() proposed { return propose(c.replicas[0], strings.Repeat("x", 100)+fmt.Sprint(i)) })
			Expect(p.err).NotTo(HaveOccurred())
		}
		c.until(func() bool {
			return c.replicas[0].clerk.Status().SnapshotIndex > 1 && len(c.replicas[0].machine.all()) == 60
		})
		want := c.replicas[0].machine.all()
		c.close()
		for i, r := range c.replicas {
			Expect(r.archive.Close()).To(Succeed())
			Expect(r.open(folders[i])).To(Succeed())
			Expect(r.state.Snapshot.Index).To(BeNumerically(">", 1))
			c.start(r)
		}
		DeferCleanup(func() {
			c.close()
			for _, r := range c.replicas {
				Expect(r.archive.Close()).To(Succeed())
			}
		})
		c.until(func() bool { return c.leader() != nil })
		for _, r := range c.replicas {
			c.until(func() bool { return len(r.machine.all()) == 60 })
			Expect(r.machine.all()).To(Equal(want))
			Expect(r.clerk.Status().Cluster).To(Equal("juryline"))
		}
	})

	// A voter was down for hundreds of changes. What it lacks is compacted, so
	// that the leader sends it a snapshot.
	It("brings back a replica that was cut off for long", func() {
		c := newCourt(3)
		leader := c.begin()
		behind := c.others(leader)[0]
		c.setCut(behind, true)
		for i := range 60 {
			p := whilePassing(c, func() proposed { return propose(leader, strings.Repeat("x", 100)+fmt.Sprint(i)) })
			Expect(p.err).NotTo(HaveOccurred())
		}
		c.until(func() bool { return leader.clerk.Status().SnapshotIndex > 20 })
		c.setCut(behind, false)
		c.until(func() bool { return len(behind.machine.all()) == 60 })
		Expect(behind.machine.all()).To(Equal(leader.machine.all()))
		asOf, ok := behind.clerk.Freshness()
		Expect(ok).To(BeTrue())
		Expect(asOf).NotTo(BeTemporally(">", c.clock()))
	})

	// The leader's disk fails in the middle of the day. The caller of the change
	// that was under way is told that nobody knows; the others elect a leader,
	// and the next change goes through. The failed replica never acknowledges
	// again.
	It("goes on without a leader whose disk failed", func() {
		c := newCourt(3)
		leader := c.begin()
		leader.disk.fail(errors.New("no space left"))
		c.setCut(leader, true)
		ended, cancel := context.WithCancel(context.Background())
		lost := make(chan error, 1)
		go func() {
			_, err := leader.clerk.ProposeHere(ended, []byte("under way"))
			lost <- err
		}()
		c.until(func() bool { return leader.clerk.Status().Failure != nil })
		cancel()
		Expect(<-lost).To(MatchError(clerk.ErrUnknown))
		c.setCut(leader, false)
		_, err := leader.clerk.ProposeHere(context.Background(), []byte("later"))
		var refused *clerk.NotAcceptedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		var failed *jury.FailedError
		Expect(errors.As(err, &failed)).To(BeTrue())
		p := whilePassing(c, func() proposed { return propose(c.others(leader)[0], "after") })
		Expect(p.err).NotTo(HaveOccurred())
		Expect(leader.disk.load().Entries).NotTo(ContainElement(HaveField("Data", []byte("after"))))
	})

	// A command that one replica cannot carry out would fork the state if it
	// were skipped there: that replica stops, with the cause in its status.
	It("stops a replica that cannot carry out a command", func() {
		c := newCourt(3)
		leader := c.begin()
		bad := c.others(leader)[0]
		bad.machine.fail(errors.New("newer command"))
		p := whilePassing(c, func() proposed { return propose(leader, "change") })
		Expect(p.err).NotTo(HaveOccurred())
		c.until(func() bool { return bad.clerk.Status().Failure != nil })
		Expect(bad.clerk.Status().Failure).To(MatchError(ContainSubstring("newer command")))
	})

	// No majority is there. The caller gets a final answer when its own time is
	// over: the change was not accepted and never will be.
	It("tells for certain that nothing was accepted without a leader", func() {
		c := newCourt(3)
		leader := c.begin()
		for _, r := range c.others(leader) {
			c.setCut(r, true)
		}
		c.until(func() bool { return leader.clerk.Leader() == "" })
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := leader.clerk.Propose(ended, []byte("change"))
		var refused *clerk.NotAcceptedError
		Expect(errors.As(err, &refused)).To(BeTrue())
	})

	// The leader accepts a forwarded change, but the reply is lost on the way.
	// The caller is not told that nothing happened, for it did.
	It("says unknown when the reply of the leader is lost", func() {
		c := newCourt(3)
		leader := c.begin()
		c.mutex.Lock()
		c.lostReply = true
		c.mutex.Unlock()
		p := whilePassing(c, func() proposed { return propose(c.others(leader)[0], "change") })
		Expect(p.err).To(MatchError(clerk.ErrUnknown))
		c.until(func() bool { return len(leader.machine.all()) == 1 })
	})

	// A planned stop of the leader hands over before it ends, so that changes go
	// on without waiting for an election timeout.
	It("hands over when the leader closes", func() {
		c := newCourt(3)
		leader := c.begin()
		term := leader.clerk.Status().Term
		whilePassing(c, func() bool { leader.clerk.Close(context.Background()); return true })
		next := c.others(leader)
		c.until(func() bool { return next[0].clerk.Leader() != leader.name && next[0].clerk.Leader() != "" })
		Expect(next[0].clerk.Status().Term).To(Equal(term + 1))
	})

	It("replaces a voter whose disk was lost", func() {
		c := newCourt(3)
		leader := c.begin()
		lost := c.others(leader)[0]
		former := lost.name
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		lost.clerk.Close(ended)
		c.mutex.Lock()
		lost.disk, lost.name = &memory{}, jury.Identity(former.Instance()+"/99")
		c.mutex.Unlock()
		c.start(lost)
		add := func() error { return leader.clerk.AddVoter(context.Background(), lost.name) }
		Expect(whilePassing(c, add)).To(MatchError(ContainSubstring("is still a voter")))
		remove := func() error { return leader.clerk.RemoveVoter(context.Background(), former) }
		Expect(whilePassing(c, remove)).To(MatchError(ContainSubstring("could not lose another one")), "it may still be there")
		c.until(func() bool { return whilePassing(c, remove) == nil })
		c.until(func() bool { return whilePassing(c, add) == nil })
		c.until(func() bool { return lost.clerk.Status().Voter })
	})

	It("refuses a second bootstrap under another name, and takes the same again", func() {
		c := newCourt(3)
		c.begin()
		r := c.replicas[1]
		Expect(r.clerk.Bootstrap(context.Background(), "juryline", c.names(), nil)).To(Succeed())
		Expect(r.clerk.Bootstrap(context.Background(), "other", c.names(), nil)).To(MatchError(jury.ErrNotBlank))
	})
})
