package caller

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

// Metrics lists the metrics that a [Server] registers itself. The packages that
// it uses list their own.
var Metrics = []metric.Doc{
	{Name: requestsName, Kind: metric.Counter, Help: "requests from callers"},
	{Name: answeredName, Kind: metric.Counter, Help: "requests that got a whole answer"},
	{Name: notRunName, Kind: metric.Counter, Help: "requests refused before anything of them was sent"},
	{Name: outcomeUnknownName, Kind: metric.Counter, Help: "requests refused with an unknown outcome"},
	{Name: callerLeftName, Kind: metric.Counter, Help: "requests whose caller left before the end"},
	{Name: eventsName, Kind: metric.Counter, Help: "stream events relayed to callers"},
}

const (
	requestsName       = "requests.received"
	answeredName       = "requests.answered"
	notRunName         = "requests.refusedNotRun"
	outcomeUnknownName = "requests.refusedUnknown"
	callerLeftName     = "requests.callerLeft"
	eventsName         = "requests.events"
)

type meters struct {
	requests, answered, notRun, outcomeUnknown, callerLeft, events metrics.Counter
}

func (m *meters) register(registry metrics.Registry) {
	m.requests = metrics.GetOrRegisterCounter(requestsName, registry)
	m.answered = metrics.GetOrRegisterCounter(answeredName, registry)
	m.notRun = metrics.GetOrRegisterCounter(notRunName, registry)
	m.outcomeUnknown = metrics.GetOrRegisterCounter(outcomeUnknownName, registry)
	m.callerLeft = metrics.GetOrRegisterCounter(callerLeftName, registry)
	m.events = metrics.GetOrRegisterCounter(eventsName, registry)
}
