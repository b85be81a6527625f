package metric

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	namespace   = "guavatrack_"
	contentType = "text/plain; version=0.0.4; charset=utf-8"
)

// quantiles are the exposed quantiles of histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// Handler serves the registry in the Prometheus text format, sorted by name.
// Metrics listed in docs get a HELP line.
func Handler(registry metrics.Registry, docs []Doc) http.Handler {
	help := make(map[string]string, len(docs))
	for _, doc := range docs {
		help[doc.Name] = doc.Help
	}
	return http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		response.Header().Set("Content-Type", contentType)
		out := bufio.NewWriter(response)
		defer func() { _ = out.Flush() }()
		found := make(map[string]any)
		registry.Each(func(name string, value any) { found[name] = value })
		for _, name := range slices.Sorted(maps.Keys(found)) {
			writeMetric(out, name, help[name], found[name])
		}
	})
}

// ExposedName returns the name of a metric in the Prometheus text format.
func ExposedName(name string) string {
	return namespace + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func writeMetric(out *bufio.Writer, name, help string, value any) {
	exposed := ExposedName(name)
	if help != "" {
		_, _ = fmt.Fprintf(out, "# HELP %s %s\n", exposed, help)
	}
	switch value := value.(type) {
	case metrics.Counter:
		_, _ = fmt.Fprintf(out, "# TYPE %s counter\n%s %d\n", exposed, exposed, value.Count())
	case metrics.Meter:
		_, _ = fmt.Fprintf(out, "# TYPE %s counter\n%s %d\n", exposed, exposed, value.Count())
	case metrics.Gauge:
		_, _ = fmt.Fprintf(out, "# TYPE %s gauge\n%s %d\n", exposed, exposed, value.Value())
	case metrics.GaugeFloat64:
		_, _ = fmt.Fprintf(out, "# TYPE %s gauge\n%s %g\n", exposed, exposed, value.Value())
	case metrics.Histogram:
		writeSummary(out, exposed, value.Snapshot())
	case metrics.Timer:
		writeSummary(out, exposed, value.Snapshot())
	}
}

// summary is the common interface of histograms and timers.
type summary interface {
	Percentiles(quantiles []float64) []float64
	Sum() int64
	Count() int64
}

func writeSummary(out *bufio.Writer, exposed string, value summary) {
	_, _ = fmt.Fprintf(out, "# TYPE %s summary\n", exposed)
	for i, v := range value.Percentiles(quantiles) {
		_, _ = fmt.Fprintf(out, "%s{quantile=\"%g\"} %g\n", exposed, quantiles[i], v)
	}
	_, _ = fmt.Fprintf(out, "%s_sum %d\n%s_count %d\n", exposed, value.Sum(), exposed, value.Count())
}
