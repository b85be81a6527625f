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

// TestOverloadWithOverstatedConcurrency offers three and ten times the capacity of
// four engines. They run 16 requests concurrently although 64 are configured, so
// the node has to derive the limit from their delayed reports.
func TestOverloadWithOverstatedConcurrency(t *testing.T) {
	small := func(config *standin.EngineConfig) {
		config.TokenRate, config.RequestRate, config.Concurrency = 400, 100, 16
		config.ReportLag = time.Second
	}
	overstated := func(node *caller.Server) {
		node.Snapshot = func() *ticket.Snapshot {
			configured := snapshot()
			configured.Deployments[hop].Concurrency = 64
			return configured
		}
	}
	for _, times := range []int{3, 10} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			withCluster(t, clusterConfig{engines: 4, nodes: 1, engine: small, node: overstated}, func(s *testCluster) {
				const capacity, seconds = 80, 10
				var mu sync.Mutex
				var group sync.WaitGroup
				var answered, unknown [seconds + 3]int
				began := time.Now()
				for at := range times * capacity * seconds {
					time.Sleep(time.Second / time.Duration(times*capacity))
					group.Go(func() {
						body, _ := chatRequest(fmt.Sprint("request ", at), 20)
						got := s.send(0, http.MethodPost, chatPath, body, "X-Deadline-Ms", "2000")
						second := int(time.Since(began) / time.Second)
						mu.Lock()
						defer mu.Unlock()
						if _, whole := streamText(got.body); whole {
							answered[second]++
						} else if runStatus(got) != refusal.NotRun {
							unknown[second]++
						}
					})
				}
				group.Wait()
				total := 0
				for _, count := range answered[2:seconds] {
					total += count
				}
				s.c.Logf("good %v, deadline passed %v", answered, unknown)
				s.c.Assert(total >= capacity*(seconds-2)*9/10, qt.IsTrue, qt.Commentf("%v", answered))
			})
		})
	}
}
