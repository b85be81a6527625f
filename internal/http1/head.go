package http1

import (
	"net/http"

	"github.com/go-faster/errors"
)

// ErrNoResponse is returned if a server sent a head that is no final answer to the request.
var ErrNoResponse = errors.New("the server's bytes are no response to the request")

// checked is a transport that fails after a head that is no final answer.
type checked struct{ http.RoundTripper }

// RoundTrip implements [http.RoundTripper].
func (c checked) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	return response, nil
}

// checkHead fails with [ErrNoResponse] if the head of a response is no final answer.
func checkHead(response *http.Response) error {
	if !isFinal(response.StatusCode) {
		return errors.Wrapf(ErrNoResponse, "status %03d", response.StatusCode)
	}
	return nil
}

// isFinal reports whether a status is that of a final response. No request of a node asks
// for a change of protocol.
func isFinal(status int) bool { return status >= http.StatusOK }
