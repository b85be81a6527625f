// Package guavatrack is a client for callers of a guavatrack deployment.
//
// It asks any node which nodes to use for a model, keeps the answer for as long
// as the answer says, sends requests to the preferred node and fails over to the
// others. It sends a request again only when that is safe: when nothing was
// sent, when a refusal says "notRun", when the request is idempotent or when it
// carries an idempotency key. Streams that break off are resumed where they
// broke off.
package guavatrack

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// ErrNoNode says that no node could be reached before the deadline. Nothing of
// the request was sent.
var ErrNoNode = errors.New("no node could be reached")

// Client sends requests to a deployment. Its exported fields are set before
// first use. It may be used from several goroutines.
type Client struct {
	// Nodes are addresses of nodes to ask which ones to use, host and port.
	Nodes []string
	// Region is where the caller stands; empty means that of the node asked.
	Region fleet.Region
	// Key authenticates the caller; empty means none.
	Key string
	// HTTP makes the requests; nil means [http.DefaultClient].
	HTTP *http.Client
	// Scheme is "https" unless set.
	Scheme string

	mu   sync.Mutex
	kept map[string]*answer
}

// answer is a kept answer of the look-up.
type answer struct {
	Addresses []string       `json:"addresses"`
	KeepFor   fleet.Duration `json:"keepFor"`
	until     time.Time
}

// Request is one call.
type Request struct {
	Method string
	// Path is the path with its query, such as "/v1/chat/completions".
	Path string
	Body []byte
	// Model is the model or "model:adapter" that the call is for; empty for a
	// plain service.
	Model string
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// IdempotencyKey makes a call that is not idempotent safe to send again. Do
	// makes one up if there is none.
	IdempotencyKey fleet.IdempotencyKey
	// Header is added to the request.
	Header http.Header
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Timing and bounds of a client.
const (
	maxBody       = 16 << 20
	lookupTimeout = 3 * time.Second
	leastPause    = 100 * time.Millisecond
	longestPause  = 5 * time.Second
	// usualTimeout is the deadline of a request whose context has none.
	usualTimeout = time.Minute
	// answerGrace is how much longer than the node the client waits, so that
	// the node's refusal arrives.
	answerGrace = 200 * time.Millisecond
)

// Names of headers.
const (
	requestIDHeader   = "X-Request-Id"
	deadlineHeader    = "X-Deadline-Ms"
	keyHeader         = "Idempotency-Key"
	lastEventIDHeader = "Last-Event-Id"
)

// Do makes a call and returns the whole answer. A refusal is returned as an
// error that refusal.As finds. The call is sent again while that is safe and the
// deadline of the context allows.
func (c *Client) Do(ctx context.Context, request Request) (response Response, err error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	send := newSending(c, request)
	for {
		response, err = send.attempt(ctx)
		if err == nil || !send.again(ctx, err) {
			return response, err
		}
	}
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, set := ctx.Deadline(); set {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, usualTimeout)
}

// sending is one call on its way.
type sending struct {
	*Client
	request Request
	id      string
	tried   int
}

func newSending(c *Client, request Request) *sending {
	if request.IdempotencyKey == "" && !request.Idempotent {
		request.IdempotencyKey = fleet.IdempotencyKey(uuid.NewString())
	}
	return &sending{Client: c, request: request, id: uuid.NewString()}
}

// attempt sends the call once and reads the answer to its end.
func (s *sending) attempt(ctx context.Context) (response Response, err error) {
	answered, err := s.open(ctx, "")
	if err != nil {
		return response, err
	}
	defer func() { _ = answered.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answered.Body, maxBody))
	if err != nil {
		return response, errors.Wrap(err, "read answer")
	}
	return Response{Status: answered.StatusCode, Header: answered.Header, Body: body}, nil
}

// open sends the call to the node whose turn it is and returns its answer
// unless that is a refusal.
func (s *sending) open(ctx context.Context, lastID string) (response *http.Response, err error) {
	addresses, err := s.Where(ctx, s.request.Model)
	if err != nil {
		return nil, err
	}
	address := addresses[s.tried%len(addresses)]
	s.tried++
	message, err := s.message(ctx, address, lastID)
	if err != nil {
		return nil, err
	}
	response, err = s.http().Do(message)
	if err != nil {
		s.forget(s.request.Model)
		return nil, errors.Wrapf(err, "node %s", address)
	}
	if refused := refusalIn(response); refused != nil {
		_ = response.Body.Close()
		if refused.Reason == refusal.Draining {
			s.forget(s.request.Model)
		}
		return nil, refused
	}
	return response, nil
}

func (s *sending) message(ctx context.Context, address, lastID string) (*http.Request, error) {
	target := s.scheme() + "://" + address + s.request.Path
	message, err := http.NewRequestWithContext(ctx, s.request.Method, target, bytes.NewReader(s.request.Body))
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", address)
	}
	// The client decides itself what may be sent again.
	message.GetBody = nil
	for name, values := range s.request.Header {
		message.Header[name] = slices.Clone(values)
	}
	if len(s.request.Body) > 0 && message.Header.Get("Content-Type") == "" {
		message.Header.Set("Content-Type", "application/json")
	}
	message.Header.Set(requestIDHeader, s.id)
	if s.request.IdempotencyKey != "" {
		message.Header.Set(keyHeader, string(s.request.IdempotencyKey))
	}
	if s.Key != "" {
		message.Header.Set("Authorization", "Bearer "+s.Key)
	}
	if lastID != "" {
		message.Header.Set(lastEventIDHeader, lastID)
	}
	if deadline, set := ctx.Deadline(); set {
		left := max(time.Millisecond, time.Until(deadline)-answerGrace)
		message.Header.Set(deadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	}
	return message, nil
}

// refusalIn returns the refusal that an answer is; nil if it is none.
func refusalIn(response *http.Response) *refusal.Refusal {
	if response.Header.Get(refusal.RunHeader) == "" {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	var body refusal.Body
	if err != nil || json.Unmarshal(content, &body) != nil {
		return refusal.New(refusal.OutcomeUnknown, "the refusal could not be read")
	}
	return &refusal.Refusal{
		Reason: body.Error.Code, Message: body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterMs) * time.Millisecond,
	}
}

// again reports whether the call may and should be sent again, after waiting as
// long as the refusal asks for.
func (s *sending) again(ctx context.Context, failure error) bool {
	pause := min(longestPause, leastPause<<min(s.tried, 10))
	pause = time.Duration(rand.Int64N(int64(pause) + 1))
	if refused, is := refusal.As(failure); is {
		if !repeatable(refused) {
			return false
		}
		pause += refused.RetryAfter
	}
	if deadline, set := ctx.Deadline(); set && time.Until(deadline) <= pause {
		return false
	}
	return wait.For(ctx, pause)
}

// repeatable reports whether a refused call may have another end when it is
// sent again. Calls that may have run are repeated as well, since they are
// idempotent or carry a key.
func repeatable(refused *refusal.Refusal) bool {
	switch refused.Reason {
	case refusal.Overloaded, refusal.DeadlineUnreachable, refusal.NoServer, refusal.TableUnavailable,
		refusal.Draining, refusal.ServerFailed:
		return true
	default:
		return false
	}
}

// Where returns the addresses of the nodes to use for a model, the preferred one
// first.
func (c *Client) Where(ctx context.Context, model string) (addresses []string, err error) {
	c.mu.Lock()
	known := c.kept[model]
	c.mu.Unlock()
	if known != nil && time.Now().Before(known.until) {
		return known.Addresses, nil
	}
	candidates := slices.Clone(c.Nodes)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if known != nil {
		candidates = append(slices.Clone(known.Addresses), candidates...)
	}
	err = ErrNoNode
	for _, address := range candidates {
		var found *answer
		if found, err = c.ask(ctx, address, model); err == nil {
			c.keep(model, found)
			return found.Addresses, nil
		}
	}
	return nil, errors.Wrap(ErrNoNode, err.Error())
}

func (c *Client) ask(ctx context.Context, address, model string) (found *answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"model": {model}, "region": {string(c.Region)}}
	target := c.scheme() + "://" + address + "/v1/where?" + query.Encode()
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", address)
	}
	if c.Key != "" {
		message.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := c.http().Do(message)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	found = &answer{}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("node %s: look-up answered %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(found); err != nil {
		return nil, errors.Wrapf(err, "node %s: look-up", address)
	}
	if len(found.Addresses) == 0 {
		return nil, errors.Errorf("node %s: look-up names no node", address)
	}
	return found, nil
}

func (c *Client) keep(model string, found *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept == nil {
		c.kept = make(map[string]*answer)
	}
	found.until = time.Now().Add(found.KeepFor.Std())
	c.kept[model] = found
}

// forget makes the next call ask again, though it still knows whom to ask.
func (c *Client) forget(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.kept[model]; known != nil {
		c.kept[model] = &answer{Addresses: known.Addresses, KeepFor: known.KeepFor}
	}
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func (c *Client) scheme() string {
	if c.Scheme != "" {
		return c.Scheme
	}
	return "https"
}
