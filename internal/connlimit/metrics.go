package connlimit

import (
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

// Names of the counters.
const (
	refusedName       = "connections.refused"
	displacedName     = "connections.displaced"
	manyFieldsName    = "connections.tooManyFields"
	headerMemoryName  = "connections.headersWithoutMemory"
	messageMemoryName = "connections.messagesWithoutMemory"
	slowMessagesName  = "connections.slowMessages"
	slowBodiesName    = "connections.slowBodies"
	unreadBodiesName  = "connections.unreadBodies"
)

// Metrics describes the metrics that the package registers.
var Metrics = []metric.Doc{
	{Name: refusedName, Kind: metric.Counter, Help: "Connections refused at a limit of connections or of memory."},
	{Name: displacedName, Kind: metric.Counter, Help: "Connections without a request in progress closed at a limit in favour of new ones."},
	{Name: manyFieldsName, Kind: metric.Counter, Help: "Requests refused because of the number of their header fields."},
	{Name: headerMemoryName, Kind: metric.Counter, Help: "Requests refused because there was no memory for their header."},
	{Name: messageMemoryName, Kind: metric.Counter, Help: "Connections of other nodes closed because there was no memory for a message."},
	{Name: slowMessagesName, Kind: metric.Counter, Help: "Connections of other nodes closed because a message arrived too slowly."},
	{Name: slowBodiesName, Kind: metric.Counter, Help: "Requests refused because their body arrived too slowly."},
	{Name: unreadBodiesName, Kind: metric.Counter, Help: "Connections closed after a refusal because the body had not been read."},
}

// Counters count what was refused and closed.
type Counters struct {
	Refused, Displaced, ManyFields, HeaderMemory, MessageMemory, SlowMessages, SlowBodies, UnreadBodies metrics.Counter
}

// NewCounters returns the counters of a registry, which may be nil.
func NewCounters(registry metrics.Registry) *Counters {
	registry = metric.OrNew(registry)
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return &Counters{
		Refused: counter(refusedName), Displaced: counter(displacedName), ManyFields: counter(manyFieldsName),
		HeaderMemory: counter(headerMemoryName), MessageMemory: counter(messageMemoryName),
		SlowMessages: counter(slowMessagesName), SlowBodies: counter(slowBodiesName), UnreadBodies: counter(unreadBodiesName),
	}
}

// CountSlowBody counts a request whose body arrived too slowly. Nil counters count nothing.
func (c *Counters) CountSlowBody() {
	if c != nil {
		c.SlowBodies.Inc(1)
	}
}

// CountUnreadBody counts a connection that is closed after a refusal because the body has not been
// read. Nil counters count nothing.
func (c *Counters) CountUnreadBody() {
	if c != nil {
		c.UnreadBodies.Inc(1)
	}
}
