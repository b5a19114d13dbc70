package docket_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/docket"
)

var (
	start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	here  = docket.Claimant{Instance: "entry-1", Incarnation: 1, Request: 1}
	there = docket.Claimant{Instance: "entry-2", Incarnation: 1, Request: 1}
	seat  = docket.KeyOf("booking", "seat 4, 08:15")
	body  = docket.FingerprintOf([]byte("POST"), []byte("/confirm"), []byte("seat 4"))
)

// fixture drives a docket with a clock.
type fixture struct {
	*docket.Docket
	now    time.Time
	limits docket.Limits
}

func newFixture() *fixture {
	f := &fixture{Docket: docket.New(), now: start, limits: docket.DefaultLimits()}
	f.pass(0)
	return f
}

// pass lets time pass in steps that the docket counts in full.
func (f *fixture) pass(d time.Duration) docket.Answer {
	var total docket.Answer
	for {
		step := min(d, f.limits.MaxStep)
		f.now = f.now.Add(step)
		d -= step
		answer := f.Apply(docket.Expire{Now: f.now, Limits: f.limits})
		total.Expired += answer.Expired
		total.Overdue += answer.Overdue
		if d == 0 {
			return total
		}
	}
}

func (f *fixture) claim(by docket.Claimant) docket.Answer {
	return f.Apply(docket.Claim{Key: seat, Fingerprint: body, Claimant: by, Timeout: time.Minute})
}

func (f *fixture) record(by docket.Claimant, attempt uint32, state docket.State, response *docket.Response) docket.Answer {
	return f.Apply(docket.Record{Key: seat, Fingerprint: body, Claimant: by, Attempt: attempt, State: state, Response: response})
}

func verdict(v docket.Verdict) OmegaMatcher {
	return HaveField("Verdict", v)
}

var _ = Describe("Docket", func() {
	var f *fixture
	confirmed := &docket.Response{Status: 201, Headers: []docket.Header{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte("seat 4 is yours")}

	BeforeEach(func() { f = newFixture() })

	// A rider's phone sends a confirmation, loses the answer and sends it again
	// through another instance while the first one is under way. One run, and
	// both get the same answer.
	It("grants a key once and gives later callers the recorded answer", func() {
		Expect(f.Lookup(seat)).To(verdict(docket.VerdictNone))
		granted := f.claim(here)
		Expect(granted).To(verdict(docket.VerdictGranted))
		again := f.claim(there)
		Expect(again).To(verdict(docket.VerdictInProgress))
		Expect(again.Owner).To(Equal(here))
		Expect(again.Wait).To(Equal(time.Minute + f.limits.Grace))
		Expect(f.record(here, granted.Attempt, docket.StateCompleted, confirmed)).To(verdict(docket.VerdictRecorded))
		Expect(f.claim(there)).To(And(verdict(docket.VerdictCompleted), HaveField("Response", confirmed)))
		Expect(f.Lookup(seat)).To(And(verdict(docket.VerdictCompleted), HaveField("Response", confirmed)))
		Expect(f.Counters().Granted).To(Equal(uint64(1)))
	})

	// The owner is paused or partitioned with the request half sent, and its
	// lease runs out. Whoever took the claim over would run the request a second
	// time as soon as the first one's bytes arrive.
	It("never grants a claim to another claimant after its timeout", func() {
		f.claim(here)
		f.pass(time.Hour)
		for range 3 {
			Expect(f.claim(there)).To(verdict(docket.VerdictUnknown))
			f.pass(time.Hour)
		}
		f.pass(f.limits.Retention - 5*time.Hour)
		Expect(f.claim(there)).To(verdict(docket.VerdictUnknown))
	})

	It("grants a key again once its owner has recorded that it was not run", func() {
		first := f.claim(here)
		Expect(f.record(there, first.Attempt, docket.StateNotRun, nil)).To(verdict(docket.VerdictStale))
		Expect(f.claim(there)).To(verdict(docket.VerdictInProgress))
		Expect(f.record(here, first.Attempt, docket.StateNotRun, nil)).To(verdict(docket.VerdictRecorded))
		Expect(f.claim(there)).To(And(verdict(docket.VerdictGranted), HaveField("Attempt", uint32(2))))
		Expect(f.record(here, first.Attempt, docket.StateNotRun, nil)).To(verdict(docket.VerdictStale))
		Expect(f.claim(here)).To(verdict(docket.VerdictInProgress))
	})

	It("takes a record of the current attempt only", func() {
		f.claim(here)
		Expect(f.record(here, 2, docket.StateCompleted, confirmed)).To(verdict(docket.VerdictStale))
		Expect(f.record(here, 0, docket.StateCompleted, confirmed)).To(verdict(docket.VerdictStale))
		Expect(f.record(here, 1, docket.StateCompleted, confirmed)).To(verdict(docket.VerdictRecorded))
	})

	It("refuses a key that is used for another request", func() {
		f.claim(here)
		other := docket.Claim{Key: seat, Fingerprint: docket.FingerprintOf([]byte("seat 5")), Claimant: there}
		Expect(f.Apply(other)).To(verdict(docket.VerdictMismatch))
		f.record(here, 1, docket.StateCompleted, confirmed)
		Expect(f.Apply(other)).To(verdict(docket.VerdictMismatch))
	})

	It("takes commands that arrive twice for one", func() {
		Expect(f.claim(here)).To(Equal(f.claim(here)))
		Expect(f.record(here, 1, docket.StateCompleted, confirmed)).To(Equal(f.record(here, 1, docket.StateCompleted, nil)))
		Expect(f.Lookup(seat).Response).To(Equal(confirmed))
		Expect(f.claim(here)).To(verdict(docket.VerdictStale))
	})

	// The instance's proposal of a claim gets no answer in time, so it tells the
	// caller not-run. The claim is committed after all, before or after the
	// withdrawal. Either way nobody sends it, and a resend must not be held up.
	DescribeTable("frees the key of a claim that was withdrawn unanswered", func(claimFirst bool) {
		if claimFirst {
			f.claim(here)
		}
		Expect(f.record(here, 0, docket.StateNotRun, nil)).To(verdict(docket.VerdictRecorded))
		Expect(f.claim(here)).To(verdict(docket.VerdictStale))
		Expect(f.claim(there)).To(verdict(docket.VerdictGranted))
		Expect(f.record(here, 0, docket.StateNotRun, nil)).To(verdict(docket.VerdictStale))
	},
		Entry("claim first", true),
		Entry("withdrawal first", false),
	)

	It("keeps what is final", func() {
		f.claim(here)
		Expect(f.record(here, 1, docket.StateUnknown, nil)).To(verdict(docket.VerdictRecorded))
		Expect(f.record(here, 1, docket.StateNotRun, nil)).To(verdict(docket.VerdictStale))
		Expect(f.claim(there)).To(verdict(docket.VerdictUnknown))
		Expect(f.record(here, 1, docket.StateCompleted, confirmed)).To(verdict(docket.VerdictRecorded))
		Expect(f.record(here, 1, docket.StateUnknown, nil)).To(verdict(docket.VerdictStale))
		Expect(f.claim(there)).To(verdict(docket.VerdictCompleted))
		Expect(f.record(here, 1, docket.StateInFlight, nil)).To(verdict(docket.VerdictStale))
	})

	// An instance crashes with a request in flight and starts again. Callers who
	// resend need not wait for the timeout to hear that nobody knows.
	It("gives up what an instance's earlier incarnations had in flight", func() {
		f.claim(here)
		f.Apply(docket.Claim{Key: docket.KeyOf("booking", "other"), Claimant: there, Timeout: time.Minute})
		Expect(f.Apply(docket.Abandon{Instance: "entry-1", Incarnation: 1})).To(HaveField("Overdue", 0))
		Expect(f.Apply(docket.Abandon{Instance: "entry-1", Incarnation: 2})).To(HaveField("Overdue", 1))
		Expect(f.claim(there)).To(verdict(docket.VerdictUnknown))
		Expect(f.Lookup(docket.KeyOf("booking", "other"))).To(verdict(docket.VerdictInProgress))
	})
})

var _ = Describe("the bounds of the docket", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.limits.MaxRecords = 3
		f.limits.MaxResponseBytes = 2000
		f.limits.MaxBodyBytes = 1000
		f.pass(0)
	})

	numbered := func(n uint64) (docket.Key, docket.Claimant) {
		return docket.KeyOf("booking", string(rune('a'+n))), docket.Claimant{Instance: "entry-1", Request: n}
	}
	run := func(n uint64, size int) docket.Answer {
		key, by := numbered(n)
		answer := f.Apply(docket.Claim{Key: key, Claimant: by})
		if answer.Verdict == docket.VerdictGranted {
			f.Apply(docket.Record{Key: key, Claimant: by, Attempt: 1, State: docket.StateCompleted, Response: &docket.Response{Body: make([]byte, size)}})
		}
		return answer
	}

	// A burst fills the docket. Dropping the oldest record would let its request
	// run twice, so the newest is refused, and its caller told not-run and when
	// there is room.
	It("refuse a new key when full, and drop no record before its time", func() {
		for n := range uint64(3) {
			Expect(run(n, 10)).To(verdict(docket.VerdictGranted))
			f.pass(time.Hour)
		}
		Expect(run(3, 10)).To(And(verdict(docket.VerdictFull), HaveField("Wait", f.limits.Retention-3*time.Hour)))
		Expect(run(0, 10)).To(verdict(docket.VerdictStale))
		Expect(f.Counters().Refused).To(Equal(uint64(1)))
		Expect(f.pass(f.limits.Retention - 3*time.Hour)).To(HaveField("Expired", 1))
		Expect(run(3, 10)).To(verdict(docket.VerdictGranted))
		Expect(f.Len()).To(Equal(3))
	})

	It("drop the oldest answers for want of room, but not that the request ran", func() {
		for n := range uint64(3) {
			run(n, 900)
		}
		oldest, _ := numbered(0)
		newest, _ := numbered(2)
		Expect(f.Lookup(oldest)).To(Equal(docket.Answer{Verdict: docket.VerdictCompleted, Attempt: 1, Owner: docket.Claimant{Instance: "entry-1"}}))
		Expect(f.Lookup(newest).Response.Body).To(HaveLen(900))
		Expect(f.ResponseBytes()).To(BeNumerically("<=", f.limits.MaxResponseBytes))
		Expect(f.Counters().ResponsesDropped).To(Equal(uint64(1)))
	})

	It("keep no answer that is too large", func() {
		run(0, 1001)
		key, _ := numbered(0)
		Expect(f.Lookup(key)).To(And(verdict(docket.VerdictCompleted), HaveField("Response", BeNil())))
	})

	It("make a key new when its retention has run out, and count that", func() {
		run(0, 10)
		key, by := numbered(1)
		f.Apply(docket.Claim{Key: key, Claimant: by, Timeout: time.Minute})
		f.pass(f.limits.Retention - time.Second)
		Expect(f.Counters().Expired).To(BeZero())
		Expect(f.pass(time.Second)).To(And(HaveField("Expired", 1), HaveField("Overdue", 1)))
		Expect(f.Lookup(key)).To(verdict(docket.VerdictUnknown))
		Expect(f.Counters()).To(Equal(docket.Counters{Granted: 2, Expired: 1, Overdue: 1}))
		Expect(f.ResponseBytes()).To(BeZero())
		f.pass(f.limits.Retention)
		Expect(f.Len()).To(BeZero())
	})

	It("count the retention of each record from its own last change", func() {
		late, by := numbered(0)
		f.Apply(docket.Claim{Key: late, Claimant: by, Timeout: time.Minute})
		run(1, 10)
		f.pass(time.Hour)
		f.Apply(docket.Record{Key: late, Claimant: by, Attempt: 1, State: docket.StateCompleted})
		Expect(f.pass(f.limits.Retention - time.Hour)).To(HaveField("Expired", 1))
		Expect(f.Lookup(late)).To(verdict(docket.VerdictCompleted))
		Expect(f.pass(time.Hour)).To(HaveField("Expired", 1))
	})

	// A leader proposes limits that its settings left empty. Without a retention
	// the docket would drop all records, and every resend would run again.
	It("stay as they are when a command brings none", func() {
		run(0, 10)
		Expect(f.Apply(docket.Expire{Now: f.now.Add(time.Second)})).To(HaveField("Expired", 0))
		Expect(f.Limits()).To(Equal(f.limits))
		Expect(f.Len()).To(Equal(1))
	})

	// A new leader's clock is a week ahead. If records expired by it, every key
	// of the week would be new at once, and each resend a second run.
	It("expire nothing early when a leader's clock is wrong", func() {
		run(0, 10)
		for _, wrong := range []time.Duration{7 * 24 * time.Hour, -7 * 24 * time.Hour, 0, 7 * 24 * time.Hour} {
			Expect(f.Apply(docket.Expire{Now: f.now.Add(wrong), Limits: f.limits})).To(HaveField("Expired", 0))
		}
		Expect(f.Len()).To(Equal(1))
	})
})
