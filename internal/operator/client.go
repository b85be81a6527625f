package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/audit"
	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// maxResponseBytes bounds the bytes of a response that a client reads.
const maxResponseBytes = 64 << 20

// StatusError is an error response of a node.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	Answer Error
}

// Error returns the message, followed by the field errors if there are any.
func (e *StatusError) Error() string {
	if len(e.Answer.Fields) == 0 {
		return e.Answer.Message
	}
	return e.Answer.Message + ":\n" + e.Answer.Fields.Error()
}

// ErrUnreachable is returned if the node at the address sent no complete response.
var ErrUnreachable = errors.New("node unreachable")

// Client calls the operators' API of one node. Its fields are set before use.
type Client struct {
	// URL is the address of the node's endpoint for operators.
	URL string
	// Token is sent as a bearer token; empty sends none.
	Token string
	HTTP  *http.Client
}

// Apply applies a ticket. With checkOnly, the ticket is validated but not applied.
func (c *Client) Apply(ctx context.Context, text []byte, checkOnly bool) (applied Applied, err error) {
	path := "/v1/tickets"
	if checkOnly {
		path += "?check=true"
	}
	err = c.call(ctx, http.MethodPost, path, text, &applied)
	return applied, err
}

// Ticket returns an accepted ticket.
func (c *Client) Ticket(ctx context.Context, number fleet.TicketNumber) (stored config.StoredTicket, err error) {
	err = c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/tickets/%d", number), nil, &stored)
	return stored, err
}

// Tickets lists up to limit accepted tickets whose numbers are higher than after.
func (c *Client) Tickets(ctx context.Context, after fleet.TicketNumber, limit int) (tickets []config.StoredTicket, err error) {
	path := fmt.Sprintf("/v1/tickets?after=%d&limit=%d", after, limit)
	err = c.call(ctx, http.MethodGet, path, nil, &tickets)
	return tickets, err
}

// InForce returns, for each live member, whether it has confirmed a revision.
func (c *Client) InForce(ctx context.Context, revision config.Revision) (states []config.MemberState, err error) {
	err = c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/inForce/%d", revision), nil, &states)
	return states, err
}

// Configuration returns the configuration in force on the node.
func (c *Client) Configuration(ctx context.Context) (view ConfigurationView, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/configuration", nil, &view)
	return view, err
}

// Status returns the node's view of the fleet.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// ItemStatus returns the node's view of one item.
func (c *Client) ItemStatus(ctx context.Context, item string) (status ItemStatus, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/status/"+url.PathEscape(item), nil, &status)
	return status, err
}

// Audit lists up to limit entries of the audit trail. Since is an RFC 3339 time, or
// empty for the server's default period.
func (c *Client) Audit(ctx context.Context, since string, limit int) (entries []audit.Entry, err error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if since != "" {
		query.Set("since", since)
	}
	err = c.call(ctx, http.MethodGet, "/v1/audit?"+query.Encode(), nil, &entries)
	return entries, err
}

// Drain starts to drain the node. It returns before the drain has ended.
func (c *Client) Drain(ctx context.Context) (answer DrainStarted, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/drain", nil, &answer)
	return answer, err
}

// SetLogLevel sets the node's log level.
func (c *Client) SetLogLevel(ctx context.Context, level string) (answer LogLevel, err error) {
	body, err := json.Marshal(LogLevel{Level: level})
	if err != nil {
		return LogLevel{}, errors.Wrap(err, "log level")
	}
	err = c.call(ctx, http.MethodPut, "/v1/logLevel", body, &answer)
	return answer, err
}

// call sends a request and decodes the JSON response into answer. A status other
// than 200 is returned as a [StatusError].
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "%s", c.URL)
		}
	}()
	address := strings.TrimSuffix(c.URL, "/") + path
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return newStatusError(response.StatusCode, text)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return errors.Wrap(err, "answer of the node")
	}
	return nil
}

// newStatusError decodes an error response. A body that is no error, such as that of
// a proxy, is replaced by the text of the HTTP status.
func newStatusError(status int, text []byte) error {
	var body errorBody
	if json.Unmarshal(text, &body) != nil || body.Error.Message == "" {
		body.Error.Message = http.StatusText(status)
	}
	return &StatusError{Status: status, Answer: body.Error}
}
