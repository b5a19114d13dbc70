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

type proposalResult struct {
	result string
	err    error
}

func propose(n *node, command string) proposalResult {
	result, err := n.replica.Propose(context.Background(), []byte(command))
	return proposalResult{result: string(result), err: err}
}

var _ = Describe("a set of replicas", func() {
	It("applies proposals of any replica in one order", func() {
		c := newCluster(3)
		c.bootstrap()
		for i := range 9 {
			p := whileAdvancing(c, func() proposalResult { return propose(c.nodes[i%3], fmt.Sprint("change-", i)) })
			Expect(p).To(Equal(proposalResult{result: fmt.Sprint(i + 1)}))
		}
		for _, n := range c.nodes {
			c.waitUntil(func() bool { return len(n.machine.applied()) == 9 })
			Expect(n.machine.applied()).To(Equal(c.nodes[0].machine.applied()))
		}
	})

	It("lets only the leader send orders, and knows the freshness of each state", func() {
		c := newCluster(3)
		leader := c.bootstrap()
		c.waitUntil(func() bool {
			for _, n := range c.nodes {
				asOf, ok := n.replica.Freshness()
				if !ok || c.clock().Sub(asOf) > 200e6 {
					return false
				}
			}
			return true
		})
		for _, n := range c.others(leader) {
			_, _, ok := n.replica.OrderRight(c.clock())
			Expect(ok).To(BeFalse())
			Expect(n.replica.Leader()).To(Equal(leader.identity))
		}
	})

	// A change is accepted just before all instances lose power. Each replica restarts from its
	// snapshot and the entries after it, and must have the same state in the same order.
	It("has the same state after all have restarted", func() {
		c := newCluster(3)
		c.bootstrap()
		for i := range 60 {
			p := whileAdvancing(c, func() proposalResult { return propose(c.nodes[0], strings.Repeat("x", 100)+fmt.Sprint(i)) })
			Expect(p.err).NotTo(HaveOccurred())
		}
		c.waitUntil(func() bool {
			return c.nodes[0].store.load().Snapshot.Index > 1 && len(c.nodes[0].machine.applied()) == 60
		})
		want := c.nodes[0].machine.applied()
		c.close()
		for _, n := range c.nodes {
			c.start(n)
		}
		c.waitUntil(func() bool { return c.leader() != nil })
		for _, n := range c.nodes {
			c.waitUntil(func() bool { return len(n.machine.applied()) == 60 })
			Expect(n.machine.applied()).To(Equal(want))
		}
	})

	// The same with data folders on disk: the cluster ID, the snapshot and the entries after it
	// must be loaded.
	It("has the same state after all have restarted from their data folders", func() {
		c := newStoppedCluster(3)
		folders := make([]string, len(c.nodes))
		for i, n := range c.nodes {
			folders[i] = GinkgoT().TempDir()
			Expect(n.open(folders[i])).To(Succeed())
			c.start(n)
		}
		c.bootstrap()
		for i := range 60 {
			p := whileAdvancing(c, func() proposalResult { return propose(c.nodes[0], strings.Repeat("x", 100)+fmt.Sprint(i)) })
			Expect(p.err).NotTo(HaveOccurred())
		}
		c.waitUntil(func() bool {
			return c.nodes[0].replica.Status().SnapshotIndex > 1 && len(c.nodes[0].machine.applied()) == 60
		})
		want := c.nodes[0].machine.applied()
		c.close()
		for i, n := range c.nodes {
			Expect(n.archive.Close()).To(Succeed())
			Expect(n.open(folders[i])).To(Succeed())
			Expect(n.archived.Snapshot.Index).To(BeNumerically(">", 1))
			c.start(n)
		}
		DeferCleanup(func() {
			c.close()
			for _, n := range c.nodes {
				Expect(n.archive.Close()).To(Succeed())
			}
		})
		c.waitUntil(func() bool { return c.leader() != nil })
		for _, n := range c.nodes {
			c.waitUntil(func() bool { return len(n.machine.applied()) == 60 })
			Expect(n.machine.applied()).To(Equal(want))
			Expect(n.replica.Status().Cluster).To(Equal("cluster-1"))
		}
	})

	// A voter is unreachable for many changes. The entries that it lacks are compacted, so the
	// leader must send it a snapshot.
	It("brings back a replica that was cut off for long", func() {
		c := newCluster(3)
		leader := c.bootstrap()
		behind := c.others(leader)[0]
		c.setIsolated(behind, true)
		for i := range 60 {
			p := whileAdvancing(c, func() proposalResult { return propose(leader, strings.Repeat("x", 100)+fmt.Sprint(i)) })
			Expect(p.err).NotTo(HaveOccurred())
		}
		c.waitUntil(func() bool { return leader.replica.Status().SnapshotIndex > 20 })
		c.setIsolated(behind, false)
		c.waitUntil(func() bool { return len(behind.machine.applied()) == 60 })
		Expect(behind.machine.applied()).To(Equal(leader.machine.applied()))
		asOf, ok := behind.replica.Freshness()
		Expect(ok).To(BeTrue())
		Expect(asOf).NotTo(BeTemporally(">", c.clock()))
	})

	// The leader's disk fails while a change is in progress. The caller gets ErrUnknown, the other
	// replicas elect a leader, and the next change succeeds. The failed replica must not
	// acknowledge anything afterwards.
	It("goes on without a leader whose disk failed", func() {
		c := newCluster(3)
		leader := c.bootstrap()
		leader.store.failWith(errors.New("no space left"))
		c.setIsolated(leader, true)
		canceled, cancel := context.WithCancel(context.Background())
		interrupted := make(chan error, 1)
		go func() {
			_, err := leader.replica.ProposeLocal(canceled, []byte("in progress"))
			interrupted <- err
		}()
		c.waitUntil(func() bool { return leader.replica.Status().Failure != nil })
		cancel()
		Expect(<-interrupted).To(MatchError(clerk.ErrUnknown))
		c.setIsolated(leader, false)
		_, err := leader.replica.ProposeLocal(context.Background(), []byte("later"))
		var rejected *clerk.RejectedError
		Expect(errors.As(err, &rejected)).To(BeTrue())
		var failed *jury.FailedError
		Expect(errors.As(err, &failed)).To(BeTrue())
		p := whileAdvancing(c, func() proposalResult { return propose(c.others(leader)[0], "after") })
		Expect(p.err).NotTo(HaveOccurred())
		Expect(leader.store.load().Entries).NotTo(ContainElement(HaveField("Data", []byte("after"))))
	})

	// Skipping a command that a replica cannot apply would make its state diverge. The replica must
	// stop and report the cause in its status.
	It("stops a replica that cannot apply a command", func() {
		c := newCluster(3)
		leader := c.bootstrap()
		bad := c.others(leader)[0]
		bad.machine.failWith(errors.New("newer command"))
		p := whileAdvancing(c, func() proposalResult { return propose(leader, "change") })
		Expect(p.err).NotTo(HaveOccurred())
		c.waitUntil(func() bool { return bad.replica.Status().Failure != nil })
		Expect(bad.replica.Status().Failure).To(MatchError(ContainSubstring("newer command")))
	})

	// There is no quorum. When the caller's context ends, the caller gets a definite answer: the
	// change was not accepted and never will be.
	It("tells for certain that nothing was accepted without a leader", func() {
		c := newCluster(3)
		leader := c.bootstrap()
		for _, n := range c.others(leader) {
			c.setIsolated(n, true)
		}
		c.waitUntil(func() bool { return leader.replica.Leader() == "" })
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := leader.replica.Propose(canceled, []byte("change"))
		var rejected *clerk.RejectedError
		Expect(errors.As(err, &rejected)).To(BeTrue())
	})

	// The leader applies a forwarded change, but its reply is lost. The caller must not get the
	// error that the change was rejected.
	It("says unknown when the reply of the leader is lost", func() {
		c := newCluster(3)
		leader := c.bootstrap()
		c.mutex.Lock()
		c.loseReplies = true
		c.mutex.Unlock()
		p := whileAdvancing(c, func() proposalResult { return propose(c.others(leader)[0], "change") })
		Expect(p.err).To(MatchError(clerk.ErrUnknown))
		c.waitUntil(func() bool { return len(leader.machine.applied()) == 1 })
	})

	// A planned stop of the leader must transfer the leadership first, so that changes need not
	// wait for an election timeout.
	It("hands over when the leader closes", func() {
		c := newCluster(3)
		leader := c.bootstrap()
		term := leader.replica.Status().Term
		whileAdvancing(c, func() bool { leader.replica.Close(context.Background()); return true })
		next := c.others(leader)
		c.waitUntil(func() bool { return next[0].replica.Leader() != leader.identity && next[0].replica.Leader() != "" })
		Expect(next[0].replica.Status().Term).To(Equal(term + 1))
	})

	It("replaces a voter whose disk was lost", func() {
		c := newCluster(3)
		leader := c.bootstrap()
		lost := c.others(leader)[0]
		former := lost.identity
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		lost.replica.Close(canceled)
		c.mutex.Lock()
		lost.store, lost.identity = &memoryStore{}, jury.Identity(former.Instance()+"/99")
		c.mutex.Unlock()
		c.start(lost)
		add := func() error { return leader.replica.AddVoter(context.Background(), lost.identity) }
		Expect(whileAdvancing(c, add)).To(MatchError(ContainSubstring("is still a voter")))
		remove := func() error { return leader.replica.RemoveVoter(context.Background(), former) }
		Expect(whileAdvancing(c, remove)).To(MatchError(ContainSubstring("could not lose another one")), "the former voter is not yet known to have lost its disk")
		c.waitUntil(func() bool { return whileAdvancing(c, remove) == nil })
		c.waitUntil(func() bool { return whileAdvancing(c, add) == nil })
		c.waitUntil(func() bool { return lost.replica.Status().Voter })
	})

	It("refuses a second bootstrap under another name, and takes the same again", func() {
		c := newCluster(3)
		c.bootstrap()
		n := c.nodes[1]
		Expect(n.replica.Bootstrap(context.Background(), "cluster-1", c.identities(), nil)).To(Succeed())
		Expect(n.replica.Bootstrap(context.Background(), "other", c.identities(), nil)).To(MatchError(jury.ErrNotBlank))
	})
})
