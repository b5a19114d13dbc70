package docket_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/docket"
)

var (
	startTime          = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	claimant1          = docket.Claimant{Instance: "entry-1", Incarnation: 1, Request: 1}
	claimant2          = docket.Claimant{Instance: "entry-2", Incarnation: 1, Request: 1}
	bookingKey         = docket.KeyOf("booking", "seat 4, 08:15")
	bookingFingerprint = docket.FingerprintOf([]byte("POST"), []byte("/confirm"), []byte("seat 4"))
)

// fixture is a store with a simulated leader clock.
type fixture struct {
	*docket.Store
	now    time.Time
	limits docket.Limits
}

func newFixture() *fixture {
	f := &fixture{Store: docket.New(), now: startTime, limits: docket.DefaultLimits()}
	f.advance(0)
	return f
}

// advance advances the time by d, in steps of MaxStep at most so that the store
// counts all of it. It returns the total counts of the Expire commands.
func (f *fixture) advance(d time.Duration) docket.Answer {
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

func (f *fixture) claim(claimant docket.Claimant) docket.Answer {
	return f.Apply(docket.Claim{Key: bookingKey, Fingerprint: bookingFingerprint, Claimant: claimant, Timeout: time.Minute})
}

func (f *fixture) record(claimant docket.Claimant, attempt uint32, state docket.State, response *docket.Response) docket.Answer {
	return f.Apply(docket.Record{Key: bookingKey, Fingerprint: bookingFingerprint, Claimant: claimant, Attempt: attempt, State: state, Response: response})
}

func haveVerdict(v docket.Verdict) OmegaMatcher {
	return HaveField("Verdict", v)
}

var _ = Describe("Docket", func() {
	var f *fixture
	response := &docket.Response{Status: 201, Headers: []docket.Header{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte("seat 4 is yours")}

	BeforeEach(func() { f = newFixture() })

	// A client sends a request, loses the connection and resends the request
	// through another instance while the first one is in progress. The request
	// must run once, and both callers must get the same response.
	It("grants a key once and returns the recorded response to later callers", func() {
		Expect(f.Lookup(bookingKey)).To(haveVerdict(docket.VerdictNotFound))
		granted := f.claim(claimant1)
		Expect(granted).To(haveVerdict(docket.VerdictGranted))
		duplicate := f.claim(claimant2)
		Expect(duplicate).To(haveVerdict(docket.VerdictInProgress))
		Expect(duplicate.Owner).To(Equal(claimant1))
		Expect(duplicate.Wait).To(Equal(time.Minute + f.limits.TimeoutGrace))
		Expect(f.record(claimant1, granted.Attempt, docket.StateCompleted, response)).To(haveVerdict(docket.VerdictRecorded))
		Expect(f.claim(claimant2)).To(And(haveVerdict(docket.VerdictCompleted), HaveField("Response", response)))
		Expect(f.Lookup(bookingKey)).To(And(haveVerdict(docket.VerdictCompleted), HaveField("Response", response)))
		Expect(f.Counters().Granted).To(Equal(uint64(1)))
	})

	// The owner is paused or partitioned with the request partly sent, and its
	// claim times out. If another claimant took over, the request would run twice
	// as soon as the remaining bytes of the first one arrive.
	It("never grants a claim to another claimant after its timeout", func() {
		f.claim(claimant1)
		f.advance(time.Hour)
		for range 3 {
			Expect(f.claim(claimant2)).To(haveVerdict(docket.VerdictUnknown))
			f.advance(time.Hour)
		}
		f.advance(f.limits.Retention - 5*time.Hour)
		Expect(f.claim(claimant2)).To(haveVerdict(docket.VerdictUnknown))
	})

	It("grants a key again after its owner has recorded that the request was not run", func() {
		first := f.claim(claimant1)
		Expect(f.record(claimant2, first.Attempt, docket.StateNotRun, nil)).To(haveVerdict(docket.VerdictStale))
		Expect(f.claim(claimant2)).To(haveVerdict(docket.VerdictInProgress))
		Expect(f.record(claimant1, first.Attempt, docket.StateNotRun, nil)).To(haveVerdict(docket.VerdictRecorded))
		Expect(f.claim(claimant2)).To(And(haveVerdict(docket.VerdictGranted), HaveField("Attempt", uint32(2))))
		Expect(f.record(claimant1, first.Attempt, docket.StateNotRun, nil)).To(haveVerdict(docket.VerdictStale))
		Expect(f.claim(claimant1)).To(haveVerdict(docket.VerdictInProgress))
	})

	It("takes a record of the current attempt only", func() {
		f.claim(claimant1)
		Expect(f.record(claimant1, 2, docket.StateCompleted, response)).To(haveVerdict(docket.VerdictStale))
		Expect(f.record(claimant1, 0, docket.StateCompleted, response)).To(haveVerdict(docket.VerdictStale))
		Expect(f.record(claimant1, 1, docket.StateCompleted, response)).To(haveVerdict(docket.VerdictRecorded))
	})

	It("refuses a key that is used for another request", func() {
		f.claim(claimant1)
		mismatching := docket.Claim{Key: bookingKey, Fingerprint: docket.FingerprintOf([]byte("seat 5")), Claimant: claimant2}
		Expect(f.Apply(mismatching)).To(haveVerdict(docket.VerdictMismatch))
		f.record(claimant1, 1, docket.StateCompleted, response)
		Expect(f.Apply(mismatching)).To(haveVerdict(docket.VerdictMismatch))
	})

	It("takes commands that arrive twice for one", func() {
		Expect(f.claim(claimant1)).To(Equal(f.claim(claimant1)))
		Expect(f.record(claimant1, 1, docket.StateCompleted, response)).To(Equal(f.record(claimant1, 1, docket.StateCompleted, nil)))
		Expect(f.Lookup(bookingKey).Response).To(Equal(response))
		Expect(f.claim(claimant1)).To(haveVerdict(docket.VerdictStale))
	})

	// An instance gets no answer to its claim in time and reports to the caller
	// that the request was not run. The claim is committed later, before or after
	// its withdrawal. In both cases nobody sends the request, so the claim must not
	// block a resend.
	DescribeTable("frees the key of a claim that was withdrawn unanswered", func(claimFirst bool) {
		if claimFirst {
			f.claim(claimant1)
		}
		Expect(f.record(claimant1, 0, docket.StateNotRun, nil)).To(haveVerdict(docket.VerdictRecorded))
		Expect(f.claim(claimant1)).To(haveVerdict(docket.VerdictStale))
		Expect(f.claim(claimant2)).To(haveVerdict(docket.VerdictGranted))
		Expect(f.record(claimant1, 0, docket.StateNotRun, nil)).To(haveVerdict(docket.VerdictStale))
	},
		Entry("claim first", true),
		Entry("withdrawal first", false),
	)

	It("accepts only StateCompleted after StateUnknown, and nothing after StateCompleted", func() {
		f.claim(claimant1)
		Expect(f.record(claimant1, 1, docket.StateUnknown, nil)).To(haveVerdict(docket.VerdictRecorded))
		Expect(f.record(claimant1, 1, docket.StateNotRun, nil)).To(haveVerdict(docket.VerdictStale))
		Expect(f.claim(claimant2)).To(haveVerdict(docket.VerdictUnknown))
		Expect(f.record(claimant1, 1, docket.StateCompleted, response)).To(haveVerdict(docket.VerdictRecorded))
		Expect(f.record(claimant1, 1, docket.StateUnknown, nil)).To(haveVerdict(docket.VerdictStale))
		Expect(f.claim(claimant2)).To(haveVerdict(docket.VerdictCompleted))
		Expect(f.record(claimant1, 1, docket.StateInFlight, nil)).To(haveVerdict(docket.VerdictStale))
	})

	// An instance crashes with a request in flight and restarts. Callers that
	// resend the request must not wait for the timeout to get VerdictUnknown.
	It("gives up what an instance's earlier incarnations had in flight", func() {
		f.claim(claimant1)
		f.Apply(docket.Claim{Key: docket.KeyOf("booking", "other"), Claimant: claimant2, Timeout: time.Minute})
		Expect(f.Apply(docket.Abandon{Instance: "entry-1", Incarnation: 1})).To(HaveField("Overdue", 0))
		Expect(f.Apply(docket.Abandon{Instance: "entry-1", Incarnation: 2})).To(HaveField("Overdue", 1))
		Expect(f.claim(claimant2)).To(haveVerdict(docket.VerdictUnknown))
		Expect(f.Lookup(docket.KeyOf("booking", "other"))).To(haveVerdict(docket.VerdictInProgress))
	})
})

var _ = Describe("the bounds of the docket", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.limits.MaxRecords = 3
		f.limits.MaxResponseBytes = 2000
		f.limits.MaxBodyBytes = 1000
		f.advance(0)
	})

	numberedClaim := func(n uint64) (docket.Key, docket.Claimant) {
		return docket.KeyOf("booking", string(rune('a'+n))), docket.Claimant{Instance: "entry-1", Request: n}
	}
	runRequest := func(n uint64, bodyBytes int) docket.Answer {
		key, claimant := numberedClaim(n)
		answer := f.Apply(docket.Claim{Key: key, Claimant: claimant})
		if answer.Verdict == docket.VerdictGranted {
			f.Apply(docket.Record{Key: key, Claimant: claimant, Attempt: 1, State: docket.StateCompleted, Response: &docket.Response{Body: make([]byte, bodyBytes)}})
		}
		return answer
	}

	// A burst of requests fills the store. Removing the oldest record could let
	// its request run twice. So the newest request is refused, and the answer says
	// when the next record expires.
	It("refuse a new key when full, and drop no record before its time", func() {
		for n := range uint64(3) {
			Expect(runRequest(n, 10)).To(haveVerdict(docket.VerdictGranted))
			f.advance(time.Hour)
		}
		Expect(runRequest(3, 10)).To(And(haveVerdict(docket.VerdictFull), HaveField("Wait", f.limits.Retention-3*time.Hour)))
		Expect(runRequest(0, 10)).To(haveVerdict(docket.VerdictStale))
		Expect(f.Counters().RefusedFull).To(Equal(uint64(1)))
		Expect(f.advance(f.limits.Retention - 3*time.Hour)).To(HaveField("Expired", 1))
		Expect(runRequest(3, 10)).To(haveVerdict(docket.VerdictGranted))
		Expect(f.Len()).To(Equal(3))
	})

	It("drop the oldest answers for want of room, but not that the request ran", func() {
		for n := range uint64(3) {
			runRequest(n, 900)
		}
		oldest, _ := numberedClaim(0)
		newest, _ := numberedClaim(2)
		Expect(f.Lookup(oldest)).To(Equal(docket.Answer{Verdict: docket.VerdictCompleted, Attempt: 1, Owner: docket.Claimant{Instance: "entry-1"}}))
		Expect(f.Lookup(newest).Response.Body).To(HaveLen(900))
		Expect(f.ResponseBytes()).To(BeNumerically("<=", f.limits.MaxResponseBytes))
		Expect(f.Counters().ResponsesDropped).To(Equal(uint64(1)))
	})

	It("keep no response that is too large", func() {
		runRequest(0, 1001)
		key, _ := numberedClaim(0)
		Expect(f.Lookup(key)).To(And(haveVerdict(docket.VerdictCompleted), HaveField("Response", BeNil())))
	})

	It("expire each record at the end of its retention, and count it", func() {
		runRequest(0, 10)
		key, claimant := numberedClaim(1)
		f.Apply(docket.Claim{Key: key, Claimant: claimant, Timeout: time.Minute})
		f.advance(f.limits.Retention - time.Second)
		Expect(f.Counters().Expired).To(BeZero())
		Expect(f.advance(time.Second)).To(And(HaveField("Expired", 1), HaveField("Overdue", 1)))
		Expect(f.Lookup(key)).To(haveVerdict(docket.VerdictUnknown))
		Expect(f.Counters()).To(Equal(docket.Counters{Granted: 2, Expired: 1, Overdue: 1}))
		Expect(f.ResponseBytes()).To(BeZero())
		f.advance(f.limits.Retention)
		Expect(f.Len()).To(BeZero())
	})

	It("start the retention of a record at its last change", func() {
		completedLater, claimant := numberedClaim(0)
		f.Apply(docket.Claim{Key: completedLater, Claimant: claimant, Timeout: time.Minute})
		runRequest(1, 10)
		f.advance(time.Hour)
		f.Apply(docket.Record{Key: completedLater, Claimant: claimant, Attempt: 1, State: docket.StateCompleted})
		Expect(f.advance(f.limits.Retention - time.Hour)).To(HaveField("Expired", 1))
		Expect(f.Lookup(completedLater)).To(haveVerdict(docket.VerdictCompleted))
		Expect(f.advance(time.Hour)).To(HaveField("Expired", 1))
	})

	// A leader proposes empty limits because its settings contain none. With a
	// retention of 0, the store would remove all records and every resent request
	// would run again.
	It("stay the same when a command has no limits", func() {
		runRequest(0, 10)
		Expect(f.Apply(docket.Expire{Now: f.now.Add(time.Second)})).To(HaveField("Expired", 0))
		Expect(f.Limits()).To(Equal(f.limits))
		Expect(f.Len()).To(Equal(1))
	})

	// The clock of a new leader is a week ahead. If records expired by that clock,
	// all keys of the last week would count as new, and resent requests would run
	// twice.
	It("expire no record early when a leader's clock is wrong", func() {
		runRequest(0, 10)
		for _, clockOffset := range []time.Duration{7 * 24 * time.Hour, -7 * 24 * time.Hour, 0, 7 * 24 * time.Hour} {
			Expect(f.Apply(docket.Expire{Now: f.now.Add(clockOffset), Limits: f.limits})).To(HaveField("Expired", 0))
		}
		Expect(f.Len()).To(Equal(1))
	})
})
