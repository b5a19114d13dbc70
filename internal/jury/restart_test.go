package jury_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// restartAll crashes all nodes and starts them one after the other, gap apart.
func (s *simulation) restartAll(gap time.Duration) {
	for _, n := range s.nodes {
		s.crash(n)
	}
	for _, n := range s.nodes {
		until := s.now + gap
		for s.now < until {
			s.step()
		}
		s.start(n)
	}
}

// timeToLeader steps until a member leads, and returns how long that takes.
func (s *simulation) timeToLeader() time.Duration {
	GinkgoHelper()
	began := s.now
	s.stepUntil("a leader", func() bool { return s.leader() != nil })
	Expect(s.history.err).NotTo(HaveOccurred())
	return s.now - began
}

// crashStorms crashes all members again and again, and starts them at random times.
func crashStorms(seed uint64, mutations jury.Mutation) error {
	profile := allFaults
	profile.crash, profile.restart = 4, 300
	sim := newSimulation(seed, 3+int(seed%3), profile, mutations)
	sim.bootstrapCount = 3
	for range 12 {
		if err := sim.run(250); err != nil {
			return err
		}
		for _, n := range sim.nodes {
			sim.crash(n)
		}
	}
	return sim.endFaultsAndCheckRecovery()
}

var _ = Describe("A restart of all voters", func() {
	// Guards against callers who wait for an election timeout after a loss of power.
	It("is followed by an election as soon as the last one has started", func() {
		for seed := range uint64(20) {
			sim, leader := startCluster(seed, 3, 0)
			sim.propose(leader, "one")
			sim.restartAll(5 * time.Millisecond)
			Expect(sim.timeToLeader()).To(BeNumerically("<", testElectionTimeout/4), fmt.Sprintf("seed %d", seed))
		}
	})

	It("needs no vote of a voter that has lost its disk, once its instance is back", func() {
		for seed := range uint64(20) {
			sim, leader := startCluster(seed, 3, 0)
			sim.propose(leader, "one")
			for range 50 {
				sim.step()
			}
			sim.newDisk(sim.others(leader)[0])
			sim.restartAll(5 * time.Millisecond)
			Expect(sim.timeToLeader()).To(BeNumerically("<", testElectionTimeout/4), fmt.Sprintf("seed %d", seed))
		}
	})

	// Guards against two leaders: the one before still holds its lease.
	It("is not assumed while one of them has not answered", func() {
		for seed := range uint64(20) {
			sim, leader := startCluster(seed, 3, 0)
			sim.isolate(leader, forever)
			for _, other := range sim.others(leader) {
				sim.crash(other)
				sim.start(other)
			}
			restarted := sim.now
			sim.stepUntil("another leader", func() bool {
				found := sim.leader()
				return found != nil && found != leader
			})
			Expect(sim.now-restarted).To(BeNumerically(">=", testElectionTimeout*9/10), fmt.Sprintf("seed %d", seed))
		}
	})

	It("keeps the invariants, whenever further ones crash", func() {
		for seed := range uint64(40) {
			Expect(crashStorms(seed, 0)).To(Succeed(), fmt.Sprintf("seed %d", seed))
		}
	})
})

var _ = Describe("An answer about a restart", func() {
	// Guards against two leaders: the answer to a probe of an earlier process arrives late, and the
	// voter that gave it leads by now.
	It("proves nothing to a later process", func() {
		sim, leader := startCluster(1, 3, 0)
		asker := sim.others(leader)[0]
		var late []jury.Message
		sim.drop = func(message jury.Message) bool {
			body, isAnswer := message.Body.(jury.RestartAnswer)
			held := isAnswer && message.To == asker.identity && body.Round != 0
			if held {
				late = append(late, message)
			}
			return held
		}
		sim.restartAll(5 * time.Millisecond)
		sim.stepUntil("an answer to hold back", func() bool { return len(late) > 0 })
		sim.crash(asker)
		sim.start(asker)
		for _, message := range late {
			sim.handle(asker, jury.Receive{Message: message})
		}
		Expect(asker.member.Status().Role).NotTo(Equal(jury.Leader))
		rounds := map[uint64]bool{}
		for _, message := range late {
			rounds[message.Body.(jury.RestartAnswer).Round] = true
		}
		late = nil
		sim.stepUntil("an answer to the later process", func() bool { return len(late) > 0 || sim.leader() != nil })
		for _, message := range late {
			Expect(rounds).NotTo(HaveKey(message.Body.(jury.RestartAnswer).Round), "rounds of two processes differ")
		}
	})
})
