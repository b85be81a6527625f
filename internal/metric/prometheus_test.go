package metric_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/guavatrack/guavatrack/internal/metric"
)

func TestHandlerWritesEveryKind(t *testing.T) {
	c := qt.New(t)
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.refused", registry).Inc(3)
	metrics.GetOrRegisterGauge("members.live", registry).Update(7)
	metrics.GetOrRegisterHistogram("requests.waitMs", registry, metrics.NewUniformSample(8)).Update(5)
	response := httptest.NewRecorder()
	docs := []metric.Doc{{Name: "members.live", Kind: metric.Gauge, Help: "Live nodes."}}
	metric.Handler(registry, docs).ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Assert(response.Body.String(), qt.Equals, `# HELP guavatrack_members_live Live nodes.
# TYPE guavatrack_members_live gauge
guavatrack_members_live 7
# TYPE guavatrack_requests_refused counter
guavatrack_requests_refused 3
# TYPE guavatrack_requests_waitMs summary
guavatrack_requests_waitMs{quantile="0.5"} 5
guavatrack_requests_waitMs{quantile="0.95"} 5
guavatrack_requests_waitMs{quantile="0.99"} 5
guavatrack_requests_waitMs{quantile="0.999"} 5
guavatrack_requests_waitMs_sum 5
guavatrack_requests_waitMs_count 1
`)
}
