// Package gauge keeps the instance's metrics and answers them to whoever
// collects them, in the text form that is usual for it (metrics exposition).
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

// reportEvery is how often what was counted becomes readable. Collectors ask
// every few seconds at the most.
const reportEvery = time.Second

// sanitized keeps the words that callers and operators know, such as
// "not-run", in the values of labels. The default turns their hyphens.
var sanitized = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters},
	ReplacementCharacter: prometheus.DefaultSanitizerOpts.ReplacementCharacter,
}

// Gauges is the metrics of one instance. It is safe for concurrent use.
type Gauges struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns the metrics of the instance of that name. They must be closed.
func New(instance string) *Gauges {
	// A registry of its own, so that two instances in one process don't mix.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "lovagelift",
		Tags:            map[string]string{"instance": instance},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &sanitized,
	}, reportEvery)
	return &Gauges{scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Scope returns where to count.
func (g *Gauges) Scope() tally.Scope {
	return g.scope
}

// ServeHTTP answers all metrics.
func (g *Gauges) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.handler.ServeHTTP(w, r)
}

// Close ends the reporting.
func (g *Gauges) Close() error {
	return errors.Wrap(g.closer.Close(), "gauge")
}
