package dispatch

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/route"
)

// Metrics lists the metrics that a [Dispatcher] registers. The packages that it
// uses list their own.
var Metrics = []metric.Doc{
	{Name: sendsName, Kind: metric.Counter, Help: "attempts sent to backend servers"},
	{Name: retriesName, Kind: metric.Counter, Help: "further attempts after a failed one"},
	{Name: hedgesName, Kind: metric.Counter, Help: "second attempts because a first byte was late"},
	{Name: silentConnectionsName, Kind: metric.Counter, Help: "attempts that were silent although the backend server took new connections"},
	{Name: silentServersName, Kind: metric.Counter, Help: "attempts that were silent while the backend server took no new connections"},
	{Name: overdueAttemptsName, Kind: metric.Counter, Help: "attempts that went on after their request had ended"},
	{Name: stopRefusalsName, Kind: metric.Counter, Help: "requests refused and further attempts not made because the stopping node would cut them off"},
	{Name: refusedLateName, Kind: metric.Counter, Help: "requests not queued because they would be late"},
	{Name: refusedFullName, Kind: metric.Counter, Help: "requests refused because their queue is full, before or while they waited"},
	{Name: refusedWaitingName, Kind: metric.Counter, Help: "requests refused while they waited because they would be late"},
	{Name: waitingOrganisationsName, Kind: metric.Gauge, Help: "organisations of which requests wait"},
	{Name: loadRefusalsName, Kind: metric.Counter, Help: "requests refused because their model will not be loaded in time"},
	{
		Name: loadRefusalsFalseName, Kind: metric.Counter,
		Help: "those of them whose model was loaded when their time was up (a lower bound)",
	},
	{Name: startWindowsName, Kind: metric.Gauge, Help: "backend servers that have just started or recovered and get few requests of this node"},
	{Name: startRejectionsName, Kind: metric.Counter, Help: "attempts that such servers rejected"},
	{Name: paceReadsName, Kind: metric.Counter, Help: "backend servers asked how long work takes there before a request was sent"},
	{Name: paceMovesName, Kind: metric.Counter, Help: "requests that went to another backend server since the one they were for was slow or full then"},
	{Name: noLocalName, Kind: metric.Counter, Help: "bytes between regions because the region has no server for a request"},
	{Name: deadlineName, Kind: metric.Counter, Help: "bytes between regions because a deadline would be missed"},
	{Name: fullName, Kind: metric.Counter, Help: "bytes between regions because all servers of the region are full"},
	{Name: retryName, Kind: metric.Counter, Help: "bytes between regions because of a failure"},
}

const (
	sendsName             = "requests.attempts"
	retriesName           = "requests.retries"
	hedgesName            = "requests.hedges"
	silentConnectionsName = "requests.silentConnections"
	silentServersName     = "requests.silentServers"
	overdueAttemptsName   = "requests.overdueAttempts"
	stopRefusalsName      = "requests.stopRefusals"
	refusedLateName       = "requests.refusedLate"
	refusedFullName       = "requests.refusedFull"
	refusedWaitingName    = "requests.refusedWaiting"
	loadRefusalsName      = "requests.loadRefusals"
	loadRefusalsFalseName = "requests.loadRefusalsFalse"
	startWindowsName      = "servers.startWindows"
	startRejectionsName   = "servers.startRejections"
	paceReadsName         = "servers.paceReads"
	paceMovesName         = "servers.paceMoves"
	noLocalName           = "link.bytesNoLocal"
	deadlineName          = "link.bytesDeadline"
	fullName              = "link.bytesFull"
	retryName             = "link.bytesRetry"

	waitingOrganisationsName = "requests.waitingOrganisations"
)

type meters struct {
	sends, retries, hedges, silentConnections, silentServers, overdueAttempts, stopRefusals metrics.Counter
	// refusedLate and refusedFull count requests that were not queued, refusedWaiting those
	// that waited and would be late; refusedFull also those that lost their place.
	refusedLate, refusedFull, refusedWaiting metrics.Counter
	// loadRefusals counts the refusals for late loads that are checked, loadRefusalsFalse
	// those that proved false.
	loadRefusals, loadRefusalsFalse metrics.Counter
	// startWindows is the number of servers in their start window.
	startWindows                          metrics.Gauge
	startRejections, paceReads, paceMoves metrics.Counter
	// crossRegionBytes counts the bytes sent and received between regions.
	crossRegionBytes map[route.Cause]metrics.Counter
}

func (m *meters) register(registry metrics.Registry) {
	m.sends = metrics.GetOrRegisterCounter(sendsName, registry)
	m.retries = metrics.GetOrRegisterCounter(retriesName, registry)
	m.hedges = metrics.GetOrRegisterCounter(hedgesName, registry)
	m.silentConnections = metrics.GetOrRegisterCounter(silentConnectionsName, registry)
	m.stopRefusals = metrics.GetOrRegisterCounter(stopRefusalsName, registry)
	m.overdueAttempts = metrics.GetOrRegisterCounter(overdueAttemptsName, registry)
	m.silentServers = metrics.GetOrRegisterCounter(silentServersName, registry)
	m.refusedLate = metrics.GetOrRegisterCounter(refusedLateName, registry)
	m.refusedFull = metrics.GetOrRegisterCounter(refusedFullName, registry)
	m.refusedWaiting = metrics.GetOrRegisterCounter(refusedWaitingName, registry)
	m.loadRefusals = metrics.GetOrRegisterCounter(loadRefusalsName, registry)
	m.loadRefusalsFalse = metrics.GetOrRegisterCounter(loadRefusalsFalseName, registry)
	m.startWindows = metrics.GetOrRegisterGauge(startWindowsName, registry)
	m.startRejections = metrics.GetOrRegisterCounter(startRejectionsName, registry)
	m.paceReads = metrics.GetOrRegisterCounter(paceReadsName, registry)
	m.paceMoves = metrics.GetOrRegisterCounter(paceMovesName, registry)
	m.crossRegionBytes = map[route.Cause]metrics.Counter{
		route.CauseNoLocal:  metrics.GetOrRegisterCounter(noLocalName, registry),
		route.CauseDeadline: metrics.GetOrRegisterCounter(deadlineName, registry),
		route.CauseFull:     metrics.GetOrRegisterCounter(fullName, registry),
		route.CauseRetry:    metrics.GetOrRegisterCounter(retryName, registry),
	}
}
