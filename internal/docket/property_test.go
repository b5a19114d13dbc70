package docket_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/docket"
)

// simulation delivers commands to a store late, more than once and out of order.
// Some answers to claims are lost.
type simulation struct {
	random  *rand.Rand
	store   *docket.Store
	now     time.Time
	limits  docket.Limits
	pending []docket.Command
	// requests are indexed by Claimant.Request.
	requests []*request
	// sends is the number of claimants that sent the request of a key.
	sends map[docket.Key]int
}

// request is one request at an instance.
type request struct {
	claim docket.Claim
	// finished is set when the request was sent or given up.
	finished bool
}

func (s *simulation) step() {
	switch s.random.IntN(6) {
	case 0, 1:
		s.startRequest()
	case 2:
		s.now = s.now.Add(time.Duration(s.random.IntN(40)) * time.Second)
		s.store.Apply(docket.Expire{Now: s.now, Limits: s.limits})
	case 3:
		s.abandonRequest()
	default:
		s.deliverCommand()
	}
}

// startRequest adds a request at an instance, which proposes a claim once or
// twice.
func (s *simulation) startRequest() {
	claimant := docket.Claimant{Instance: fmt.Sprintf("entry-%d", s.random.IntN(3)), Request: uint64(len(s.requests))}
	claim := docket.Claim{
		Key:      docket.KeyOf("booking", fmt.Sprint(s.random.IntN(4))),
		Claimant: claimant,
		Timeout:  time.Duration(s.random.IntN(60)) * time.Second,
	}
	s.requests = append(s.requests, &request{claim: claim})
	s.pending = append(s.pending, claim)
	if s.random.IntN(3) == 0 {
		s.pending = append(s.pending, claim)
	}
}

// abandonRequest gives up the oldest unfinished request and proposes its
// withdrawal.
func (s *simulation) abandonRequest() {
	for _, r := range s.requests {
		if !r.finished {
			r.finished = true
			s.pending = append(s.pending, docket.Record{Key: r.claim.Key, Claimant: r.claim.Claimant, State: docket.StateNotRun})
			return
		}
	}
}

// deliverCommand applies a random pending command. If it grants a claim and the
// answer isn't lost, the request is sent, and its outcome is proposed up to twice.
func (s *simulation) deliverCommand() {
	if len(s.pending) == 0 {
		return
	}
	index := s.random.IntN(len(s.pending))
	command := s.pending[index]
	s.pending = append(s.pending[:index], s.pending[index+1:]...)
	answer := s.store.Apply(command)
	claim, ok := command.(docket.Claim)
	if !ok || answer.Verdict != docket.VerdictGranted || s.random.IntN(4) == 0 {
		return
	}
	r := s.requests[claim.Claimant.Request]
	if r.finished {
		return
	}
	r.finished = true
	s.sends[claim.Key]++
	record := docket.Record{Key: claim.Key, Claimant: claim.Claimant, Attempt: answer.Attempt, State: docket.StateCompleted}
	if s.random.IntN(3) == 0 {
		record.State = docket.StateUnknown
	}
	for range s.random.IntN(3) {
		s.pending = append(s.pending, record)
	}
}

var _ = Describe("any order of commands", func() {
	// Callers resend requests with four keys through three instances. Claims and
	// records arrive late, twice, out of order or not at all. Claimants give up, or
	// send the request and never record its outcome. The clock passes the timeouts.
	// If two claimants sent the request of a key, a customer could be charged
	// twice.
	It("lets at most one claimant send a request", func() {
		for seed := range uint64(300) {
			s := &simulation{
				random: rand.New(rand.NewPCG(seed, 3)),
				store:  docket.New(),
				now:    startTime,
				limits: docket.DefaultLimits(),
				sends:  map[docket.Key]int{},
			}
			for range 200 {
				s.step()
				for key, sends := range s.sends {
					Expect(sends).To(BeNumerically("<=", 1), "seed %d, key %x", seed, key[:4])
				}
			}
		}
	})

	It("gives the same docket with and without a snapshot in between", func() {
		for seed := range uint64(100) {
			reference, restored := docket.New(), docket.New()
			random := rand.New(rand.NewPCG(seed, 4))
			now := startTime
			for range 150 {
				command := randomCommand(random, &now)
				Expect(restored.Apply(command)).To(Equal(reference.Apply(command)), "seed %d", seed)
				if random.IntN(10) == 0 {
					var err error
					restored, err = docket.Restore(restored.Snapshot(nil))
					Expect(err).NotTo(HaveOccurred())
				}
				Expect(restored.Snapshot(nil)).To(Equal(reference.Snapshot(nil)), "seed %d", seed)
				Expect(restored.ResponseBytes()).To(Equal(reference.ResponseBytes()))
			}
		}
	})

	It("rejects a snapshot without records that has an invalid clock or limits", func() {
		for _, corrupt := range []func(*docket.Store){docket.SetMaxClock, docket.ClearLimits} {
			f := newFixture()
			corrupt(f.Store)
			_, err := docket.Restore(f.Snapshot(nil))
			Expect(err).To(MatchError(ContainSubstring("impossible times")))
		}
	})

	// With a clock about to overflow, the expiry of every record would be before
	// its last change, so Expire would never return. A duplicate key would lose a
	// record.
	It("rejects a snapshot with an impossible state", func() {
		for _, corrupt := range []func(*docket.Store){docket.SetMaxClock, docket.SetFutureChange, docket.DuplicateLastRecord} {
			f := newFixture()
			f.claim(claimant1)
			_, err := docket.Restore(f.Snapshot(nil))
			Expect(err).NotTo(HaveOccurred())
			corrupt(f.Store)
			_, err = docket.Restore(f.Snapshot(nil))
			Expect(err).To(HaveOccurred())
		}
	})

	It("rejects a snapshot that is truncated or has a newer format", func() {
		f := newFixture()
		f.claim(claimant1)
		f.record(claimant1, 1, docket.StateCompleted, &docket.Response{Status: 200, Headers: []docket.Header{{Name: "A", Value: "b"}}, Body: []byte("c")})
		snapshot := f.Snapshot(nil)
		for length := range snapshot {
			_, err := docket.Restore(snapshot[:length])
			Expect(err).To(HaveOccurred())
		}
		snapshot[0]++
		_, err := docket.Restore(snapshot)
		Expect(err).To(MatchError("docket: snapshot format 2, of which this program knows 1"))
	})
})

// randomCommand returns a random command. Its limits are low enough to be
// reached.
func randomCommand(random *rand.Rand, now *time.Time) docket.Command {
	key := docket.KeyOf("booking", fmt.Sprint(random.IntN(8)))
	claimant := docket.Claimant{Instance: fmt.Sprintf("entry-%d", random.IntN(2)), Incarnation: 1}
	switch random.IntN(8) {
	case 0:
		*now = now.Add(time.Duration(random.IntN(20)-3) * time.Second)
		limits := docket.DefaultLimits()
		limits.MaxRecords = 5
		limits.Retention = time.Minute
		limits.MaxResponseBytes = 400
		return docket.Expire{Now: *now, Limits: limits}
	case 1:
		return docket.Abandon{Instance: claimant.Instance, Incarnation: uint64(random.IntN(3))}
	case 2, 3, 4:
		state := docket.State(2 + random.IntN(3))
		record := docket.Record{Key: key, Claimant: claimant, Attempt: uint32(random.IntN(2)), State: state}
		if random.IntN(2) == 0 {
			record.Response = &docket.Response{Status: 200, Body: make([]byte, random.IntN(200))}
		}
		return record
	default:
		return docket.Claim{Key: key, Claimant: claimant, Timeout: time.Duration(random.IntN(60)) * time.Second}
	}
}
