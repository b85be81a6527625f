package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/node"
	"github.com/guavatrack/guavatrack/internal/operator"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// system is a site of stand-ins with whole nodes before it, all on loopback
// and in this process, and callers that behave as docs/CALLERS.md asks.
type system struct {
	site   *standin.Site
	config standin.SiteConfig
	client *client
	places []fleet.Place
	// number is that of the last ticket.
	number fleet.TicketNumber

	mu      sync.Mutex
	nodes   []*node.Node
	started int
	kept    map[string]keptAnswer
	known   []string
}

// keptAnswer is an answer of the look-up.
type keptAnswer struct {
	addresses []string
	until     time.Time
}

// Times of a system.
const (
	lookupKept   = time.Second
	readyTimeout = 20 * time.Second
	retryPause   = 50 * time.Millisecond
)

// newSystem starts a site and one node for each place and applies the site's
// ticket.
func newSystem(ctx context.Context, config standin.SiteConfig, places []fleet.Place) (s *system, err error) {
	s = &system{config: config, client: newClient(), places: places, kept: make(map[string]keptAnswer)}
	defer func() {
		if err != nil {
			s.close()
			s, err = nil, errors.Wrap(err, "start the system")
		}
	}()
	if s.site, err = standin.StartSite(config); err != nil {
		return s, err
	}
	for range places {
		if err := s.addNode(ctx); err != nil {
			return s, err
		}
	}
	return s, s.apply(ctx, 0)
}

// nodeSettings returns the settings of a node on free loopback ports.
func nodeSettings(place fleet.Place, table, vms string) settings.Settings {
	const anyPort = "127.0.0.1:0"
	given := settings.Defaults()
	given.AllowPlainText, given.Node.Place = true, place
	given.Callers.Listen, given.Operators.Listen, given.Peers.Listen = anyPort, anyPort, anyPort
	given.Table.Endpoint, given.VMList.URL = table, vms+"/vms"
	given.Drain.KeepFor = fleet.Duration(lookupKept)
	return given
}

// addNode starts a node at the next place.
func (s *system) addNode(ctx context.Context) error {
	s.mu.Lock()
	place := s.places[s.started%len(s.places)]
	s.started++
	s.mu.Unlock()
	given := nodeSettings(place, s.site.TableURL, s.site.VMListURL)
	given.WeightStore.LoadsPerSecond = s.config.Store.LoadsPerSecond
	given.WeightStore.Bandwidth = s.config.Store.Rate
	started := node.New(given, slog.New(slog.DiscardHandler))
	if err := started.Start(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.nodes = append(s.nodes, started)
	s.known = append(s.known, started.Addresses().Callers)
	s.mu.Unlock()
	until := time.Now().Add(readyTimeout)
	for {
		err := started.Ready()
		switch {
		case err == nil:
			return nil
		case time.Now().After(until):
			return errors.Wrapf(err, "node not ready within %s", readyTimeout)
		}
		wait.For(ctx, retryPause)
	}
}

// remove forgets a node that is killed or drained. Callers still have its
// address.
func (s *system) remove(gone *node.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = slices.DeleteFunc(s.nodes, func(other *node.Node) bool { return other == gone })
}

// running returns the nodes that run.
func (s *system) running() []*node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.nodes)
}

// apply applies the site's tickets, numbered from the next free number on. The
// timeout of deployments is raised by as much as given, so a reverted ticket is
// seen.
func (s *system) apply(ctx context.Context, raise time.Duration) error {
	for _, change := range s.config.Tickets(s.number+1, "bench") {
		s.number = change.Number
		for _, deployment := range change.Deployments {
			deployment.Timeout += fleet.Duration(raise)
		}
		text, err := json.Marshal(change)
		if err != nil {
			return err
		}
		for _, at := range s.running() {
			admin := operator.Client{URL: "http://" + at.Addresses().Operators, HTTP: s.client.http}
			if _, err = admin.Apply(ctx, text, false); err == nil {
				break
			}
		}
		if err != nil {
			return errors.Wrapf(err, "apply ticket %d", change.Number)
		}
	}
	return nil
}

// where asks the look-up for a model, or returns the kept answer, followed by
// all addresses that the caller ever knew.
func (s *system) where(ctx context.Context, model string) []string {
	s.mu.Lock()
	kept, known := s.kept[model], slices.Clone(s.known)
	s.mu.Unlock()
	if time.Now().After(kept.until) {
		for _, address := range slices.Backward(known) {
			if answer, err := s.lookUp(ctx, address, model); err == nil {
				kept = keptAnswer{answer.Addresses, time.Now().Add(answer.KeepFor.Std())}
				s.mu.Lock()
				s.kept[model] = kept
				s.mu.Unlock()
				break
			}
		}
	}
	all := slices.Clone(kept.addresses)
	for _, address := range slices.Backward(known) {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

func (s *system) lookUp(ctx context.Context, address, model string) (answer lookup.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	response, err := s.client.get(ctx, "http://"+address+"/v1/where?model="+url.QueryEscape(model))
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("look-up: status %d", response.StatusCode)
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// attempt makes one attempt at a call.
type attempt func(ctx context.Context, base string, left time.Duration) Result

// send makes attempts at the nodes that the look-up names until one has an
// answer or an honest refusal. A refusal counts as "not run" only if every
// attempt before it said so too.
func (s *system) send(ctx context.Context, model string, deadline time.Duration, try attempt) (result Result) {
	until := time.Now().Add(deadline)
	maybeRun := false
	for {
		for _, address := range s.where(ctx, model) {
			left := time.Until(until)
			if left <= 0 {
				return result
			}
			result = try(ctx, "http://"+address, left)
			moved := result.Outcome == Refused && (result.Reason == refusal.Draining || result.Reason == "not_named")
			if result.Outcome != Dropped && !moved {
				if maybeRun && result.Run == refusal.NotRun {
					result.Run = refusal.Unknown
				}
				return result
			}
			maybeRun = maybeRun || result.Outcome == Dropped
		}
		wait.For(ctx, retryPause)
	}
}

// chat sends a chat as a good caller does.
func (s *system) chat(ctx context.Context, item fleet.Item, text string, deadline time.Duration) Result {
	return s.send(ctx, item.String(), deadline, func(ctx context.Context, base string, left time.Duration) Result {
		return s.client.chat(ctx, chat{base: base, item: item, text: text, tokens: faultTokens, deadline: left})
	})
}

// Paths of the plain service, as callers and as its servers see them.
const (
	bookingPath   = "/orders/confirmations"
	bookingTarget = "/confirmations"
	stockPath     = "/orders/stock/"
	stockTarget   = "/stock/"
)

// anyName returns a name to look up for a call without a model, so that such
// calls spread over the nodes.
func anyName(reference string) string { return "service-" + reference[:1] }

// book sends a call that must run at most once and checks the reference in the
// answer, which is that of the call's own body.
func (s *system) book(ctx context.Context, body, key string, deadline time.Duration) Result {
	want := standin.Reference(bookingTarget, []byte(body), key)
	return s.send(ctx, anyName(want), deadline, func(ctx context.Context, base string, left time.Duration) Result {
		return s.client.plain(ctx, left, want, func(ctx context.Context) (*http.Response, error) {
			return s.client.post(ctx, base+bookingPath, []byte(body), left, key)
		})
	})
}

// stock sends a look-up that may be repeated.
func (s *system) stock(ctx context.Context, number int, deadline time.Duration) Result {
	want := standin.Reference(fmt.Sprintf("%s%d", stockTarget, number), nil, "")
	return s.send(ctx, anyName(want), deadline, func(ctx context.Context, base string, left time.Duration) Result {
		return s.client.plain(ctx, left, want, func(ctx context.Context) (*http.Response, error) {
			return s.client.get(ctx, fmt.Sprintf("%s%s%d", base, stockPath, number))
		})
	})
}

// jobView is what a caller learns of a job.
type jobView struct {
	ID     string `json:"id"`
	Answer string `json:"answer"`
}

// wholeAnswer is the part of an answer without a stream that is compared.
type wholeAnswer struct {
	Choices []struct {
		Message standin.Message `json:"message"`
	} `json:"choices"`
}

// quotation submits a completion that may wait under a key of its own, polls
// until it has an answer and compares that. It is dropped if it has none within
// jobDeadline.
func (s *system) quotation(ctx context.Context, item fleet.Item, text string) Result {
	message := standin.Message{Role: "user", Content: text}
	body, _ := json.Marshal(chatRequest{item.String(), false, faultTokens, []standin.Message{message}})
	var job jobView
	submitted := s.send(ctx, item.String(), faultDeadline, func(ctx context.Context, base string, left time.Duration) Result {
		return s.client.decode(ctx, left, &job, func(ctx context.Context) (*http.Response, error) {
			return s.client.post(ctx, base+"/v1/batch/chat/completions", body, jobDeadline, text)
		})
	})
	if submitted.Outcome != Answered {
		return submitted
	}
	want := standin.Answer(item, standin.ChatPrompt(message), faultTokens)
	for until := time.Now().Add(jobDeadline); time.Now().Before(until) && ctx.Err() == nil; wait.For(ctx, jobPoll) {
		var answer wholeAnswer
		result := s.send(ctx, "", faultDeadline, func(ctx context.Context, base string, left time.Duration) Result {
			return s.client.decode(ctx, left, &answer, func(ctx context.Context) (*http.Response, error) {
				return s.client.get(ctx, base+"/v1/batch/"+job.ID+"/answer")
			})
		})
		if result.Outcome != Answered || len(answer.Choices) == 0 {
			continue
		}
		if answer.Choices[0].Message.Content != want {
			return Result{Outcome: Wrong}
		}
		return Result{Outcome: Answered}
	}
	return Result{Outcome: Dropped}
}

func (c *client) get(ctx context.Context, target string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, err
	}
	return c.http.Do(request)
}

// plain judges the answer of a plain service by the reference in it.
func (c *client) plain(
	ctx context.Context, deadline time.Duration, want string, do func(context.Context) (*http.Response, error),
) Result {
	var answer standin.ServiceAnswer
	result := c.decode(ctx, deadline, &answer, do)
	if result.Outcome == Answered && answer.Reference != want {
		result.Outcome = Wrong
	}
	return result
}

// decode reads a JSON answer or a refusal.
func (c *client) decode(
	ctx context.Context, deadline time.Duration, into any, do func(context.Context) (*http.Response, error),
) Result {
	ctx, cancel := context.WithTimeout(ctx, deadline+patience)
	defer cancel()
	begun := time.Now()
	response, err := do(ctx)
	if err != nil {
		return Result{Outcome: Dropped}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return refused(response, begun, deadline)
	}
	content, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return Result{Outcome: Dropped}
	case json.Unmarshal(content, into) != nil:
		return Result{Outcome: Wrong}
	default:
		return Result{Outcome: Answered}
	}
}

func (s *system) close() {
	for _, running := range s.running() {
		running.Stop()
	}
	s.client.close()
	if s.site != nil {
		s.site.Close()
	}
}
