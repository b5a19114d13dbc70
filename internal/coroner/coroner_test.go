package coroner_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// specTimeout bounds each spec. All specs take less than a tenth of it.
const specTimeout = 20 * time.Second

// fakeInstance implements the options of a CrashDetector.
type fakeInstance struct {
	mu sync.Mutex
	// status is the status of all upstreams, and dialErr the error of connecting to them.
	status  quarantine.Status
	dialErr error
	// failures is the number of reports that fail before one is recorded.
	failures int
	recorded quarantine.Update
	// reportedAt is the time in the last recorded report.
	reportedAt time.Time
}

func (f *fakeInstance) options() coroner.Options {
	return coroner.Options{
		Status: func(quarantine.Endpoint) quarantine.Status {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.status
		},
		Report: func(_ context.Context, update quarantine.Update) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.failures > 0 {
				f.failures--
				return false
			}
			f.reportedAt = update.Now
			f.recorded = f.recorded.With(update)
			return true
		},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.dialErr != nil {
				return nil, f.dialErr
			}
			conn, _ := net.Pipe()
			return conn, nil
		},
		NewLogEvent: func(string) *zerolog.Event { return nil },
		Now:         time.Now,
	}
}

// reports returns the number of upstreams that are recorded as ended, and the number of
// their requests.
func (f *fakeInstance) reports() (upstreams, suspects int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, report := range f.recorded.Reports {
		suspects += len(report.Suspects)
	}
	return len(f.recorded.Reports), suspects
}

var errRefused = errors.Wrap(syscall.ECONNREFUSED, "dial")

var _ = Describe("CrashDetector", func() {
	endpoint := quarantine.Endpoint{Lifetime: quarantine.Lifetime{Upstream: "e1"}, Address: "e1:80"}
	suspect := func(body string) quarantine.Suspect {
		return quarantine.Suspect{Digest: quarantine.Identity{Body: []byte(body)}.Digest(), Request: body}
	}
	var fake *fakeInstance
	var c *coroner.CrashDetector

	BeforeEach(func() {
		fake = &fakeInstance{}
		c = coroner.New(fake.options())
		DeferCleanup(c.Close)
	})

	recorded := func() int {
		upstreams, _ := fake.reports()
		return upstreams
	}

	// The voters may have no leader for a moment, or their reply may be lost. A crash
	// that is not counted allows the request to crash one more engine.
	It("repeats the report of an upstream that refuses connections until it is recorded", SpecTimeout(specTimeout), func(ctx SpecContext) {
		fake.dialErr, fake.failures = errRefused, 3
		c.Interrupted(endpoint, suspect("a"))
		c.Interrupted(endpoint, suspect("b"))
		Eventually(ctx, recorded).Should(Equal(1))
		_, suspects := fake.reports()
		Expect(suspects).To(Equal(2))
		fake.mu.Lock()
		defer fake.mu.Unlock()
		// A crash without a time would be older than any retention.
		Expect(fake.reportedAt).To(BeTemporally("~", time.Now(), specTimeout))
	})

	It("reports no upstream that accepts connections or has announced its shutdown", SpecTimeout(specTimeout), func(_ SpecContext) {
		c.Interrupted(endpoint, suspect("a"))
		fake.mu.Lock()
		fake.status, fake.dialErr = quarantine.StatusLeaving, errRefused
		fake.mu.Unlock()
		leaving := quarantine.Endpoint{Lifetime: quarantine.Lifetime{Upstream: "e2"}, Address: "e2:80"}
		c.Interrupted(leaving, suspect("a"))
		Consistently(recorded).WithTimeout(400 * time.Millisecond).Should(BeZero())
	})

	It("reports an upstream that later refuses the connection of another request", SpecTimeout(specTimeout), func(ctx SpecContext) {
		c.Interrupted(endpoint, suspect("a"))
		c.ConnectionFailed(endpoint, errors.New("timeout"))
		Consistently(recorded).WithTimeout(300 * time.Millisecond).Should(BeZero())
		c.ConnectionFailed(endpoint, errRefused)
		Eventually(ctx, recorded).Should(Equal(1))
	})

	It("clears a suspected request that succeeds here", SpecTimeout(specTimeout), func(ctx SpecContext) {
		digest := suspect("a").Digest
		c.ApplyNews(quarantine.News{Revision: 1, Mark: 7, Suspected: []quarantine.Digest{digest}})
		c.Succeeded(digest, http.StatusInternalServerError)
		c.Succeeded(digest, http.StatusOK)
		Eventually(ctx, func() []quarantine.Digest {
			fake.mu.Lock()
			defer fake.mu.Unlock()
			return fake.recorded.Succeeded
		}).Should(Equal([]quarantine.Digest{digest}))
		Expect(c.Mark()).To(Equal(uint64(7)))
	})

	It("applies the news of the quarantine", func(ctx SpecContext) {
		digest := suspect("a").Digest
		c.ApplyNews(quarantine.News{Revision: 1, Mark: 7, Quarantined: []quarantine.Entry{{Digest: digest}}})
		ruling, allowed := c.Admit(digest).Reserve(ctx)
		Expect(allowed).To(BeFalse())
		Expect(ruling).To(Equal(quarantine.Ruling{Decision: quarantine.DecisionRefuse, Digests: []quarantine.Digest{digest}}))
		quarantined, suspected := c.Counts()
		Expect([]int{quarantined, suspected}).To(Equal([]int{1, 0}))
	})
})

var _ = Describe("Copies of a request that was at a crash", func() {
	var now time.Time
	var d *coroner.CrashDetector
	digest := quarantine.Identity{Body: []byte("a")}.Digest()

	BeforeEach(func() {
		now = time.Unix(1_000_000, 0).UTC()
		options := (&fakeInstance{}).options()
		options.Now = func() time.Time { return now }
		var trials quarantine.Trials
		options.AllowTrial = func(_ context.Context, trial quarantine.Trial) bool { return trials.Take(now, time.Time{}, trial) }
		options.EndTrial = func(trial quarantine.Trial) { trials.End(now, trial) }
		options.Probation = true
		d = coroner.New(options)
		DeferCleanup(d.Close)
	})
	// sent returns which of the copies may be sent now.
	sent := func(ctx context.Context, copies ...*coroner.Admission) []bool {
		var allowed []bool
		for _, c := range copies {
			_, ok := c.Send(ctx)
			allowed = append(allowed, ok)
		}
		return allowed
	}

	// A model is at one engine, which crashes. Callers repeat the request while another one loads
	// the model, and it would get all of the copies at once.
	It("that have waited for an upstream are not sent to it together", func(ctx SpecContext) {
		first, second, third := d.Admit(digest), d.Admit(digest), d.Admit(digest)
		for _, waiting := range []*coroner.Admission{first, second, third} {
			_, allowed := waiting.Reserve(ctx)
			Expect(allowed).To(BeTrue())
		}
		d.ApplyNews(quarantine.News{Revision: 1, Mark: 1, OnProbation: []quarantine.Probation{{Digest: digest, Crashes: 1}}})
		Expect(sent(ctx, first, second, third)).To(Equal([]bool{true, false, false}))
	})

	// One copy waits for longer than the owner of the trial remembers it, and another gets the trial.
	It("are not sent together because one of them has held the trial for long", func(ctx SpecContext) {
		d.ApplyNews(quarantine.News{Revision: 1, Mark: 1, OnProbation: []quarantine.Probation{{Digest: digest, Crashes: 1}}})
		first, second := d.Admit(digest), d.Admit(digest)
		_, allowed := first.Reserve(ctx)
		Expect(allowed).To(BeTrue())
		now = now.Add(quarantine.TrialInterval)
		_, allowed = second.Reserve(ctx)
		Expect(allowed).To(BeTrue())
		Expect(sent(ctx, first, second)).To(Equal([]bool{false, true}))
	})

	// The trial reaches the address of the engine that has just crashed. The next engine runs it.
	It("keep the trial if the upstream did not run it", func(ctx SpecContext) {
		d.ApplyNews(quarantine.News{Revision: 1, Mark: 1, OnProbation: []quarantine.Probation{{Digest: digest, Crashes: 1}}})
		first, second := d.Admit(digest), d.Admit(digest)
		Expect(sent(ctx, first)).To(Equal([]bool{true}))
		first.NotRun()
		Expect(sent(ctx, second, first, first)).To(Equal([]bool{false, true, false}))
	})

	setCrashes := func(crashes int) {
		d.ApplyNews(quarantine.News{
			Revision: uint64(crashes), Mark: uint64(crashes), OnProbation: []quarantine.Probation{{Digest: digest, Crashes: crashes}},
		})
	}

	It("are sent one at a time after each crash", func(ctx SpecContext) {
		first, second, third := d.Admit(digest), d.Admit(digest), d.Admit(digest)
		setCrashes(1)
		Expect(sent(ctx, first, second, third)).To(Equal([]bool{true, false, false}))
		setCrashes(2)
		Expect(sent(ctx, second, third)).To(Equal([]bool{true, false}))
	})

	DescribeTable("leave the trial to another one",
		func(ctx SpecContext, end func(a *coroner.Admission), left bool) {
			setCrashes(1)
			first, second := d.Admit(digest), d.Admit(digest)
			_, allowed := first.Reserve(ctx)
			Expect(allowed).To(BeTrue())
			end(first)
			first.End()
			Expect(sent(ctx, second)).To(Equal([]bool{left}))
		},
		Entry("if they end before they are sent", func(*coroner.Admission) {}, true),
		Entry("if no upstream has run them", func(a *coroner.Admission) { a.Send(context.Background()); a.NotRun() }, true),
		Entry("if the response was complete", func(a *coroner.Admission) { a.Send(context.Background()); a.Completed() }, true),
		Entry("but not if it was interrupted", func(a *coroner.Admission) { a.Send(context.Background()) }, false),
		Entry("but not if another one may hold it by now", func(a *coroner.Admission) {
			now = now.Add(quarantine.TrialInterval)
			Expect(sent(context.Background(), d.Admit(digest))).To(Equal([]bool{true}))
		}, false),
	)
})
