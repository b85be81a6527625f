package caller_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const jobBody = `{"model":"hop","messages":[{"role":"user","content":"quote a pedal"}]}`

type job struct {
	ID, State, Answer string
}

func submitJob(s *testCluster, node int, key string) (submitted job) {
	got := s.send(node, http.MethodPost, "/v1/batch/chat/completions", jobBody, "Idempotency-Key", key)
	s.c.Assert(got.status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", got.body))
	s.c.Assert(json.Unmarshal([]byte(got.body), &submitted), qt.IsNil)
	return submitted
}

// awaitAnswer polls a job until it has ended and returns its answer.
func awaitAnswer(s *testCluster, node int, id string) result {
	for range 600 {
		got := s.send(node, http.MethodGet, "/v1/batch/"+id+"/answer", "")
		if got.status != http.StatusAccepted && got.status != http.StatusServiceUnavailable {
			return got
		}
		time.Sleep(time.Second)
	}
	s.t.Fatalf("job %s: no answer", id)
	return result{}
}

func expectedJobAnswer() string {
	message := standin.Message{Role: "user", Content: "quote a pedal"}
	return standin.Answer(fleet.Item{Model: hop}, standin.ChatPrompt(message), 0)
}

func TestJobIsAnsweredAtAnotherNode(t *testing.T) {
	withCluster(t, clusterConfig{engines: 1, nodes: 2}, func(s *testCluster) {
		submitted := submitJob(s, 0, "q1")
		s.c.Assert(submitJob(s, 1, "q1").ID, qt.Equals, submitted.ID)
		got := awaitAnswer(s, 1, submitted.ID)
		s.c.Assert(got.status, qt.Equals, http.StatusOK)
		s.c.Assert(got.body, qt.Contains, expectedJobAnswer())
	})
}

func TestJobsSurviveStopOfAllNodesAndServers(t *testing.T) {
	withCluster(t, clusterConfig{engines: 1, nodes: 2}, func(s *testCluster) {
		s.engines[0].Stop()
		ids := make([]string, 0, 20)
		for at := range 20 {
			ids = append(ids, submitJob(s, at%2, fmt.Sprint(at)).ID)
		}
		time.Sleep(5 * time.Second)
		// Both nodes stop and the table is unavailable for a minute; then a new node
		// serves and the engine restarts.
		for range 2 {
			s.cleanups[len(s.cleanups)-1]()
			s.cleanups = s.cleanups[:len(s.cleanups)-1]
		}
		s.table.SetFaults(standin.TableFaults{Down: true})
		s.addNode(2, nil)
		time.Sleep(time.Minute)
		s.table.SetFaults(standin.TableFaults{LoseAnswers: 5})
		s.engines[0].Start()
		for _, id := range ids {
			got := awaitAnswer(s, 2, id)
			s.c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
			s.c.Assert(got.body, qt.Contains, expectedJobAnswer())
		}
	})
}

func TestJobPastItsDeadlineEndsWithRefusal(t *testing.T) {
	withCluster(t, clusterConfig{engines: 0, nodes: 1}, func(s *testCluster) {
		got := s.send(0, http.MethodPost, "/v1/batch/chat/completions", jobBody, "X-Deadline-Ms", "30000")
		var submitted job
		s.c.Assert(json.Unmarshal([]byte(got.body), &submitted), qt.IsNil)
		s.c.Assert(awaitAnswer(s, 0, submitted.ID).status, qt.Equals, http.StatusGatewayTimeout)
	})
}

func TestJobWithTableDownIsRefusedNotRun(t *testing.T) {
	withCluster(t, clusterConfig{engines: 1, nodes: 1}, func(s *testCluster) {
		s.table.SetFaults(standin.TableFaults{Down: true})
		got := s.send(0, http.MethodPost, "/v1/batch/chat/completions", jobBody)
		s.c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(string(runStatus(got)), qt.Equals, "notRun")
	})
}
