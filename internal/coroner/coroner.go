// Package coroner is the crash attribution of one instance: it finds out which upstreams
// ended while they had requests, reports them for the replicated records, and keeps the
// latest news of the quarantine. Package quarantine makes the decisions.
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

// Options configures a CrashDetector.
type Options struct {
	// Status returns what the instance currently knows about an upstream.
	Status func(endpoint quarantine.Endpoint) quarantine.Status
	// Report records an update, and reports whether it is certain that the update is
	// recorded. Recording it more than once is safe.
	Report func(ctx context.Context, update quarantine.Update) bool
	// NewLogEvent starts a log line of a kind. It returns nil if there were too many of that
	// kind.
	NewLogEvent func(kind string) *zerolog.Event
	// AllowTrial asks the instance that decides on a trial whether a request may be sent as such. If
	// nil, none may.
	AllowTrial func(ctx context.Context, trial quarantine.Trial) bool
	// EndTrial tells that instance that a trial has ended without a crash. If nil, nothing is told.
	EndTrial func(trial quarantine.Trial)
	// Probation is true if a request that was at a crash is sent one copy at a time. AllowTrial must
	// then allow one of all instances, wherever the request arrives.
	Probation bool
	// Dial connects to an upstream. If nil, TCP is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Time
	// Metrics gets the count of crashes. If nil, crashes are not counted.
	Metrics tally.Scope
}

// CrashDetector detects the upstreams that ended while they had requests, and reports
// them. It is safe for concurrent use. It calls Status and Report without holding its lock.
type CrashDetector struct {
	options Options
	crashes tally.Counter

	mu    sync.Mutex
	watch *quarantine.Watch

	// probes holds the upstreams to probe, because their responses were interrupted.
	// reportSignal holds a token if there may be something to report.
	probes       chan quarantine.Endpoint
	reportSignal chan struct{}
	stop         context.CancelFunc
	goroutines   sync.WaitGroup
}

const (
	// maxProbes bounds the upstreams that wait for a probe.
	maxProbes = 64
	// probeTimeout bounds the connection attempt of a probe. The address of an upstream
	// that has ended refuses at once.
	probeTimeout = 250 * time.Millisecond
	// reportInterval is the time between two attempts to report.
	reportInterval = 100 * time.Millisecond
	// reportTimeout bounds one attempt. The voters take some milliseconds to record a
	// report, or longer during an election.
	reportTimeout = 1500 * time.Millisecond
	// maxUnsent bounds the reports of ended upstreams, and the successes, that wait to be
	// recorded.
	maxUnsent = 256
)

// New returns a CrashDetector and starts its goroutines.
func New(options Options) *CrashDetector {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	if options.AllowTrial == nil {
		options.AllowTrial = func(context.Context, quarantine.Trial) bool { return false }
	}
	if options.EndTrial == nil {
		options.EndTrial = func(quarantine.Trial) {}
	}
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &CrashDetector{
		options:      options,
		crashes:      options.Metrics.Counter("upstreams_ended"),
		watch:        quarantine.NewWatch(),
		probes:       make(chan quarantine.Endpoint, maxProbes),
		reportSignal: make(chan struct{}, 1),
		stop:         cancel,
	}
	c.goroutines.Go(func() { c.runProbes(ctx) })
	c.goroutines.Go(func() { c.runReporter(ctx) })
	return c
}

// Close stops all probes and reports, and waits until they have stopped.
func (d *CrashDetector) Close() {
	d.stop()
	d.goroutines.Wait()
}

// Counts returns the number of requests in quarantine and the number of suspected requests.
func (d *CrashDetector) Counts() (quarantined, suspected int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watch.Counts()
}

// Mark returns the mark of the latest news, and 0 if there is none.
func (d *CrashDetector) Mark() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watch.Mark()
}

// ApplyNews applies news of the quarantine.
func (d *CrashDetector) ApplyNews(news quarantine.News) {
	now := d.options.Now()
	if !d.options.Probation {
		news.OnProbation = nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch.ApplyNews(now, news)
	d.wakeReporter()
}

// KnownCrashes returns what is known here of the request of a trial.
func (d *CrashDetector) KnownCrashes(trial quarantine.TrialID) quarantine.KnownCrashes {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watch.KnownCrashes(trial)
}

// Review calls status for each upstream whose responses were interrupted, and records the
// result. status is like Options.Status, and is called with the lock of the CrashDetector
// held.
func (d *CrashDetector) Review(status func(quarantine.Endpoint) quarantine.Status) {
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch.Review(now, status)
	d.wakeReporter()
}

// Succeeded records that an upstream sent a complete response to a request. It ignores
// responses with an error status.
func (d *CrashDetector) Succeeded(digest quarantine.Digest, status int, parts ...quarantine.Digest) {
	if status >= http.StatusBadRequest {
		return
	}
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch.Succeeded(now, digest, parts...)
	d.wakeReporter()
}

// Responded records that the header of a response of an upstream has arrived.
func (d *CrashDetector) Responded(lifetime quarantine.Lifetime) {
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch.Responded(now, lifetime)
	d.wakeReporter()
}

// Closed records that an upstream sent a response that ended with its connection, which doesn't show
// that it is complete. It ignores responses with an error status.
func (d *CrashDetector) Closed(endpoint quarantine.Endpoint, suspect quarantine.Suspect, status int, parts ...quarantine.Digest) {
	if status >= http.StatusBadRequest {
		return
	}
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch.Closed(now, endpoint, suspect, parts...)
}

// Abandoned records that a caller abandoned a request while an upstream had it.
func (d *CrashDetector) Abandoned(endpoint quarantine.Endpoint, suspect quarantine.Suspect) {
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch.Abandoned(now, endpoint, suspect)
}

// Interrupted records that the response of an upstream to a request was interrupted, or
// did not arrive.
func (d *CrashDetector) Interrupted(endpoint quarantine.Endpoint, suspect quarantine.Suspect) {
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watch.Interrupted(now, endpoint, suspect) {
		select {
		case d.probes <- endpoint:
		default:
			// The queue of probes is full. A later observation may still show that the
			// upstream has ended.
		}
	}
	d.wakeReporter()
}

// ConnectionFailed records that a connection to an upstream failed for the given cause.
// Only a refused connection counts.
func (d *CrashDetector) ConnectionFailed(endpoint quarantine.Endpoint, cause error) {
	if !errors.Is(cause, syscall.ECONNREFUSED) {
		return
	}
	status := d.options.Status(endpoint)
	if status != quarantine.StatusLeaving {
		status = quarantine.StatusRefused
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watch.Observe(endpoint.Lifetime, status)
	d.wakeReporter()
}

// wakeReporter signals the reporter if there is something to report. d.mu must be held.
func (d *CrashDetector) wakeReporter() {
	if !d.watch.IsPending() {
		return
	}
	select {
	case d.reportSignal <- struct{}{}:
	default:
	}
}

// runProbes starts a probe for each upstream in the queue, until ctx ends.
func (d *CrashDetector) runProbes(ctx context.Context) {
	for {
		select {
		case endpoint := <-d.probes:
			d.goroutines.Go(func() { d.probe(ctx, endpoint) })
		case <-ctx.Done():
			return
		}
	}
}

func (d *CrashDetector) probe(ctx context.Context, endpoint quarantine.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := d.options.Dial(ctx, "tcp", endpoint.Address)
	if err == nil {
		conn.Close()
		return
	}
	d.ConnectionFailed(endpoint, err)
}

// runReporter calls reportPending after each signal, until ctx ends.
func (d *CrashDetector) runReporter(ctx context.Context) {
	for {
		select {
		case <-d.reportSignal:
			d.reportPending(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reportPending reports until nothing is left to report, or ctx ends.
func (d *CrashDetector) reportPending(ctx context.Context) {
	var unsent quarantine.Update
	for pause.For(ctx, reportInterval) {
		update, more := d.takeDue()
		d.logReports(update)
		unsent = unsent.With(update).Newest(maxUnsent)
		if unsent.Empty() || d.send(ctx, unsent) {
			unsent = quarantine.Update{}
		}
		if !more && unsent.Empty() {
			return
		}
	}
}

// takeDue returns the update to report now, and whether there will be another one soon.
func (d *CrashDetector) takeDue() (update quarantine.Update, more bool) {
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	update = d.watch.TakeDue(now)
	return update, d.watch.IsPending()
}

func (d *CrashDetector) send(ctx context.Context, update quarantine.Update) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return d.options.Report(ctx, update)
}

// logReports logs each request that an upstream had when it ended.
func (d *CrashDetector) logReports(update quarantine.Update) {
	for _, report := range update.Reports {
		d.crashes.Inc(1)
		for _, suspect := range report.Suspects {
			event := d.options.NewLogEvent("upstream ended")
			if event == nil {
				continue
			}
			if len(suspect.Parts) > 0 {
				event = event.Strs(quarantine.FieldParts, quarantine.ShortDigests(suspect.Parts))
			}
			event.Str("request", suspect.Request).Str(quarantine.FieldDigest, suspect.Digest.Short()).
				Str("upstream", report.Upstream).Bool("answering", suspect.Answering).
				Int("requests", len(report.Suspects)).Msg(quarantine.LogEnded)
		}
	}
}
