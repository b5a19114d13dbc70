// Package gauge is the metrics registry of an instance and serves the metrics in the Prometheus
// text format.
package gauge

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time after which a new value becomes visible. Collectors scrape at most
// once every few seconds.
const reportInterval = time.Second

// sanitizeOptions keeps hyphens in label values, so that words known to callers and operators, such
// as "not-run", appear unchanged. The default options replace hyphens.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters},
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

// Metrics are the metrics of one instance. They are safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns the metrics of the named instance. The caller must close them.
func New(instance string) *Metrics {
	// A separate registry keeps the metrics of several instances in one process apart.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "lovagelift",
		Tags:            map[string]string{"instance": instance},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
	}, reportInterval)
	return &Metrics{scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Scope returns the scope in which metrics are recorded.
func (m *Metrics) Scope() tally.Scope {
	return m.scope
}

// ServeHTTP writes all metrics.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.handler.ServeHTTP(w, r)
}

// Close reports the last values and stops the reporting.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "gauge")
}
