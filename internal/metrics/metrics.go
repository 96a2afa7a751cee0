// Package metrics creates the metrics scope of a daemon and the HTTP handler that
// exposes it in the Prometheus text format.
package metrics

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often the scope's metrics are passed to the Prometheus
// reporter.
const reportInterval = time.Second

// NewScope returns a metrics scope with the tags of an instance, a function that
// closes it, and the handler that exposes it.
func NewScope(instance, domain string) (tally.Scope, func(), http.Handler) {
	// Use a separate registry, since several daemons may run in one process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "azurehatch", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		Tags:            map[string]string{"instance": instance, "domain": domain},
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, func() { _ = closer.Close() }, reporter.HTTPHandler()
}
