// Package metrics makes the scope in which a daemon counts, and the handler that
// serves it as text.
package metrics

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// interval is how often counters reach the Prometheus reporter.
const reportInterval = time.Second

// NewScope returns a scope with the tags of an instance, what ends it, and the
// handler that serves it.
func NewScope(instance, domain string) (tally.Scope, func(), http.Handler) {
	// A registry of its own, since several daemons may share a process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "azurehatch", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		Tags:            map[string]string{"instance": instance, "domain": domain},
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, func() { _ = closer.Close() }, reporter.HTTPHandler()
}
