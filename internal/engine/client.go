package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
)

// Errors of a [Client], to be tested with errors.Is. Any other error of an
// order means that the order may have arrived and may still arrive.
var (
	// ErrFenced says that the engine refused an order because of its fencing
	// number or boot. The order has had and will have no effect.
	ErrFenced = errors.New("order refused by fencing")
	// ErrRefused says that the engine refused an order as it stands, with a
	// status from 400 to 499. The order has had and will have no effect.
	ErrRefused = errors.New("order refused")
	// ErrNotSent says that no connection to the engine came about, so that
	// nothing of the order was sent.
	ErrNotSent = errors.New("order not sent")
)

// maxAnswerBytes bounds the answers that a client reads.
const maxAnswerBytes = 8 << 20

// Client speaks to the administrative API of one engine. It sends each order
// once and never again by itself: whether an order may be repeated is known to
// its sender only.
type Client struct {
	// Address is the host and port of the engine.
	Address string
	// HTTP makes the requests; nil means [http.DefaultClient]. Its timeout
	// bounds every call beside the context.
	HTTP *http.Client
}

// Load sends an order to load.
func (c *Client) Load(ctx context.Context, order LoadOrder) error {
	return c.order(ctx, "load", order)
}

// Unload sends an order to unload.
func (c *Client) Unload(ctx context.Context, order UnloadOrder) error {
	return c.order(ctx, "unload", order)
}

// Fence raises the engine's fencing number.
func (c *Client) Fence(ctx context.Context, order FenceOrder) error {
	return c.order(ctx, "fence", order)
}

// SetRole changes the engine's role.
func (c *Client) SetRole(ctx context.Context, order RoleOrder) error {
	return c.order(ctx, "role", order)
}

// Cancel stops a request that is queued or running.
func (c *Client) Cancel(ctx context.Context, order CancelOrder) error {
	return c.order(ctx, "cancel", order)
}

// ExportCache reads the cache entry of a prompt prefix.
func (c *Client) ExportCache(ctx context.Context, order CacheOrder) (block CacheBlock, err error) {
	err = c.call(ctx, http.MethodPost, "kvExport", order, &block)
	return block, err
}

// ImportCache writes the cache entry of a prompt prefix.
func (c *Client) ImportCache(ctx context.Context, block CacheBlock) error {
	return c.order(ctx, "kvImport", block)
}

// Report reads what is loaded and how busy the engine is.
func (c *Client) Report(ctx context.Context) (report Report, err error) {
	err = c.call(ctx, http.MethodGet, "report", nil, &report)
	return report, err
}

// Events reads the changes of the prefix cache after a sequence number.
func (c *Client) Events(ctx context.Context, after uint64) (events []CacheEvent, err error) {
	path := "events?after=" + strconv.FormatUint(after, 10)
	err = c.call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// Ping returns nil if the engine answers.
func (c *Client) Ping(ctx context.Context) error {
	return c.call(ctx, http.MethodGet, "ping", nil, nil)
}

func (c *Client) order(ctx context.Context, path string, order any) error {
	return c.call(ctx, http.MethodPost, path, order, nil)
}

// call makes one exchange. The answer is decoded into out unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "engine %s: %s", c.Address, path)
		}
	}()
	request, err := c.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	answer, err := c.http().Do(request)
	if err != nil {
		return sendError(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err == nil {
		err = statusError(answer.StatusCode, body)
	}
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// http returns a client that follows no redirect, which would send an order a
// second time.
func (c *Client) http() *http.Client {
	client := http.Client{}
	if c.HTTP != nil {
		client = *c.HTTP
	}
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client
}

func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	target := &url.URL{Scheme: "http", Host: c.Address}
	request, err := http.NewRequestWithContext(ctx, method, target.String()+"/admin/"+path, body)
	if err != nil {
		return nil, err
	}
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// statusError maps a status to an error; nil for success.
func statusError(status int, body []byte) error {
	const shownBytes = 200
	detail := fmt.Sprintf("status %d: %s", status, body[:min(len(body), shownBytes)])
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return errors.Wrap(ErrFenced, detail)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout:
		return errors.Wrap(ErrRefused, detail)
	default:
		return errors.New(detail)
	}
}

// sendError marks the errors after which nothing of the request was sent.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}
