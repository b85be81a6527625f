package standin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

type rig struct {
	c      *qt.C
	engine *standin.Engine
	ledger *standin.Ledger
	url    string
}

func newRig(t *testing.T, edit func(*standin.EngineConfig)) rig {
	c := qt.New(t)
	config := standin.DefaultEngine()
	config.Ledger = standin.NewLedger()
	config.TokenRate, config.RequestRate, config.PrefillRate = 0, 0, 0
	config.MemoryRate, config.ReportLag, config.RestartTime = 64*fleet.TiB, 0, time.Millisecond
	config.Store = standin.NewWeightStore(standin.WeightStoreConfig{FullSpeed: 4, Rate: 64 * fleet.TiB})
	if edit != nil {
		edit(&config)
	}
	made := standin.NewEngine(config)
	server, err := standin.Serve("127.0.0.1:0", made)
	c.Assert(err, qt.IsNil)
	t.Cleanup(server.Close)
	return rig{c, made, config.Ledger, "http://" + server.Address}
}

func (r rig) do(method, path string, body any, header ...string) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	r.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	r.c.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, r.url+path, bytes.NewReader(encoded))
	r.c.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return (&http.Client{Transport: &http.Transport{}}).Do(request)
}

func (r rig) status(method, path string, body any) int {
	answer, err := r.do(method, path, body)
	r.c.Assert(err, qt.IsNil)
	_ = answer.Body.Close()
	return answer.StatusCode
}

func (r rig) report() engine.Report {
	answer, err := r.do("GET", "/admin/report", nil)
	r.c.Assert(err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	var report engine.Report
	r.c.Assert(json.NewDecoder(answer.Body).Decode(&report), qt.IsNil)
	return report
}

// waitFor polls the report until the condition holds.
func (r rig) waitFor(holds func(engine.Report) bool) engine.Report {
	for range 5000 {
		if report := r.report(); holds(report) {
			return report
		}
		time.Sleep(time.Millisecond)
	}
	r.c.Fatal("the report never came")
	return engine.Report{}
}

func order(item string, grant fleet.GrantID, fencing fleet.FencingNumber) engine.LoadOrder {
	return engine.LoadOrder{Item: fleet.ParseItem(item), Version: "1", Size: 8 * fleet.GiB, Grant: grant, Fencing: fencing}
}

func (r rig) load(item string, grant fleet.GrantID) {
	r.c.Assert(r.status("POST", "/admin/load", order(item, grant, 1)), qt.Equals, http.StatusAccepted)
	r.waitFor(func(report engine.Report) bool {
		for _, held := range report.Held {
			if held.Grant == grant {
				return held.State == engine.Ready
			}
		}
		return false
	})
}

func chat(model, text string, stream bool) map[string]any {
	return map[string]any{
		"model": model, "stream": stream, "max_tokens": 5,
		"messages": []standin.Message{{Role: "user", Content: text}},
	}
}

func read(c *qt.C, answer *http.Response) (text string, ids []string, done bool) {
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		line := lines.Text()
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, id)
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found || data == "[DONE]" {
			done = done || found
			continue
		}
		var chunk struct {
			Choices []struct{ Delta standin.Message }
		}
		c.Assert(json.Unmarshal([]byte(data), &chunk), qt.IsNil)
		text += chunk.Choices[0].Delta.Content
	}
	return text, ids, done
}

func TestEngineStreamsAndResumes(t *testing.T) {
	r := newRig(t, nil)
	r.c.Assert(r.status("POST", "/v1/chat/completions", chat("hop", "bine?", false)), qt.Equals, http.StatusNotFound)
	r.load("hop", "g1")
	want := standin.Answer(fleet.ParseItem("hop"), standin.ChatPrompt(standin.Message{Role: "user", Content: "bine?"}), 5)

	answer, err := r.do("POST", "/v1/chat/completions", chat("hop", "bine?", true), engine.RequestIDHeader, "r1")
	r.c.Assert(err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	text, ids, done := read(r.c, answer)
	r.c.Assert(text, qt.Equals, want)
	r.c.Assert(ids[0], qt.Equals, "r1/0")
	r.c.Assert(done, qt.IsTrue)

	answer, err = r.do("POST", "/v1/chat/completions", chat("hop", "bine?", true),
		engine.RequestIDHeader, "r1", engine.LastEventIDHeader, "r1/2")
	r.c.Assert(err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	rest, ids, _ := read(r.c, answer)
	r.c.Assert(strings.HasSuffix(want, rest) && rest != want, qt.IsTrue)
	r.c.Assert(ids[0], qt.Equals, "r1/3")

	answer, err = r.do("POST", "/v1/chat/completions", chat("hop", "bine?", true),
		engine.RequestIDHeader, "r2", engine.LastEventIDHeader, "r1/2")
	r.c.Assert(err, qt.IsNil)
	_ = answer.Body.Close()
	r.c.Assert(answer.StatusCode, qt.Equals, http.StatusBadRequest)
}

func TestEngineAnswersWholeWithUsage(t *testing.T) {
	r := newRig(t, nil)
	r.load("hop", "g1")
	answer, err := r.do("POST", "/v1/chat/completions", chat("hop", "cone", false))
	r.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(answer.Body)
	r.c.Assert(err, qt.IsNil)
	_ = answer.Body.Close()
	var whole struct {
		Choices []struct{ Message standin.Message }
		Usage   struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	r.c.Assert(json.Unmarshal(body, &whole), qt.IsNil)
	want := standin.Answer(fleet.ParseItem("hop"), "user: cone\n", 5)
	r.c.Assert(whole.Choices[0].Message.Content, qt.Equals, want)
	r.c.Assert(whole.Usage.CompletionTokens, qt.Equals, 5)
}

func TestEngineFencing(t *testing.T) {
	for name, test := range map[string]struct {
		checks, ignores bool
		status          int
	}{
		"checked": {true, false, http.StatusConflict},
		"never":   {false, false, http.StatusAccepted},
		"ignored": {true, true, http.StatusAccepted},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(config *standin.EngineConfig) { config.ChecksFencing = test.checks })
			r.engine.SetFaults(standin.EngineFaults{IgnoreFencing: test.ignores})
			r.c.Assert(r.status("POST", "/admin/fence", engine.FenceOrder{Fencing: 7}), qt.Equals, http.StatusAccepted)
			r.c.Assert(r.status("POST", "/admin/load", order("hop", "g1", 6)), qt.Equals, test.status)
		})
	}
}

func TestEngineRecordsOvercommitAndExtraReplicas(t *testing.T) {
	r := newRig(t, func(config *standin.EngineConfig) { config.Memory = 12 * fleet.GiB })
	r.ledger.Decide(fleet.ParseItem("hop"), 1)
	r.load("hop", "g1")
	r.load("hop", "g2")
	r.c.Assert(r.ledger.Count(standin.MemoryViolation), qt.Equals, 1)
	r.c.Assert(r.ledger.Count(standin.ReplicaViolation), qt.Equals, 1)
	r.c.Assert(r.status("POST", "/admin/unload", engine.UnloadOrder{Grant: "g2", Fencing: 1}), qt.Equals, http.StatusAccepted)
	r.waitFor(func(report engine.Report) bool { return len(report.Held) == 1 })
}

func TestEngineCrashLosesEverything(t *testing.T) {
	r := newRig(t, nil)
	r.load("hop", "g1")
	r.load("hop:style", "g2")
	before := r.report().Boot
	r.engine.SetFaults(standin.EngineFaults{CrashOn: "poison"})
	_, err := r.do("POST", "/v1/chat/completions", chat("hop", "a poison prompt", true))
	r.c.Assert(err, qt.IsNotNil)
	r.c.Assert(r.engine.Crashes(), qt.Equals, 1)
	for range 5000 {
		answer, err := r.do("GET", "/admin/ping", nil)
		if err == nil {
			_ = answer.Body.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	report := r.report()
	r.c.Assert(report.Held, qt.HasLen, 0)
	r.c.Assert(report.Boot, qt.Not(qt.Equals), before)
}

func TestEngineSilentConnectionHangsWhileNewOnesWork(t *testing.T) {
	r := newRig(t, func(config *standin.EngineConfig) { config.RequestRate = 50 })
	r.load("hop", "g1")
	answer, err := r.do("POST", "/v1/chat/completions", chat("hop", "silence", true))
	r.c.Assert(err, qt.IsNil)
	first := make([]byte, 1)
	_, err = io.ReadFull(answer.Body, first)
	r.c.Assert(err, qt.IsNil)
	r.engine.SetFaults(standin.EngineFaults{Faults: standin.Faults{Silence: true}})
	r.c.Assert(r.status("GET", "/admin/ping", nil), qt.Equals, http.StatusNoContent)
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, answer.Body)
		close(ended)
	}()
	select {
	case <-ended:
		r.c.Fatal("a silent connection went on")
	case <-time.After(300 * time.Millisecond):
	}
	_ = answer.Body.Close()
	<-ended
}
