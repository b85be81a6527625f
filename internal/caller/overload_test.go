package caller_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/refusal"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// TestOverloadOfEnginesThatRunLessThanIsConfigured offers three and ten times
// what four engines can do. They run 16 requests at once although 64 are
// configured, so the node has to find that out from their lagged reports.
func TestOverloadOfEnginesThatRunLessThanIsConfigured(t *testing.T) {
	small := func(config *standin.EngineConfig) {
		config.TokenRate, config.RequestRate, config.Concurrency = 400, 100, 16
		config.ReportLag = time.Second
	}
	misled := func(node *caller.Server) {
		node.Snapshot = func() *ticket.Snapshot {
			configured := snapshot()
			configured.Deployments[hop].Concurrency = 64
			return configured
		}
	}
	for _, times := range []int{3, 10} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			bubble(t, siteConfig{engines: 4, nodes: 1, engine: small, node: misled}, func(s *site) {
				const capacity, seconds = 80, 10
				var mu sync.Mutex
				var group sync.WaitGroup
				var good, passed [seconds + 3]int
				began := time.Now()
				for at := range times * capacity * seconds {
					time.Sleep(time.Second / time.Duration(times*capacity))
					group.Go(func() {
						body, _ := prompt(fmt.Sprint("request ", at), 20)
						got := s.send(0, http.MethodPost, chatPath, body, "X-Deadline-Ms", "2000")
						second := int(time.Since(began) / time.Second)
						mu.Lock()
						defer mu.Unlock()
						if _, whole := textOf(got.body); whole {
							good[second]++
						} else if runOf(got) != refusal.NotRun {
							passed[second]++
						}
					})
				}
				group.Wait()
				total := 0
				for _, count := range good[2:seconds] {
					total += count
				}
				s.c.Logf("good %v, deadline passed %v", good, passed)
				s.c.Assert(total >= capacity*(seconds-2)*9/10, qt.IsTrue, qt.Commentf("%v", good))
			})
		})
	}
}
