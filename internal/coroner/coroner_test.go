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

// specTimeout bounds a spec. None takes a tenth of it.
const specTimeout = 20 * time.Second

// office is what a Coroner asks and tells.
type office struct {
	mu sync.Mutex
	// contact is what is known of all upstreams, and dialled the error of connecting.
	contact quarantine.Contact
	dialled error
	// refusals is how many reports are not recorded before one is.
	refusals int
	recorded quarantine.Update
	// reportedAt is the time of the last report.
	reportedAt time.Time
}

func (o *office) options() coroner.Options {
	return coroner.Options{
		Contact: func(quarantine.Place) quarantine.Contact {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.contact
		},
		Report: func(_ context.Context, update quarantine.Update) bool {
			o.mu.Lock()
			defer o.mu.Unlock()
			if o.refusals > 0 {
				o.refusals--
				return false
			}
			o.reportedAt = update.Now
			o.recorded = o.recorded.With(update)
			return true
		},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			o.mu.Lock()
			defer o.mu.Unlock()
			if o.dialled != nil {
				return nil, o.dialled
			}
			here, _ := net.Pipe()
			return here, nil
		},
		Line: func(string) *zerolog.Event { return nil },
		Now:  time.Now,
	}
}

// reports returns how many upstreams are recorded as ended, with how many requests.
func (o *office) reports() (upstreams, suspects int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, report := range o.recorded.Reports {
		suspects += len(report.Suspects)
	}
	return len(o.recorded.Reports), suspects
}

var errRefused = errors.Wrap(syscall.ECONNREFUSED, "dial")

var _ = Describe("Coroner", func() {
	place := quarantine.Place{Lifetime: quarantine.Lifetime{Upstream: "e1"}, Address: "e1:80"}
	suspect := func(body string) quarantine.Suspect {
		return quarantine.Suspect{Digest: quarantine.Identity{Body: []byte(body)}.Digest(), Request: body}
	}
	var o *office
	var c *coroner.Coroner

	BeforeEach(func() {
		o = &office{}
		c = coroner.New(o.options())
		DeferCleanup(c.Close)
	})

	recorded := func() int {
		upstreams, _ := o.reports()
		return upstreams
	}

	// The voters have no leader for a moment, or the answer is lost: a crash that is not
	// counted lets one more engine end.
	It("reports an upstream that refuses until it is recorded", SpecTimeout(specTimeout), func(ctx SpecContext) {
		o.dialled, o.refusals = errRefused, 3
		c.Broke(place, suspect("a"))
		c.Broke(place, suspect("b"))
		Eventually(ctx, recorded).Should(Equal(1))
		_, suspects := o.reports()
		Expect(suspects).To(Equal(2))
		o.mu.Lock()
		defer o.mu.Unlock()
		// Crashes without a time are older than any retention.
		Expect(o.reportedAt).To(BeTemporally("~", time.Now(), specTimeout))
	})

	It("reports nothing of an upstream that answers, or had said that it goes", SpecTimeout(specTimeout), func(_ SpecContext) {
		c.Broke(place, suspect("a"))
		o.mu.Lock()
		o.contact, o.dialled = quarantine.ContactLeaving, errRefused
		o.mu.Unlock()
		leaving := quarantine.Place{Lifetime: quarantine.Lifetime{Upstream: "e2"}, Address: "e2:80"}
		c.Broke(leaving, suspect("a"))
		Consistently(recorded).WithTimeout(400 * time.Millisecond).Should(BeZero())
	})

	It("reports an upstream that another request finds gone", SpecTimeout(specTimeout), func(ctx SpecContext) {
		c.Broke(place, suspect("a"))
		c.Failed(place, errors.New("timeout"))
		Consistently(recorded).WithTimeout(300 * time.Millisecond).Should(BeZero())
		c.Failed(place, errRefused)
		Eventually(ctx, recorded).Should(Equal(1))
	})

	It("clears a request that is suspected and ends well here", SpecTimeout(specTimeout), func(ctx SpecContext) {
		digest := suspect("a").Digest
		c.Follow(quarantine.News{Revision: 1, Mark: 7, Suspected: []quarantine.Digest{digest}})
		c.Succeeded(digest, http.StatusInternalServerError)
		c.Succeeded(digest, http.StatusOK)
		Eventually(ctx, func() []quarantine.Digest {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.recorded.Succeeded
		}).Should(Equal([]quarantine.Digest{digest}))
		Expect(c.Mark()).To(Equal(uint64(7)))
	})

	It("holds what is in quarantine", func() {
		digest := suspect("a").Digest
		c.Follow(quarantine.News{Revision: 1, Mark: 7, Quarantined: []quarantine.Entry{{Digest: digest}}})
		Expect(c.Holds(digest)).To(BeTrue())
		quarantined, suspected := c.Held()
		Expect([]int{quarantined, suspected}).To(Equal([]int{1, 0}))
	})
})
