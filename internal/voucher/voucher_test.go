package voucher_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/voucher"
)

var (
	seat      = docket.KeyOf("booking", "seat 4, 08:15")
	confirm   = docket.FingerprintOf([]byte("POST"), []byte("seat 4"))
	confirmed = &docket.Response{Status: 201, Body: []byte("seat 4 is yours")}
)

var _ = Describe("Office", func() {
	var (
		state *chamber
		watch *clock
		ctx   context.Context
		all   []*voucher.Office
	)

	office := func(instance string, incarnation uint64) *voucher.Office {
		o := voucher.New(voucher.Options{
			Instance:     instance,
			Incarnation:  incarnation,
			Chamber:      state,
			NotAccepted:  func(err error) bool { return errors.Is(err, errNotAccepted) },
			Now:          watch.Now,
			After:        watch.After,
			MaxBodyBytes: 100,
		})
		all = append(all, o)
		return o
	}
	request := voucher.Request{Key: seat, Fingerprint: confirm, Timeout: time.Minute, Wait: time.Second}
	granted := func(d voucher.Decision) *voucher.Voucher {
		GinkgoHelper()
		Expect(d).To(BeAssignableToTypeOf(voucher.Granted{}))
		return d.(voucher.Granted).Voucher
	}
	recorded := func() docket.Answer {
		answer, err := state.Lookup(ctx, seat)
		Expect(err).NotTo(HaveOccurred())
		return answer
	}

	BeforeEach(func() {
		state, watch, ctx, all = newChamber(), newClock(), context.Background(), nil
		DeferCleanup(func() {
			state.set(willing)
			for _, o := range all {
				o.Close(ctx)
			}
		})
	})

	It("lets one request run and gives its answer to those who ask again", func() {
		here, there := office("entry-1", 1), office("entry-2", 1)
		v := granted(here.Claim(ctx, request))
		Expect(v.MaySend(watch.Now())).To(BeTrue())
		for _, o := range []*voucher.Office{there, here} {
			Expect(o.Claim(ctx, request)).To(Equal(voucher.InProgress{RetryAfter: request.Timeout + docket.DefaultLimits().Grace}))
		}
		v.Ran(confirmed)
		v.NotRun()
		here.Close(ctx)
		Expect(there.Claim(ctx, request)).To(Equal(voucher.Recorded{Response: confirmed}))
		other := request
		other.Fingerprint = docket.FingerprintOf([]byte("seat 5"))
		Expect(there.Claim(ctx, other)).To(Equal(voucher.Mismatch{}))
	})

	// A hotel desk's page sends a confirmation through several instances at the
	// same moment and again and again. One of them runs it; all others hear its
	// answer or that it is in progress.
	It("lets one of many at the same moment run it", func() {
		offices := []*voucher.Office{office("entry-1", 1), office("entry-2", 1), office("entry-3", 1)}
		var runs, replays atomic.Int64
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				switch d := offices[i%3].Claim(ctx, request).(type) {
				case voucher.Granted:
					runs.Add(1)
					d.Voucher.Ran(confirmed)
				case voucher.Recorded:
					replays.Add(1)
				}
			})
		}
		group.Wait()
		Expect(runs.Load()).To(Equal(int64(1)))
		for _, o := range offices {
			o.Close(ctx)
		}
		Expect(recorded().Response).To(Equal(confirmed))
	})

	It("waits for the outcome of a request in progress, and claims it if it was not run", func() {
		here, there := office("entry-1", 1), office("entry-2", 1)
		first := granted(here.Claim(ctx, request))
		patient := request
		patient.Wait = time.Hour
		decisions := make(chan voucher.Decision, 1)
		go func() { decisions <- there.Claim(ctx, patient) }()
		first.NotRun()
		second := granted(<-decisions)
		Expect(second.Attempt()).To(Equal(uint32(2)))
		second.Ran(confirmed)
		there.Close(ctx)
		Expect(here.Claim(ctx, request)).To(Equal(voucher.Recorded{Response: confirmed}))
	})

	// There is no quorum. Nothing was claimed, so that the caller hears at once
	// that its request was not run.
	It("refuses a request that can't be claimed", func() {
		here := office("entry-1", 1)
		state.set(refusing)
		refused := here.Claim(ctx, request)
		Expect(refused).To(BeAssignableToTypeOf(voucher.Refused{}))
		Expect(refused.(voucher.Refused).RetryAfter).To(Equal(voucher.DefaultRetryAfter))
		state.set(willing)
		Expect(recorded()).To(HaveField("Verdict", docket.VerdictNone))
	})

	// The claim's answer is lost; the instance says not-run and sends nothing.
	// The claim was or will be committed, and must not hold the key until its
	// timeout: the caller comes back in a second.
	DescribeTable("frees the key of a claim whose answer was lost", func(m mood) {
		here, there := office("entry-1", 1), office("entry-2", 1)
		state.set(m)
		Expect(here.Claim(ctx, request)).To(BeAssignableToTypeOf(voucher.Refused{}))
		state.set(willing)
		here.Close(ctx)
		state.deliver()
		Expect(recorded()).To(HaveField("Verdict", docket.VerdictRecorded))
		granted(there.Claim(ctx, request)).Ran(confirmed)
	},
		Entry("carried out", losing),
		Entry("carried out late", delaying),
	)

	// The instance is paused between its claim and the first byte, for longer
	// than the request may take. By then others were told that it is unknown.
	It("lets nothing be sent after the timeout, counted from before the claim", func() {
		here := office("entry-1", 1)
		v := granted(here.Claim(ctx, request))
		watch.pass(request.Timeout - time.Nanosecond)
		Expect(v.MaySend(watch.Now())).To(BeTrue())
		watch.pass(time.Nanosecond)
		Expect(v.MaySend(watch.Now())).To(BeFalse())
		v.NotRun()

		state.before = func() { watch.pass(2 * request.Timeout) }
		slow := request
		slow.Key = docket.KeyOf("booking", "slow")
		Expect(here.Claim(ctx, slow)).To(BeAssignableToTypeOf(voucher.Refused{}))
		here.Close(ctx)
		Expect(state.Lookup(ctx, slow.Key)).To(HaveField("Verdict", docket.VerdictRecorded))
	})

	// An instance dies with a request in flight and starts again. Whoever asks
	// again hears unknown, at once, and the request is not sent a second time.
	It("gives up what its earlier incarnation had in flight", func() {
		granted(office("entry-1", 1).Claim(ctx, request))
		office("entry-1", 2)
		Eventually(func() docket.Verdict { return recorded().Verdict }).Should(Equal(docket.VerdictUnknown))
		Expect(office("entry-2", 1).Claim(ctx, request)).To(Equal(voucher.Unknown{}))
	})

	It("records outcomes again until they are accepted, also while it closes", func() {
		here := office("entry-1", 1)
		v := granted(here.Claim(ctx, request))
		state.set(refusing)
		v.Ran(confirmed)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			here.Close(ctx)
		}()
		Eventually(state.refusals.Load).Should(BeNumerically(">", 3))
		state.set(willing)
		<-closed
		Expect(recorded().Response).To(Equal(confirmed))
	})

	It("ends to close when the voters can't be reached", func() {
		here := office("entry-1", 1)
		v := granted(here.Claim(ctx, request))
		state.set(refusing)
		v.Unknown()
		ended, cancel := context.WithCancel(ctx)
		cancel()
		here.Close(ended)
		late := v
		late.Ran(confirmed)
		state.set(willing)
		Expect(recorded()).To(HaveField("Verdict", docket.VerdictInProgress))
	})

	It("records no answer that is too large to keep", func() {
		here := office("entry-1", 1)
		granted(here.Claim(ctx, request)).Ran(&docket.Response{Status: 200, Body: make([]byte, 101)})
		here.Close(ctx)
		Expect(office("entry-2", 1).Claim(ctx, request)).To(Equal(voucher.Recorded{}))
	})
})
