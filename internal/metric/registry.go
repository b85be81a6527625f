package metric

import "github.com/rcrowley/go-metrics"

// OrNew returns the registry or, if it is nil, one of its own that nobody reads.
func OrNew(registry metrics.Registry) metrics.Registry {
	if registry == nil {
		return metrics.NewRegistry()
	}
	return registry
}
