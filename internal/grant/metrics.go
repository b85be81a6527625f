package grant

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

// Metrics documents the metrics of the package.
var Metrics = []metric.Doc{
	{Name: "grants.recorded", Kind: metric.Counter, Help: "grants recorded in the table"},
	{Name: "grants.renewed", Kind: metric.Counter, Help: "quarantined grants put to use again"},
	{Name: "grants.spares", Kind: metric.Counter, Help: "loads under a standing grant"},
	{Name: "grants.refused", Kind: metric.Counter, Help: "loads for which no grant was to be had"},
	{Name: "grants.conflicts", Kind: metric.Counter, Help: "grant transactions that met a concurrent one"},
	{Name: "grants.settled", Kind: metric.Counter, Help: "lost answers of the table that were settled by reading back"},
	{Name: "grants.released", Kind: metric.Counter, Help: "grants released with proof"},
	{Name: "grants.adopted", Kind: metric.Counter, Help: "grants taken over from a silent sender"},
	{Name: "grants.ordersLost", Kind: metric.Counter, Help: "load orders without an answer"},
	{Name: "grants.ordersRefused", Kind: metric.Counter, Help: "load orders that had no effect"},
	{Name: "grants.tableErrors", Kind: metric.Counter, Help: "calls of the table that failed"},
	{Name: "grants.pollErrors", Kind: metric.Counter, Help: "reports that could not be had"},
	{Name: "grants.quarantined", Kind: metric.Gauge, Help: "grants whose memory stays reserved for want of proof"},
	{Name: "grants.reservedBytes", Kind: metric.Gauge, Help: "memory of all grants in bytes"},
	{Name: "grants.foreignBytes", Kind: metric.Gauge, Help: "memory that engines report held without a grant in bytes"},
}

type counters struct {
	recorded, renewed, spares, refused, conflicts, settled, released, adopted metrics.Counter
	ordersLost, ordersRefused, tableErrors, pollErrors                        metrics.Counter
	quarantined, reserved, foreign                                            metrics.Gauge
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("grants."+name, registry)
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("grants."+name, registry)
	}
	return counters{
		recorded: counter("recorded"), renewed: counter("renewed"), spares: counter("spares"), refused: counter("refused"),
		conflicts: counter("conflicts"), settled: counter("settled"), released: counter("released"),
		adopted: counter("adopted"), ordersLost: counter("ordersLost"),
		ordersRefused: counter("ordersRefused"), tableErrors: counter("tableErrors"),
		pollErrors: counter("pollErrors"), quarantined: gauge("quarantined"),
		reserved: gauge("reservedBytes"), foreign: gauge("foreignBytes"),
	}
}
