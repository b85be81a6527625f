package metric

import "github.com/rcrowley/go-metrics"

// OrNew returns registry, or a new one, which is not exposed, if registry is nil.
func OrNew(registry metrics.Registry) metrics.Registry {
	if registry == nil {
		return metrics.NewRegistry()
	}
	return registry
}
