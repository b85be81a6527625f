// Package metric documents and exposes the counters, gauges and histograms of
// a node.
//
// Packages register their metrics with go-metrics under dotted camel-case
// names such as "grants.recorded" and list each of them as a [Doc]. [Handler]
// writes a registry in the Prometheus text format, in which a dot becomes an
// underscore and every name starts with "guavatrack_".
package metric

// Kind is the kind of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Doc documents one metric.
type Doc struct {
	Name string
	Kind Kind
	// Help is the one-line description of the metric, with its unit.
	Help string
}
