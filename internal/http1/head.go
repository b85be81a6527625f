package http1

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// ErrNoResponse is returned if a server sent a head that is no final answer to the request, or
// a head or trailer section that is none of the protocol.
var ErrNoResponse = errors.New("the server's bytes are no response to the request")

// checked is a transport that fails after a head that is no answer, and whose answers end with
// an error if their trailer section is none of the protocol.
type checked struct{ http.RoundTripper }

// RoundTrip implements [http.RoundTripper].
func (c checked) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := answerOf(c.RoundTripper.RoundTrip(request))
	if err != nil {
		return nil, err
	}
	// Only chunks may be followed by a trailer section.
	if slices.Contains(response.TransferEncoding, "chunked") {
		response.Body = &trailedBody{response.Body, response}
	}
	return response, nil
}

// ReadResponse reads the head of a response to a request as [http.ReadResponse] does. It fails
// with [ErrNoResponse] if that is no answer.
func ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	return answerOf(http.ReadResponse(reader, request))
}

// answerOf closes the body of a response whose head is no answer, and fails then.
func answerOf(response *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	return response, nil
}

// checkHead fails with [ErrNoResponse] if the head of a response is no answer.
func checkHead(response *http.Response) error {
	if !isFinal(response.StatusCode) {
		return errors.Wrapf(ErrNoResponse, "status %03d", response.StatusCode)
	}
	return checkNames(response.Header)
}

// isFinal reports whether a status is that of a final response. No request of a node asks
// for a change of protocol.
func isFinal(status int) bool { return status >= http.StatusOK }

// checkNames fails with [ErrNoResponse] if the name of a field has a blank. net/http fails by
// itself if a name has any other byte that it can't have, but keeps a field with a blank, under
// the name as it came, so that a field that frames the body does not frame it.
func checkNames(fields http.Header) error {
	for name, values := range fields {
		// The names of an announced trailer section have no values before that was read.
		if len(values) > 0 && strings.Contains(name, " ") {
			return errors.Wrapf(ErrNoResponse, "field name %q", name)
		}
	}
	return nil
}

// trailedBody is the body of a response that may have a trailer section.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements [io.Reader].
func (b *trailedBody) Read(buf []byte) (int, error) {
	count, err := b.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		if broken := checkNames(b.response.Trailer); broken != nil {
			err = broken
		}
	}
	return count, err
}
