// Package coroner finds out for one instance which upstreams ended under which requests,
// and has it recorded (crash attribution). What follows from it is decided by package
// quarantine; this package looks, reports and keeps the decisions at hand.
package coroner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Options configures a Coroner.
type Options struct {
	// Contact returns what the instance knows of an upstream now.
	Contact func(place quarantine.Place) quarantine.Contact
	// Report has an update recorded, and returns whether it certainly is. It may be
	// recorded more than once.
	Report func(ctx context.Context, update quarantine.Update) bool
	// Line begins a log line of a kind, or returns nil if there were too many.
	Line func(kind string) *zerolog.Event
	// Dial connects to an upstream. Nil stands for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Time
	// Metrics is where crashes are counted; nowhere if nil.
	Metrics tally.Scope
}

// Coroner is the part of an instance that looks at upstreams that have ended. It is safe
// for concurrent use. It calls Contact and Report with no lock of its own held.
type Coroner struct {
	options Options
	crashes tally.Counter

	mu    sync.Mutex
	watch *quarantine.Watch

	// looks are upstreams to look at, since answers broke off there, and reportNow holds a
	// token if there may be something to report.
	looks     chan quarantine.Place
	reportNow chan struct{}
	stop      context.CancelFunc
	done      sync.WaitGroup
}

const (
	// maxLooks bounds the upstreams that wait to be looked at.
	maxLooks = 64
	// lookTimeout bounds connecting to one of them. One that has ended refuses at once.
	lookTimeout = 250 * time.Millisecond
	// reportEvery is the time between two tries of a report.
	reportEvery = 100 * time.Millisecond
	// reportTimeout bounds one try. The voters need some ms, or an election.
	reportTimeout = 1500 * time.Millisecond
	// maxUnsent bounds the reports of upstreams, and of requests that succeeded, that
	// wait to be recorded.
	maxUnsent = 256
)

// New returns a Coroner.
func New(options Options) *Coroner {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Coroner{
		options:   options,
		crashes:   options.Metrics.Counter("upstreams_ended"),
		watch:     quarantine.NewWatch(),
		looks:     make(chan quarantine.Place, maxLooks),
		reportNow: make(chan struct{}, 1),
		stop:      cancel,
	}
	c.done.Go(func() { c.look(ctx) })
	c.done.Go(func() { c.report(ctx) })
	return c
}

// Close ends all looking and reporting.
func (c *Coroner) Close() {
	c.stop()
	c.done.Wait()
}

// Holds reports whether a request is in quarantine: it must not be sent.
func (c *Coroner) Holds(digest quarantine.Digest) bool {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch.IsQuarantined(now, digest)
}

// Held returns how many requests are in quarantine, and how many are suspected.
func (c *Coroner) Held() (quarantined, suspected int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch.Counts()
}

// Mark returns the mark of the news that were followed last, 0 if there were none.
func (c *Coroner) Mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch.Mark()
}

// Follow takes in news of requests in quarantine.
func (c *Coroner) Follow(news quarantine.News) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.ApplyNews(now, news)
	c.wakeReporter()
}

// Review looks at what is known now of upstreams where answers broke off. contact is as
// in Options, and is called with the lock of the Coroner held.
func (c *Coroner) Review(contact func(quarantine.Place) quarantine.Contact) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Review(now, contact)
	c.wakeReporter()
}

// Succeeded notes that an upstream answered a request whole. A status of failure is left out.
func (c *Coroner) Succeeded(digest quarantine.Digest, status int) {
	if status >= http.StatusBadRequest {
		return
	}
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Succeeded(now, digest)
	c.wakeReporter()
}

// Left notes that a caller has left its request, which was at an upstream.
func (c *Coroner) Left(place quarantine.Place, suspect quarantine.Suspect) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Abandoned(now, place, suspect)
}

// Broke notes that the answer of an upstream to a request broke off, or did not come.
func (c *Coroner) Broke(place quarantine.Place, suspect quarantine.Suspect) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch.Interrupted(now, place, suspect) {
		select {
		case c.looks <- place:
		default:
			// What is heard of the upstream later will tell.
		}
	}
	c.wakeReporter()
}

// Failed notes why a connection to an upstream failed.
func (c *Coroner) Failed(place quarantine.Place, cause error) {
	if !errors.Is(cause, syscall.ECONNREFUSED) {
		return
	}
	contact := c.options.Contact(place)
	if contact != quarantine.ContactLeaving {
		contact = quarantine.ContactRefused
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Observe(place.Lifetime, contact)
	c.wakeReporter()
}

// wakeReporter has what there is to report be reported. c.mu is held.
func (c *Coroner) wakeReporter() {
	if !c.watch.IsPending() {
		return
	}
	select {
	case c.reportNow <- struct{}{}:
	default:
	}
}

// look connects to each upstream where answers broke off, until ctx ends.
func (c *Coroner) look(ctx context.Context) {
	for {
		select {
		case place := <-c.looks:
			c.done.Go(func() { c.lookAt(ctx, place) })
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coroner) lookAt(ctx context.Context, place quarantine.Place) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	conn, err := c.options.Dial(ctx, "tcp", place.Address)
	if err == nil {
		conn.Close()
		return
	}
	c.Failed(place, err)
}

// report reports upstreams that ended under requests, until ctx ends.
func (c *Coroner) report(ctx context.Context) {
	for {
		select {
		case <-c.reportNow:
			c.reportPending(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reportPending reports until nothing is left to report, or ctx ends.
func (c *Coroner) reportPending(ctx context.Context) {
	var unsent quarantine.Update
	for pause.For(ctx, reportEvery) {
		update, more := c.due()
		c.tell(update)
		unsent = unsent.With(update).Newest(maxUnsent)
		if unsent.Empty() || c.send(ctx, unsent) {
			unsent = quarantine.Update{}
		}
		if !more && unsent.Empty() {
			return
		}
	}
}

// due returns what is to be reported now, and whether there will be more in a moment.
func (c *Coroner) due() (update quarantine.Update, more bool) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	update = c.watch.TakeDue(now)
	return update, c.watch.IsPending()
}

func (c *Coroner) send(ctx context.Context, update quarantine.Update) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.options.Report(ctx, update)
}

// tell logs each request that an upstream had as it ended.
func (c *Coroner) tell(update quarantine.Update) {
	for _, report := range update.Reports {
		c.crashes.Inc(1)
		for _, suspect := range report.Suspects {
			event := c.options.Line("upstream ended")
			if event == nil {
				continue
			}
			event.Str("request", suspect.Request).Str(quarantine.FieldDigest, suspect.Digest.Short()).
				Str("upstream", report.Upstream).Bool("answering", suspect.Answering).
				Int("requests", len(report.Suspects)).Msg(quarantine.LineEnded)
		}
	}
}
