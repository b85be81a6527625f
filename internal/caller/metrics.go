package caller

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

// Metrics lists the metrics that a [Server] registers. Those of the packages
// that it runs are listed there.
var Metrics = []metric.Doc{
	{Name: requestsName, Kind: metric.Counter, Help: "requests from callers"},
	{Name: answeredName, Kind: metric.Counter, Help: "requests that got a whole answer"},
	{Name: notRunName, Kind: metric.Counter, Help: "requests refused before anything of them was sent"},
	{Name: unknownName, Kind: metric.Counter, Help: "requests refused with an unknown outcome"},
	{Name: leftName, Kind: metric.Counter, Help: "requests whose caller left before the end"},
	{Name: tokensName, Kind: metric.Counter, Help: "stream events relayed to callers"},
}

const (
	requestsName = "requests.received"
	answeredName = "requests.answered"
	notRunName   = "requests.refusedNotRun"
	unknownName  = "requests.refusedUnknown"
	leftName     = "requests.callerLeft"
	tokensName   = "requests.events"
)

type meters struct {
	requests, answered, notRun, unknown, left, events metrics.Counter
}

func (m *meters) register(registry metrics.Registry) {
	m.requests = metrics.GetOrRegisterCounter(requestsName, registry)
	m.answered = metrics.GetOrRegisterCounter(answeredName, registry)
	m.notRun = metrics.GetOrRegisterCounter(notRunName, registry)
	m.unknown = metrics.GetOrRegisterCounter(unknownName, registry)
	m.left = metrics.GetOrRegisterCounter(leftName, registry)
	m.events = metrics.GetOrRegisterCounter(tokensName, registry)
}
