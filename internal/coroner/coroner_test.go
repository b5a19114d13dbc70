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
