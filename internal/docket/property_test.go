package docket_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/docket"
)

// network hands commands to a docket late, doubled and out of order, and the
// answers back late or never.
type network struct {
	random  *rand.Rand
	docket  *docket.Docket
	now     time.Time
	limits  docket.Limits
	waiting []docket.Command
	// holders are in the order in which their requests came.
	holders []*holder
	// runs counts, for each key, the claimants that sent its request.
	runs map[docket.Key]int
}

// holder is one request at an instance.
type holder struct {
	claim docket.Claim
	// done says that the holder has sent the request or given it up.
	done bool
}

func (n *network) step() {
	switch n.random.IntN(6) {
	case 0, 1:
		n.arrive()
	case 2:
		n.now = n.now.Add(time.Duration(n.random.IntN(40)) * time.Second)
		n.docket.Apply(docket.Expire{Now: n.now, Limits: n.limits})
	case 3:
		n.giveUp()
	default:
		n.deliver()
	}
}

// arrive brings a request to an instance, which proposes to claim its key.
func (n *network) arrive() {
	by := docket.Claimant{Instance: fmt.Sprintf("entry-%d", n.random.IntN(3)), Request: uint64(len(n.holders))}
	claim := docket.Claim{
		Key:      docket.KeyOf("booking", fmt.Sprint(n.random.IntN(4))),
		Claimant: by,
		Timeout:  time.Duration(n.random.IntN(60)) * time.Second,
	}
	n.holders = append(n.holders, &holder{claim: claim})
	n.waiting = append(n.waiting, claim)
	if n.random.IntN(3) == 0 {
		n.waiting = append(n.waiting, claim)
	}
}

// giveUp makes a holder that has sent nothing tell its caller not-run.
func (n *network) giveUp() {
	for _, h := range n.holders {
		if !h.done {
			h.done = true
			n.waiting = append(n.waiting, docket.Record{Key: h.claim.Key, Claimant: h.claim.Claimant, State: docket.StateNotRun})
			return
		}
	}
}

// deliver commits a command and perhaps brings back the answer.
func (n *network) deliver() {
	if len(n.waiting) == 0 {
		return
	}
	at := n.random.IntN(len(n.waiting))
	command := n.waiting[at]
	n.waiting = append(n.waiting[:at], n.waiting[at+1:]...)
	answer := n.docket.Apply(command)
	claim, ok := command.(docket.Claim)
	if !ok || answer.Verdict != docket.VerdictGranted || n.random.IntN(4) == 0 {
		return
	}
	h := n.holders[claim.Claimant.Request]
	if h.done {
		return
	}
	h.done = true
	n.runs[claim.Key]++
	record := docket.Record{Key: claim.Key, Claimant: claim.Claimant, Attempt: answer.Attempt, State: docket.StateCompleted}
	if n.random.IntN(3) == 0 {
		record.State = docket.StateUnknown
	}
	for range n.random.IntN(3) {
		n.waiting = append(n.waiting, record)
	}
}

var _ = Describe("any order of commands", func() {
	// Callers resend four keys through three instances; claims and records come
	// late, twice, out of order or not at all; claimants give up, or send and
	// never say so; the clock runs past the timeouts. A key that two claimants
	// send is a rider charged twice.
	It("lets at most one claimant send a request", func() {
		for seed := range uint64(300) {
			n := &network{
				random: rand.New(rand.NewPCG(seed, 3)),
				docket: docket.New(),
				now:    start,
				limits: docket.DefaultLimits(),
				runs:   map[docket.Key]int{},
			}
			for range 200 {
				n.step()
				for key, runs := range n.runs {
					Expect(runs).To(BeNumerically("<=", 1), "seed %d, key %x", seed, key[:4])
				}
			}
		}
	})

	It("gives the same docket with and without a snapshot in between", func() {
		for seed := range uint64(100) {
			whole, restored := docket.New(), docket.New()
			random := rand.New(rand.NewPCG(seed, 4))
			now := start
			for range 150 {
				command := drawCommand(random, &now)
				Expect(restored.Apply(command)).To(Equal(whole.Apply(command)), "seed %d", seed)
				if random.IntN(10) == 0 {
					var err error
					restored, err = docket.Restore(restored.Snapshot(nil))
					Expect(err).NotTo(HaveOccurred())
				}
				Expect(restored.Snapshot(nil)).To(Equal(whole.Snapshot(nil)), "seed %d", seed)
				Expect(restored.ResponseBytes()).To(Equal(whole.ResponseBytes()))
			}
		}
	})

	It("restores no empty snapshot with an impossible clock or limits", func() {
		for _, spoil := range []func(*docket.Docket){docket.ClockAtEnd, docket.NoLimits} {
			f := newFixture()
			spoil(f.Docket)
			_, err := docket.Restore(f.Snapshot(nil))
			Expect(err).To(MatchError(ContainSubstring("impossible times")))
		}
	})

	// A clock about to overflow would make no record's expiry later than its last
	// change, so that Expire never ended; a key twice would lose a record.
	It("restores no snapshot that no docket can have", func() {
		for _, spoil := range []func(*docket.Docket){docket.ClockAtEnd, docket.TouchedLater, docket.KeyTwice} {
			f := newFixture()
			f.claim(here)
			_, err := docket.Restore(f.Snapshot(nil))
			Expect(err).NotTo(HaveOccurred())
			spoil(f.Docket)
			_, err = docket.Restore(f.Snapshot(nil))
			Expect(err).To(HaveOccurred())
		}
	})

	It("restores no snapshot that was cut or is of a newer format", func() {
		f := newFixture()
		f.claim(here)
		f.record(here, 1, docket.StateCompleted, &docket.Response{Status: 200, Headers: []docket.Header{{Name: "A", Value: "b"}}, Body: []byte("c")})
		whole := f.Snapshot(nil)
		for cut := range whole {
			_, err := docket.Restore(whole[:cut])
			Expect(err).To(HaveOccurred())
		}
		whole[0]++
		_, err := docket.Restore(whole)
		Expect(err).To(MatchError("docket: snapshot format 2, of which this program knows 1"))
	})
})

// drawCommand draws any command, with limits so low that each is met.
func drawCommand(random *rand.Rand, now *time.Time) docket.Command {
	key := docket.KeyOf("booking", fmt.Sprint(random.IntN(8)))
	by := docket.Claimant{Instance: fmt.Sprintf("entry-%d", random.IntN(2)), Incarnation: 1}
	switch random.IntN(8) {
	case 0:
		*now = now.Add(time.Duration(random.IntN(20)-3) * time.Second)
		limits := docket.DefaultLimits()
		limits.MaxRecords = 5
		limits.Retention = time.Minute
		limits.MaxResponseBytes = 400
		return docket.Expire{Now: *now, Limits: limits}
	case 1:
		return docket.Abandon{Instance: by.Instance, Incarnation: uint64(random.IntN(3))}
	case 2, 3, 4:
		state := docket.State(2 + random.IntN(3))
		record := docket.Record{Key: key, Claimant: by, Attempt: uint32(random.IntN(2)), State: state}
		if random.IntN(2) == 0 {
			record.Response = &docket.Response{Status: 200, Body: make([]byte, random.IntN(200))}
		}
		return record
	default:
		return docket.Claim{Key: key, Claimant: by, Timeout: time.Duration(random.IntN(60)) * time.Second}
	}
}
