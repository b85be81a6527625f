package peer

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

// Names of the counters.
const (
	bytesSentName     = "peer.bytesSent"
	bytesReceivedName = "peer.bytesReceived"
	crossSentName     = "peer.regionLinkBytesSent"
	crossReceivedName = "peer.regionLinkBytesReceived"
	callsMadeName     = "peer.callsMade"
	callsFailedName   = "peer.callsFailed"
	callsServedName   = "peer.callsServed"
	dialsName         = "peer.dials"
	droppedName       = "peer.connectionsDropped"
	refusedName       = "peer.connectionsRefused"
	acceptErrorsName  = "peer.acceptErrors"
)

// Metrics describes the metrics that the package registers.
var Metrics = []metric.Doc{
	{Name: bytesSentName, Kind: metric.Counter, Help: "Bytes sent to other nodes."},
	{Name: bytesReceivedName, Kind: metric.Counter, Help: "Bytes received from other nodes."},
	{Name: crossSentName, Kind: metric.Counter, Help: "Bytes sent over connections that this node made into other regions."},
	{Name: crossReceivedName, Kind: metric.Counter, Help: "Bytes received over connections that this node made into other regions."},
	{Name: callsMadeName, Kind: metric.Counter, Help: "Calls made to other nodes."},
	{Name: callsFailedName, Kind: metric.Counter, Help: "Calls without an answer."},
	{Name: callsServedName, Kind: metric.Counter, Help: "Calls answered for other nodes."},
	{Name: dialsName, Kind: metric.Counter, Help: "Connections made or tried."},
	{Name: droppedName, Kind: metric.Counter, Help: "Connections no longer used because they failed or stayed silent."},
	{Name: refusedName, Kind: metric.Counter, Help: "Connections refused because too many were open."},
	{Name: acceptErrorsName, Kind: metric.Counter, Help: "Errors on accepting a connection."},
}

type counters struct {
	bytesSent, bytesReceived, crossSent, crossReceived metrics.Counter
	callsMade, callsFailed, callsServed                metrics.Counter
	dials, dropped, inboundRefused, acceptErrors       metrics.Counter
}

func newCounters(registry metrics.Registry) counters {
	registry = metric.OrNew(registry)
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return counters{
		bytesSent: counter(bytesSentName), bytesReceived: counter(bytesReceivedName),
		crossSent: counter(crossSentName), crossReceived: counter(crossReceivedName),
		callsMade: counter(callsMadeName), callsFailed: counter(callsFailedName),
		callsServed: counter(callsServedName), dials: counter(dialsName), dropped: counter(droppedName),
		inboundRefused: counter(refusedName), acceptErrors: counter(acceptErrorsName),
	}
}
