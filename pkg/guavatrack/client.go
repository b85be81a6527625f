// Package guavatrack is a client for callers of a guavatrack deployment.
//
// A [Client] looks up at any node which nodes to use for a model, caches the
// result for the time given in it, sends requests to the preferred node and fails
// over to the others. It retries a request only when that is safe: when nothing
// was sent, when a refusal has the run "notRun", when the request is idempotent
// or when it carries an idempotency key. Interrupted streams are resumed after
// the last event received.
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

	"github.com/guavatrack/guavatrack/internal/http1"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// ErrNoNode reports that the look-up of nodes failed at every known node. The
// attempt in question sent nothing of the request.
var ErrNoNode = errors.New("no node could be reached")

// Client sends requests to a deployment. Its exported fields must not be modified
// after first use. It is safe for concurrent use.
type Client struct {
	// Nodes lists the addresses, "host:port", of nodes for the look-up.
	Nodes []string
	// Region is the caller's region; empty means that of the node that answers
	// the look-up.
	Region fleet.Region
	// Key is the caller's bearer token; empty means none.
	Key string
	// HTTP sends the requests; nil means a client like [http.DefaultClient]. If its transport
	// is one of net/http, a copy of that is used, which takes no broken answer for a whole one.
	HTTP *http.Client
	// Scheme is the URL scheme; empty means "https".
	Scheme string

	// checked is HTTP with the transport that is used; set by setUp.
	checked http.Client
	setUp   sync.Once

	mu            sync.Mutex
	cachedLookups map[string]*lookupResult
}

// lookupResult is a cached answer of the look-up of nodes.
type lookupResult struct {
	Addresses []string       `json:"addresses"`
	KeepFor   fleet.Duration `json:"keepFor"`
	expiresAt time.Time
}

// Request is one call to a model or a plain service.
type Request struct {
	Method string
	// Path is the path with its query, such as "/v1/chat/completions".
	Path string
	Body []byte
	// Model is the model or "model:adapter" that the call is for; empty for a
	// plain service.
	Model string
	// Idempotent reports whether the call may run more than once.
	Idempotent bool
	// IdempotencyKey makes a call that is not idempotent safe to retry. If it is
	// empty, Do generates one for such a call.
	IdempotencyKey fleet.IdempotencyKey
	// Header is added to the request. Except for Content-Type, headers that the
	// client sets itself take precedence.
	Header http.Header
}

// Response is a complete answer. A body of more than 16 MiB is cut off at that
// length.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Timeouts and limits of a client.
const (
	maxBodyBytes  = 16 << 20
	lookupTimeout = 3 * time.Second
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// defaultTimeout applies to a request whose context has no deadline.
	defaultTimeout = time.Minute
	// refusalMargin is the time by which the deadline sent to the node precedes
	// that of the client, so that the node's refusal arrives in time.
	refusalMargin = 200 * time.Millisecond
)

// Names of headers.
const (
	requestIDHeader   = "X-Request-Id"
	deadlineHeader    = "X-Deadline-Ms"
	keyHeader         = "Idempotency-Key"
	lastEventIDHeader = "Last-Event-Id"
)

// Do sends a call and returns the complete answer. A refusal is returned as an
// error that [refusal.As] finds. The call is retried while that is safe and the
// deadline of the context allows; without a deadline, Do gives up after 1 min.
func (c *Client) Do(ctx context.Context, request Request) (response Response, err error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	call := newOutgoingCall(c, request)
	for {
		response, err = call.attempt(ctx)
		if err == nil || !call.waitForRetry(ctx, err) {
			return response, err
		}
	}
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, set := ctx.Deadline(); set {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// outgoingCall is one call with its request id and the number of attempts so far.
type outgoingCall struct {
	*Client
	request  Request
	id       string
	attempts int
}

func newOutgoingCall(c *Client, request Request) *outgoingCall {
	if request.IdempotencyKey == "" && !request.Idempotent {
		request.IdempotencyKey = fleet.IdempotencyKey(uuid.NewString())
	}
	return &outgoingCall{Client: c, request: request, id: uuid.NewString()}
}

// attempt sends the call once and reads the complete answer.
func (s *outgoingCall) attempt(ctx context.Context) (response Response, err error) {
	httpResponse, err := s.open(ctx, "")
	if err != nil {
		return response, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBodyBytes))
	if err != nil {
		return response, errors.Wrap(err, "read answer")
	}
	return Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Body: body}, nil
}

// open sends the call to the next node in turn and returns the HTTP response,
// whose body is still to be read. A refusal is returned as an error.
func (s *outgoingCall) open(ctx context.Context, lastID string) (response *http.Response, err error) {
	addresses, err := s.Where(ctx, s.request.Model)
	if err != nil {
		return nil, err
	}
	address := addresses[s.attempts%len(addresses)]
	s.attempts++
	httpRequest, err := s.newHTTPRequest(ctx, address, lastID)
	if err != nil {
		return nil, err
	}
	response, err = s.http().Do(httpRequest)
	if err != nil {
		s.expireLookup(s.request.Model)
		return nil, errors.Wrapf(err, "node %s", address)
	}
	if refused := readRefusal(response); refused != nil {
		_ = response.Body.Close()
		if refused.Reason == refusal.Draining {
			s.expireLookup(s.request.Model)
		}
		return nil, refused
	}
	return response, nil
}

func (s *outgoingCall) newHTTPRequest(ctx context.Context, address, lastID string) (*http.Request, error) {
	target := s.scheme() + "://" + address + s.request.Path
	httpRequest, err := http.NewRequestWithContext(ctx, s.request.Method, target, bytes.NewReader(s.request.Body))
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", address)
	}
	// Prevent net/http from resending the body: the client decides on retries.
	httpRequest.GetBody = nil
	for name, values := range s.request.Header {
		httpRequest.Header[name] = slices.Clone(values)
	}
	if len(s.request.Body) > 0 && httpRequest.Header.Get("Content-Type") == "" {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	httpRequest.Header.Set(requestIDHeader, s.id)
	if s.request.IdempotencyKey != "" {
		httpRequest.Header.Set(keyHeader, string(s.request.IdempotencyKey))
	}
	if s.Key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+s.Key)
	}
	if lastID != "" {
		httpRequest.Header.Set(lastEventIDHeader, lastID)
	}
	if deadline, set := ctx.Deadline(); set {
		left := max(time.Millisecond, time.Until(deadline)-refusalMargin)
		httpRequest.Header.Set(deadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	}
	return httpRequest, nil
}

// readRefusal decodes the refusal in an HTTP response, or returns nil if the
// response is no refusal.
func readRefusal(response *http.Response) *refusal.Refusal {
	if response.Header.Get(refusal.RunHeader) == "" {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	var body refusal.Body
	if err != nil || json.Unmarshal(content, &body) != nil {
		return refusal.New(refusal.OutcomeUnknown, "the refusal could not be read")
	}
	return &refusal.Refusal{
		Reason: body.Error.Code, Message: body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterMs) * time.Millisecond,
	}
}

// waitForRetry waits before the next attempt and reports whether to make it. The
// wait is a random back-off plus the refusal's RetryAfter. It returns false if
// the refusal is final or if the wait would pass the context's deadline.
func (s *outgoingCall) waitForRetry(ctx context.Context, failure error) bool {
	delay := min(maxRetryDelay, minRetryDelay<<min(s.attempts, 10))
	delay = time.Duration(rand.Int64N(int64(delay) + 1))
	if refused, is := refusal.As(failure); is {
		if !retryable(refused) {
			return false
		}
		delay += refused.RetryAfter
	}
	if deadline, set := ctx.Deadline(); set && time.Until(deadline) <= delay {
		return false
	}
	return wait.For(ctx, delay)
}

// retryable reports whether a refused call may succeed if it is retried. Calls
// that may have run are retried as well, since they are idempotent or carry an
// idempotency key.
func retryable(refused *refusal.Refusal) bool {
	switch refused.Reason {
	case refusal.Overloaded, refusal.DeadlineUnreachable, refusal.NoServer, refusal.TableUnavailable,
		refusal.Draining, refusal.ServerFailed:
		return true
	default:
		return false
	}
}

// Where returns the addresses, "host:port", of the nodes to use for a model, the
// preferred one first; the model is empty for a plain service. The result comes
// from the cache or, if that has expired, from a node, and must not be modified.
// The error wraps [ErrNoNode] if no node answered.
func (c *Client) Where(ctx context.Context, model string) (addresses []string, err error) {
	c.mu.Lock()
	cached := c.cachedLookups[model]
	c.mu.Unlock()
	if cached != nil && time.Now().Before(cached.expiresAt) {
		return cached.Addresses, nil
	}
	candidates := slices.Clone(c.Nodes)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if cached != nil {
		candidates = append(slices.Clone(cached.Addresses), candidates...)
	}
	err = ErrNoNode
	for _, address := range candidates {
		var found *lookupResult
		if found, err = c.lookUp(ctx, address, model); err == nil {
			c.cacheLookup(model, found)
			return found.Addresses, nil
		}
	}
	return nil, errors.Wrap(ErrNoNode, err.Error())
}

func (c *Client) lookUp(ctx context.Context, address, model string) (found *lookupResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"model": {model}, "region": {string(c.Region)}}
	target := c.scheme() + "://" + address + "/v1/where?" + query.Encode()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", address)
	}
	if c.Key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := c.http().Do(httpRequest)
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	found = &lookupResult{}
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

func (c *Client) cacheLookup(model string, found *lookupResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cachedLookups == nil {
		c.cachedLookups = make(map[string]*lookupResult)
	}
	found.expiresAt = time.Now().Add(found.KeepFor.Std())
	c.cachedLookups[model] = found
}

// expireLookup makes the next call repeat the look-up. The addresses stay cached
// as candidates for it.
func (c *Client) expireLookup(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.cachedLookups[model]; cached != nil {
		c.cachedLookups[model] = &lookupResult{Addresses: cached.Addresses, KeepFor: cached.KeepFor}
	}
}

// http returns the client that sends the requests.
func (c *Client) http() *http.Client {
	c.setUp.Do(func() {
		if c.HTTP != nil {
			c.checked = *c.HTTP
		}
		c.checked.Transport = http1.Of(c.checked.Transport)
	})
	return &c.checked
}

func (c *Client) scheme() string {
	if c.Scheme != "" {
		return c.Scheme
	}
	return "https"
}
