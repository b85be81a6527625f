package origin

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

// Metrics lists the metrics that a [Controller] registers.
var Metrics = []metric.Doc{
	{Name: recordedName, Kind: metric.Counter, Help: "streams whose software version was recorded in the store"},
	{Name: notRecordedName, Kind: metric.Counter, Help: "streams that were ended because their software version could not be recorded"},
	{Name: foundName, Kind: metric.Counter, Help: "requests for the rest of a stream whose software version was found"},
	{Name: unknownName, Kind: metric.Counter, Help: "requests for the rest of a stream whose software version was not found"},
}

const (
	recordedName    = "origin.recorded"
	notRecordedName = "origin.notRecorded"
	foundName       = "origin.found"
	unknownName     = "origin.unknown"
)

type counters struct{ recorded, notRecorded, found, unknown metrics.Counter }

func newCounters(registry metrics.Registry) counters {
	return counters{
		recorded:    metrics.GetOrRegisterCounter(recordedName, registry),
		notRecorded: metrics.GetOrRegisterCounter(notRecordedName, registry),
		found:       metrics.GetOrRegisterCounter(foundName, registry),
		unknown:     metrics.GetOrRegisterCounter(unknownName, registry),
	}
}
