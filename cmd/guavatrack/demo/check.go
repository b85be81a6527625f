package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/cli"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// step is one step of the check. Its run function returns a description of what
// it observed.
type step struct {
	name string
	run  func(ctx context.Context, sys *system) (seen string, err error)
}

// steps lists the steps in the order in which they run. A step relies on the
// models that earlier steps loaded.
var steps = []step{
	{"cold start", coldStart},
	{"warm request", warmRequest},
	{"stream", streamedAnswer},
	{"adapter", adapterRequest},
	{"idempotent look-up", idempotentLookUp},
	{"booking sent twice with one key", bookTwice},
	{"idle model unloaded", idleUnload},
	{"drain without a cut", drainUnderLoad},
	{"promises kept", noViolations},
}

// outcome is the result of one step, a row of the printed table.
type outcome struct {
	Step string `json:"step"`
	Held bool   `json:"held"`
	Seen string `json:"seen"`
	Took string `json:"took"`
}

// errStepFailed is returned if a step of the check failed.
var errStepFailed = errors.New("a step did not hold")

// check drives the demonstration and prints what happened.
func check(ctx context.Context, app *cli.App, sys *system) error {
	outcomes := make([]outcome, 0, len(steps))
	held := true
	for _, step := range steps {
		begun := time.Now()
		seen, err := step.run(ctx, sys)
		if err != nil {
			seen = err.Error()
			held = false
		}
		took := time.Since(begun).Round(time.Millisecond).String()
		outcomes = append(outcomes, outcome{Step: step.name, Held: err == nil, Seen: seen, Took: took})
	}
	err := app.Print(outcomes, func(t *cli.Table) {
		t.Row("STEP", "HELD", "TOOK", "SEEN")
		for _, row := range outcomes {
			t.Row(row.Step, row.Held, row.Took, row.Seen)
		}
	})
	if err != nil {
		return err
	}
	if !held {
		return errStepFailed
	}
	return nil
}

const maxTokens = 12

// completion is the part of an answer that the check reads.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func chatBody(model, prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		model, stream, maxTokens, prompt)
}

// wantAnswer returns the complete answer that the stand-in gives to a prompt.
func wantAnswer(model, prompt string) string {
	return standin.Answer(fleet.ParseItem(model),
		standin.ChatPrompt(standin.Message{Role: "user", Content: prompt}), maxTokens)
}

// send sends a request to the node with index at and returns the complete body.
// It fails if the status is not 2xx.
func (sys *system) send(
	ctx context.Context, at int, method, path, body string, header http.Header,
) (text []byte, err error) {
	address := "http://" + sys.nodes[at].Addresses().Callers + path
	request, err := http.NewRequestWithContext(ctx, method, address, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := sys.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(response.Body)
	if err == nil && response.StatusCode/100 != 2 {
		err = errors.Errorf("%s: %s", response.Status, bytes.TrimSpace(text))
	}
	return text, err
}

// chat requests a completion and compares it with the expected answer.
func (sys *system) chat(ctx context.Context, at int, model, prompt string) error {
	text, err := sys.send(ctx, at, http.MethodPost, "/v1/chat/completions", chatBody(model, prompt, false), nil)
	if err != nil {
		return err
	}
	var answer completion
	if err := json.Unmarshal(text, &answer); err != nil || len(answer.Choices) != 1 {
		return errors.Errorf("answer %q: %v", text, err)
	}
	if got := answer.Choices[0].Message.Content; got != wantAnswer(model, prompt) {
		return errors.Errorf("answer %q, want %q", got, wantAnswer(model, prompt))
	}
	return nil
}

func coldStart(ctx context.Context, sys *system) (string, error) {
	if err := sys.chat(ctx, 0, "hop-advisor", "a wreath for a door"); err != nil {
		return "", err
	}
	return "hop-advisor was loaded for the first request", sys.chat(ctx, 2, "pedal-diagnosis", "it squeaks")
}

func warmRequest(ctx context.Context, sys *system) (string, error) {
	for at := range sys.nodes {
		if err := sys.chat(ctx, at, "hop-advisor", fmt.Sprintf("warm %d", at)); err != nil {
			return "", err
		}
	}
	return "whole answers at all nodes", nil
}

func streamedAnswer(ctx context.Context, sys *system) (string, error) {
	const prompt = "a wreath for a table"
	text, err := sys.send(ctx, 1, http.MethodPost, "/v1/chat/completions", chatBody("hop-advisor", prompt, true), nil)
	if err != nil {
		return "", err
	}
	var got strings.Builder
	events := 0
	for line := range strings.Lines(string(text)) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found || data == "[DONE]" {
			continue
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", errors.Wrapf(err, "event %q", data)
		}
		if len(chunk.Choices) > 0 {
			got.WriteString(chunk.Choices[0].Delta.Content)
		}
		events++
	}
	if got.String() != wantAnswer("hop-advisor", prompt) {
		return "", errors.Errorf("stream %q, want %q", got.String(), wantAnswer("hop-advisor", prompt))
	}
	return fmt.Sprintf("%d events, the whole answer", events), nil
}

func adapterRequest(ctx context.Context, sys *system) (string, error) {
	return "hop-advisor:brewery was loaded on its base", sys.chat(ctx, 1, "hop-advisor:brewery", "hops")
}

func idempotentLookUp(ctx context.Context, sys *system) (string, error) {
	text, err := sys.send(ctx, 0, http.MethodGet, "/orders/stock/bines", "", nil)
	if err != nil {
		return "", err
	}
	var answer standin.ServiceAnswer
	if err := json.Unmarshal(text, &answer); err != nil {
		return "", errors.Wrapf(err, "answer %q", text)
	}
	return "order-desk answered " + answer.Path, nil
}

func bookTwice(ctx context.Context, sys *system) (string, error) {
	header := http.Header{standin.IdempotencyHeader: {"booking-1"}}
	before := sys.site.Runs.Total()
	var answers [2]standin.ServiceAnswer
	for i := range answers {
		text, err := sys.send(ctx, 2*i, http.MethodPost, "/repairs/bookings", `{"pedal":"left"}`, header)
		if err != nil {
			return "", err
		}
		if err := json.Unmarshal(text, &answers[i]); err != nil {
			return "", errors.Wrapf(err, "answer %q", text)
		}
	}
	if answers[0] != answers[1] {
		return "", errors.Errorf("answers differ: %v and %v", answers[0], answers[1])
	}
	if ran := sys.site.Runs.Total() - before; ran != 1 || answers[0].Run != 1 {
		return "", errors.Errorf("ran %d bookings, run %d", ran, answers[0].Run)
	}
	return "ran once, both got the one answer, at two nodes", nil
}

const (
	idleLimit = 40 * time.Second
	idlePoll  = 200 * time.Millisecond
)

// idleUnload loads a model that is not worth keeping loaded while idle at its
// prices, and waits until it is unloaded. It fails after idleLimit.
func idleUnload(ctx context.Context, sys *system) (string, error) {
	if err := sys.chat(ctx, 0, "catalogue-summary", "spring"); err != nil {
		return "", err
	}
	begun := time.Now()
	client := &operator.Client{URL: "http://" + sys.nodes[0].Addresses().Operators, HTTP: sys.http}
	for time.Since(begun) < idleLimit {
		status, err := client.ItemStatus(ctx, "catalogue-summary")
		if err != nil {
			return "", err
		}
		if len(status.Replicas) == 0 {
			return fmt.Sprintf("catalogue-summary gone %s after its answer", time.Since(begun).Round(time.Second)), nil
		}
		time.Sleep(idlePoll)
	}
	return "", errors.Errorf("still loaded after %s", idleLimit)
}

const (
	drainClients = 4
	drainLimit   = 30 * time.Second
)

// drainUnderLoad drains the second node while it serves requests of callers that
// choose their node by look-up, and checks that no request is cut off.
func drainUnderLoad(ctx context.Context, sys *system) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var counts [drainClients]int
	var failures [drainClients]error
	for i := range drainClients {
		clients.Go(func() { counts[i], failures[i] = sys.requestUntilStopped(ctx, i, stop) })
	}
	report, err := sys.nodes[1].Drain(ctx)
	close(stop)
	clients.Wait()
	if err := errors.Join(err, errors.Join(failures[:]...)); err != nil {
		return "", err
	}
	if report.CutOff != 0 {
		return "", errors.Errorf("%d requests cut off", report.CutOff)
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	return fmt.Sprintf("%d requests answered meanwhile, 0 cut off", total), nil
}

// requestUntilStopped sends requests to the address that the look-up returns,
// until stop is closed. It repeats the look-up when the validity period of the
// last answer has expired. It returns the number of requests answered.
func (sys *system) requestUntilStopped(ctx context.Context, client int, stop <-chan struct{}) (int, error) {
	var address string
	var until time.Time
	for count := 0; ; count++ {
		select {
		case <-stop:
			return count, nil
		default:
		}
		if time.Now().After(until) {
			var err error
			if address, until, err = sys.lookUpAddress(ctx); err != nil {
				return count, err
			}
		}
		prompt := fmt.Sprintf("client %d request %d", client, count)
		at := sys.nodeIndex(address)
		if err := sys.chat(ctx, at, "hop-advisor", prompt); err != nil {
			return count, errors.Wrapf(err, "request %d at %s", count, address)
		}
	}
}

// lookUpAddress looks up an address at the last node, which is not drained, and
// returns it with the time at which it expires.
func (sys *system) lookUpAddress(ctx context.Context) (address string, until time.Time, err error) {
	asked := time.Now()
	last := len(sys.nodes) - 1
	text, err := sys.send(ctx, last, http.MethodGet, "/v1/where?model=hop-advisor&region=bohemia-west", "", nil)
	if err != nil {
		return "", time.Time{}, err
	}
	var answer struct {
		Addresses []string       `json:"addresses"`
		KeepFor   fleet.Duration `json:"keepFor"`
	}
	if err := json.Unmarshal(text, &answer); err != nil || len(answer.Addresses) == 0 {
		return "", time.Time{}, errors.Errorf("look-up answered %q: %v", text, err)
	}
	return answer.Addresses[0], asked.Add(answer.KeepFor.Std()), nil
}

func (sys *system) nodeIndex(address string) int {
	for i, each := range sys.nodes {
		if each.Addresses().Callers == address {
			return i
		}
	}
	return 0
}

func noViolations(_ context.Context, sys *system) (string, error) {
	if found := sys.site.Violations(); len(found) > 0 {
		return "", errors.Errorf("%d broken: %v", len(found), found[0])
	}
	return "no stand-in saw one broken", nil
}
