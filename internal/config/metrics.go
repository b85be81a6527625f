package config

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

// Metric names.
const (
	revisionName      = "config.revision"
	acceptedName      = "config.accepted"
	refusedName       = "config.refused"
	racesName         = "config.races"
	lostAnswersName   = "config.lostAnswers"
	clashesName       = "config.clashes"
	tableBehindName   = "config.tableBehind"
	tableErrorsName   = "config.tableErrors"
	fullReadsName     = "config.fullReads"
	pushesFreshName   = "config.pushesFresh"
	pushesKnownName   = "config.pushesKnown"
	pushesFailedName  = "config.pushesFailed"
	fetchesName       = "config.fetches"
	fetchesFailedName = "config.fetchesFailed"
	asksFailedName    = "config.asksFailed"
)

// Metrics describes the metrics that the package registers.
var Metrics = []metric.Doc{
	{Name: revisionName, Kind: metric.Gauge, Help: "Revision up to which the node has every ticket."},
	{Name: acceptedName, Kind: metric.Counter, Help: "Tickets that this node accepted."},
	{Name: refusedName, Kind: metric.Counter, Help: "Tickets refused or failed."},
	{Name: racesName, Kind: metric.Counter, Help: "Acceptances tried again because another ticket came first."},
	{Name: lostAnswersName, Kind: metric.Counter, Help: "Transactions whose answer was lost."},
	{Name: clashesName, Kind: metric.Counter, Help: "Entries with the number of another content. Must stay 0."},
	{Name: tableBehindName, Kind: metric.Counter, Help: "Reads in which the table was older than an earlier read."},
	{Name: tableErrorsName, Kind: metric.Counter, Help: "Failed polls of the table."},
	{Name: fullReadsName, Kind: metric.Counter, Help: "Reads of all objects from the table."},
	{Name: pushesFreshName, Kind: metric.Counter, Help: "Tickets handed on by other nodes that were new here."},
	{Name: pushesKnownName, Kind: metric.Counter, Help: "Tickets handed on by other nodes that were known."},
	{Name: pushesFailedName, Kind: metric.Counter, Help: "Tickets that could not be handed to a neighbour."},
	{Name: fetchesName, Kind: metric.Counter, Help: "Comparisons with a node that had more."},
	{Name: fetchesFailedName, Kind: metric.Counter, Help: "Comparisons that failed."},
	{Name: asksFailedName, Kind: metric.Counter, Help: "Requests for a confirmation without an answer."},
}

type counters struct {
	revision                                                       metrics.Gauge
	accepted, refused, races, lostAnswers, clashes                 metrics.Counter
	tableBehind, tableErrors, fullReads                            metrics.Counter
	pushesFresh, pushesKnown, pushesFailed, fetches, fetchesFailed metrics.Counter
	asksFailed                                                     metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	registry = metric.OrNew(registry)
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return counters{
		revision: metrics.GetOrRegisterGauge(revisionName, registry),
		accepted: counter(acceptedName), refused: counter(refusedName), races: counter(racesName),
		lostAnswers: counter(lostAnswersName), clashes: counter(clashesName), tableBehind: counter(tableBehindName),
		tableErrors: counter(tableErrorsName), fullReads: counter(fullReadsName),
		pushesFresh: counter(pushesFreshName), pushesKnown: counter(pushesKnownName),
		pushesFailed: counter(pushesFailedName), fetches: counter(fetchesName),
		fetchesFailed: counter(fetchesFailedName), asksFailed: counter(asksFailedName),
	}
}
