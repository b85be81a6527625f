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
	"time"

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

// Accepted is an engine's answer to an order.
type Accepted struct {
	// At is the engine's clock when it answered, rounded up to its resolution.
	// It is zero if the answer did not say.
	At time.Time
}

// maxAnswerBytes bounds the answers that a client reads.
const maxAnswerBytes = 8 << 20

// dateResolution is the resolution of the HTTP Date header.
const dateResolution = time.Second

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
func (c *Client) Load(ctx context.Context, order LoadOrder) (Accepted, error) {
	return c.order(ctx, "load", order)
}

// Unload sends an order to unload.
func (c *Client) Unload(ctx context.Context, order UnloadOrder) (Accepted, error) {
	return c.order(ctx, "unload", order)
}

// Fence raises the engine's fencing number.
func (c *Client) Fence(ctx context.Context, order FenceOrder) (Accepted, error) {
	return c.order(ctx, "fence", order)
}

// SetRole changes the engine's role.
func (c *Client) SetRole(ctx context.Context, order RoleOrder) (Accepted, error) {
	return c.order(ctx, "role", order)
}

// Cancel stops a request that is queued or running.
func (c *Client) Cancel(ctx context.Context, order CancelOrder) error {
	_, err := c.order(ctx, "cancel", order)
	return err
}

// ExportCache reads the cache entry of a prompt prefix.
func (c *Client) ExportCache(ctx context.Context, order CacheOrder) (block CacheBlock, err error) {
	_, err = c.call(ctx, http.MethodPost, "kvExport", order, &block)
	return block, err
}

// ImportCache writes the cache entry of a prompt prefix.
func (c *Client) ImportCache(ctx context.Context, block CacheBlock) error {
	_, err := c.order(ctx, "kvImport", block)
	return err
}

// Report reads what is loaded and how busy the engine is.
func (c *Client) Report(ctx context.Context) (report Report, err error) {
	_, err = c.call(ctx, http.MethodGet, "report", nil, &report)
	return report, err
}

// Events reads the changes of the prefix cache after a sequence number.
func (c *Client) Events(ctx context.Context, after uint64) (events []CacheEvent, err error) {
	path := "events?after=" + strconv.FormatUint(after, 10)
	_, err = c.call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// Ping returns nil if the engine answers.
func (c *Client) Ping(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodGet, "ping", nil, nil)
	return err
}

func (c *Client) order(ctx context.Context, path string, order any) (Accepted, error) {
	return c.call(ctx, http.MethodPost, path, order, nil)
}

// call makes one exchange. The answer is decoded into out unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (accepted Accepted, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "engine %s: %s", c.Address, path)
		}
	}()
	request, err := c.request(ctx, method, path, in)
	if err != nil {
		return Accepted{}, err
	}
	answer, err := c.http().Do(request)
	if err != nil {
		return Accepted{}, sendError(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err == nil {
		err = statusError(answer.StatusCode, body)
	}
	if err != nil {
		return Accepted{At: answeredAt(answer.Header)}, err
	}
	if out != nil {
		err = json.Unmarshal(body, out)
	}
	return Accepted{At: answeredAt(answer.Header)}, err
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

// answeredAt reads the engine's clock from an answer. The Date header is cut
// to whole seconds, so the next whole second is the earliest bound from above.
func answeredAt(header http.Header) time.Time {
	date, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		return time.Time{}
	}
	return date.Add(dateResolution)
}
