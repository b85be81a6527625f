package member

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

// Names of the metrics.
const (
	membersName         = "members.live"
	exchangesName       = "members.exchanges"
	exchangesFailedName = "members.exchangesFailed"
	probesName          = "members.probes"
	tableErrorsName     = "members.tableErrors"
	seedErrorsName      = "members.seedErrors"
)

// Metrics describes the metrics that the package registers.
var Metrics = []metric.Doc{
	{Name: membersName, Kind: metric.Gauge, Help: "Nodes that count as live, this one included."},
	{Name: exchangesName, Kind: metric.Counter, Help: "Messages sent to neighbours and other regions."},
	{Name: exchangesFailedName, Kind: metric.Counter, Help: "Exchanges without an answer on two connections."},
	{Name: probesName, Kind: metric.Counter, Help: "Probes of a node made for another one."},
	{Name: tableErrorsName, Kind: metric.Counter, Help: "Failed reads and writes of the records of the nodes."},
	{Name: seedErrorsName, Kind: metric.Counter, Help: "Failed reads of the seed addresses."},
}

type counters struct {
	members                                                     metrics.Gauge
	exchanges, exchangesFailed, probes, tableErrors, seedErrors metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	registry = metric.OrNew(registry)
	return counters{
		members:         metrics.GetOrRegisterGauge(membersName, registry),
		exchanges:       metrics.GetOrRegisterCounter(exchangesName, registry),
		exchangesFailed: metrics.GetOrRegisterCounter(exchangesFailedName, registry),
		probes:          metrics.GetOrRegisterCounter(probesName, registry),
		tableErrors:     metrics.GetOrRegisterCounter(tableErrorsName, registry),
		seedErrors:      metrics.GetOrRegisterCounter(seedErrorsName, registry),
	}
}
