package caller_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// withCluster runs a test on a cluster in virtual time.
func withCluster(t *testing.T, config clusterConfig, run func(*testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(newCluster(t, config)) })
}

func TestStreamSurvivesServerStop(t *testing.T) {
	withCluster(t, clusterConfig{engines: 3, nodes: 1}, func(s *testCluster) {
		var group sync.WaitGroup
		for at := range 9 {
			group.Go(func() { s.chat(0, "which wreath "+strings.Repeat("!", at), 60) })
		}
		time.Sleep(400 * time.Millisecond)
		s.engines[0].Stop()
		group.Wait()
	})
}

func TestStreamSurvivesFailureOfTwoServers(t *testing.T) {
	withCluster(t, clusterConfig{engines: 4, nodes: 1}, func(s *testCluster) {
		var group sync.WaitGroup
		for at := range 8 {
			group.Go(func() { s.chat(0, "which wreath "+strings.Repeat("!", at), 60) })
		}
		time.Sleep(400 * time.Millisecond)
		s.engines[0].Stop()
		s.engines[1].SetFaults(standin.EngineFaults{Faults: standin.Faults{Silence: true}})
		group.Wait()
	})
}

func TestSilentConnectionIsReplacedWithinFiveSeconds(t *testing.T) {
	withCluster(t, clusterConfig{engines: 1, nodes: 1}, func(s *testCluster) {
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				got := s.chat(0, "which hop", 90)
				s.c.Check(got.took < 5*time.Second, qt.IsTrue, qt.Commentf("%s", got.took))
			})
		}
		time.Sleep(500 * time.Millisecond)
		s.engines[0].SetFaults(standin.EngineFaults{Faults: standin.Faults{Silence: true}})
		group.Wait()
	})
}

func TestSlowModelIsNotTreatedAsSilent(t *testing.T) {
	slow := func(config *standin.EngineConfig) { config.RequestRate = 0.7 }
	withCluster(t, clusterConfig{engines: 1, nodes: 1, engine: slow, node: nil}, func(s *testCluster) {
		body, want := chatRequest("slow", 6)
		got := s.send(0, http.MethodPost, chatPath, body, "X-Deadline-Ms", "60000")
		answer, whole := streamText(got.body)
		s.c.Assert(whole, qt.IsTrue)
		s.c.Assert(answer, qt.Equals, want)
	})
}

func TestPoisonRequestCrashesAtMostTwoServers(t *testing.T) {
	withCluster(t, clusterConfig{engines: 8, nodes: 3}, func(s *testCluster) {
		for _, backend := range s.engines {
			backend.SetFaults(standin.EngineFaults{CrashOn: "poison"})
		}
		var group sync.WaitGroup
		for at := range 12 {
			group.Go(func() { s.chat(at%3, "which wreath "+strings.Repeat("!", at), 120) })
		}
		time.Sleep(200 * time.Millisecond)
		body, _ := chatRequest("poison", 10)
		for at := range 6 {
			got := s.send(at%3, http.MethodPost, chatPath, body)
			s.c.Check(got.status, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("%s", got.body))
			if at > 0 {
				s.c.Check(runStatus(got), qt.Equals, refusal.NotRun)
				s.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
			time.Sleep(100 * time.Millisecond)
		}
		group.Wait()
		s.c.Assert(s.crashes(), qt.Equals, 2)
	})
}

func TestPoisonRequestCrashesAtMostTwoServersWithTableDown(t *testing.T) {
	withCluster(t, clusterConfig{engines: 6, nodes: 1}, func(s *testCluster) {
		s.table.SetFaults(standin.TableFaults{Down: true})
		for _, backend := range s.engines {
			backend.SetFaults(standin.EngineFaults{CrashOn: "poison"})
		}
		body, _ := chatRequest("poison", 10)
		for range 5 {
			s.send(0, http.MethodPost, chatPath, body)
		}
		s.c.Assert(s.crashes(), qt.Equals, 2)
	})
}

func TestRequestRunningDuringCrashIsCleared(t *testing.T) {
	withCluster(t, clusterConfig{engines: 3, nodes: 1}, func(s *testCluster) {
		var group sync.WaitGroup
		group.Go(func() { s.chat(0, "innocent", 60) })
		time.Sleep(300 * time.Millisecond)
		for _, backend := range s.engines {
			backend.Crash()
			time.Sleep(20 * time.Millisecond)
			break
		}
		group.Wait()
		for range 3 {
			s.chat(0, "innocent", 10)
		}
	})
}

func TestKeyedCallRunsOnceWhenAnswersAreLost(t *testing.T) {
	withCluster(t, clusterConfig{services: 3, nodes: 2}, func(s *testCluster) {
		for _, service := range s.plain {
			service.SetFaults(standin.Faults{LoseAnswers: 1})
		}
		const body = `{"courier":"monday"}`
		for at := range 6 {
			got := s.send(at%2, http.MethodPost, "/orders/book", body, "Idempotency-Key", "k1")
			s.c.Check(got.status, qt.Equals, http.StatusBadGateway)
			s.c.Check(runStatus(got), qt.Equals, refusal.Unknown)
			time.Sleep(200 * time.Millisecond)
		}
		s.c.Assert(s.runs.Count(standin.Reference("/book", []byte(body), "k1")), qt.Equals, 1)
		s.c.Assert(s.ledger.Violations(), qt.HasLen, 0)
	})
}

func TestKeyedCallSentToTwoNodesRunsOnce(t *testing.T) {
	withCluster(t, clusterConfig{services: 3, nodes: 2}, func(s *testCluster) {
		s.table.SetFaults(standin.TableFaults{Delay: 3 * time.Millisecond, LoseAnswers: 4})
		var group sync.WaitGroup
		for at := range 10 {
			group.Go(func() {
				got := s.send(at%2, http.MethodPost, "/orders/book", `{"a":1}`, "Idempotency-Key", "k1")
				s.c.Check(got.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", got.body))
				s.c.Check(got.body, qt.Contains, `"run":1`)
			})
		}
		group.Wait()
		s.c.Assert(s.ledger.Violations(), qt.HasLen, 0)
	})
}

func TestKeyedCallContinuesAfterCallerDisconnects(t *testing.T) {
	withCluster(t, clusterConfig{services: 1, nodes: 2}, func(s *testCluster) {
		s.plain[0].SetFaults(standin.Faults{Slow: fleet.Duration(time.Second)})
		patient := s.client
		s.client = &http.Client{Transport: patient.Transport, Timeout: 200 * time.Millisecond}
		got := s.send(0, http.MethodPost, "/orders/book", `{"a":1}`, "Idempotency-Key", "k1")
		s.c.Assert(got.err, qt.IsNotNil)
		s.client = patient
		got = s.send(1, http.MethodPost, "/orders/book", `{"a":1}`, "Idempotency-Key", "k1")
		s.c.Assert(got.status, qt.Equals, http.StatusCreated, qt.Commentf("%s", got.body))
		s.c.Assert(s.ledger.Violations(), qt.HasLen, 0)
	})
}

func TestKeyedCallWithTableDownIsRefusedNotRun(t *testing.T) {
	withCluster(t, clusterConfig{services: 1, nodes: 1}, func(s *testCluster) {
		s.table.SetFaults(standin.TableFaults{Down: true})
		got := s.send(0, http.MethodPost, "/orders/book", `{}`, "Idempotency-Key", "k1")
		s.c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(runStatus(got), qt.Equals, refusal.NotRun)
		s.c.Assert(got.header.Get("Retry-After"), qt.Equals, "5")
		s.c.Assert(s.runs.Total(), qt.Equals, 0)
		s.c.Assert(got.took < time.Second, qt.IsTrue)
	})
}

func TestIdempotentCallIsRetriedAtAnotherServer(t *testing.T) {
	withCluster(t, clusterConfig{services: 3, nodes: 1}, func(s *testCluster) {
		s.plain[0].SetFaults(standin.Faults{Down: true})
		for range 20 {
			got := s.send(0, http.MethodGet, "/orders/stock?of=bine", "")
			s.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		}
	})
}

// brokenHeads are beginnings of answers, from the status on, that are none of the protocol.
var brokenHeads = map[string]string{
	"status 000":                      "000 Nothing",
	"blank before the colon":          "200 OK\r\nOdd : a",
	"blank inside a name":             "200 OK\r\nOdd Name: a",
	"blank in the name of the coding": "200 OK\r\nTransfer-Encoding : chunked",
	"control byte in a name":          "200 OK\r\nOd\x01d: a",
}

// TestBrokenHeadIsNoAnswer guards against callers that get bytes as an answer of a service
// although their head is none of the protocol.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, first := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			withCluster(t, clusterConfig{services: 1, nodes: 1}, func(s *testCluster) {
				s.serve("service0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					connection, _, err := http.NewResponseController(w).Hijack()
					s.c.Check(err, qt.IsNil)
					_, _ = io.WriteString(connection, "HTTP/1.1 "+first+"\r\nContent-Length: 6\r\n\r\nbroken")
					s.c.Check(connection.Close(), qt.IsNil)
				}))
				got := s.send(0, http.MethodGet, "/orders/stock?of=bine", "")
				s.c.Check(got.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d %s", got.status, got.body))
				s.c.Check(got.body, qt.Not(qt.Contains), "broken")
			})
		})
	}
}

func TestRequestWithoutServersIsRefusedNotRun(t *testing.T) {
	withCluster(t, clusterConfig{engines: 1, services: 1, nodes: 1}, func(s *testCluster) {
		s.mu.Lock()
		s.hidden[s.engines[0].ID()] = true
		s.mu.Unlock()
		body, _ := chatRequest("x", 1)
		got := s.send(0, http.MethodPost, chatPath, body)
		s.c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(runStatus(got), qt.Equals, refusal.NotRun)
		s.c.Assert(got.took < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestPassedDeadlineIsRefusedWithUnknownOutcome(t *testing.T) {
	withCluster(t, clusterConfig{engines: 1, nodes: 1}, func(s *testCluster) {
		body, _ := chatRequest("x", 600)
		body = strings.Replace(body, `"stream":true`, `"stream":false`, 1)
		got := s.send(0, http.MethodPost, chatPath, body, "X-Deadline-Ms", "1000")
		s.c.Assert(got.status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", got.body))
		s.c.Assert(runStatus(got), qt.Equals, refusal.Unknown)
		s.c.Assert(got.took < 1050*time.Millisecond, qt.IsTrue)
	})
}

func TestOverloadIsRefusedWithoutLossOfGoodput(t *testing.T) {
	limited := func(config *standin.EngineConfig) { config.Concurrency = 8 }
	withCluster(t, clusterConfig{engines: 1, nodes: 1, engine: limited}, func(s *testCluster) {
		// Capacity: 8 concurrent requests of 32 tokens at 60 tokens a second, about
		// 15 requests a second.
		var mu sync.Mutex
		var group sync.WaitGroup
		answered, refused, late := 0, 0, 0
		body, _ := chatRequest("x", 32)
		for range 1500 {
			time.Sleep(time.Second / 150)
			group.Go(func() {
				got := s.send(0, http.MethodPost, chatPath, body, "X-Deadline-Ms", "2000")
				mu.Lock()
				defer mu.Unlock()
				if got.took > 2050*time.Millisecond {
					late++
				}
				if _, whole := streamText(got.body); got.status == http.StatusOK && whole {
					answered++
				} else if runStatus(got) == refusal.NotRun && got.header.Get("Retry-After") != "" {
					refused++
				}
			})
		}
		group.Wait()
		s.c.Logf("answered %d refused %d late %d", answered, refused, late)
		s.c.Assert(late, qt.Equals, 0)
		s.c.Assert(answered > 135, qt.IsTrue, qt.Commentf("%d", answered))
		s.c.Assert(answered+refused >= 1490, qt.IsTrue, qt.Commentf("%d refused", refused))
	})
}
