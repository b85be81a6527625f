package lookup

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// DefaultKeepFor is the default time for which callers may use an answer. A draining
// node still receives requests for that time.
const DefaultKeepFor = 10 * time.Second

// Names of the metrics.
const (
	answersName   = "lookup.answers"
	refusalsName  = "lookup.refusals"
	fallbacksName = "lookup.otherRegion"
)

// Metrics describes the metrics that the package registers.
var Metrics = []metric.Doc{
	{Name: answersName, Kind: metric.Counter, Help: "Look-ups answered with addresses."},
	{Name: refusalsName, Kind: metric.Counter, Help: "Look-ups refused because no node could be named."},
	{Name: fallbacksName, Kind: metric.Counter, Help: "Look-ups answered with nodes of another region than asked for."},
}

// Answer is the body of the answer to GET /v1/where.
type Answer struct {
	// Addresses are host:port pairs in order of preference.
	Addresses []string `json:"addresses"`
	// KeepFor is how long the caller may use the answer.
	KeepFor fleet.Duration `json:"keepFor"`
}

// Handler answers GET /v1/where?model=…&region=…. The default of region is the
// handler's Region. Set the exported fields before use.
type Handler struct {
	Region fleet.Region
	// Members returns the live nodes.
	Members func() []member.Info
	// Current reports whether this node's view of the members is up to date. Nil
	// means that it always is.
	Current func() bool
	// Loads returns the load of the nodes. Nil means that all loads are unknown.
	Loads func() Loads
	// SpreadCount returns the number of nodes over which an item is spread. Nil means
	// that no item is hot.
	SpreadCount func(fleet.Item) int
	// KeepFor is how long callers may use an answer; 0 means 10 s.
	KeepFor time.Duration
	Metrics metrics.Registry
}

var _ http.Handler = (*Handler)(nil)

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Current != nil && !h.Current() {
		h.refuse(w, "this node has no contact with the others")
		return
	}
	item := fleet.ParseItem(r.URL.Query().Get("model"))
	region := fleet.Region(r.URL.Query().Get("region"))
	if region == "" {
		region = h.Region
	}
	homes := h.choose(item, region)
	if len(homes) == 0 {
		h.refuse(w, "no node can be named")
		return
	}
	h.count(answersName)
	if homes[0].Region != region {
		h.count(fallbacksName)
	}
	answer := Answer{KeepFor: fleet.Duration(h.keepFor())}
	for _, home := range homes {
		answer.Addresses = append(answer.Addresses, home.CallerAddress)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (h *Handler) choose(item fleet.Item, region fleet.Region) []member.Info {
	var loads Loads
	if h.Loads != nil {
		loads = h.Loads()
	}
	spread := 1
	if h.SpreadCount != nil {
		spread = h.SpreadCount(item)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return Choose(item, region, h.Region, h.Members(), loads, spread, random)
}

func (h *Handler) keepFor() time.Duration {
	if h.KeepFor == 0 {
		return DefaultKeepFor
	}
	return h.KeepFor
}

// refusal is an error body in the format of the OpenAI API.
type refusal struct {
	Error refusalBody `json:"error"`
}

type refusalBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (h *Handler) refuse(w http.ResponseWriter, reason string) {
	h.count(refusalsName)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(refusal{refusalBody{Message: reason, Type: "service_unavailable", Code: "not_named"}})
}

func (h *Handler) count(name string) {
	registry := h.Metrics
	if registry == nil {
		return
	}
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
}
