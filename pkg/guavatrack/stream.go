package guavatrack

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/refusal"
)

// doneData is the data of the last event of a stream.
const doneData = "[DONE]"

// Stream sends a streamed completion request and calls onData once with the data
// of each event, in order, except for the final "[DONE]". An interrupted stream
// is resumed at the next event, at another node if necessary. Stream returns nil
// only after the complete answer; an error of onData ends the stream and is
// returned. A refusal is returned as an error that [refusal.As] finds.
func (c *Client) Stream(ctx context.Context, request Request, onData func(data string) error) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	request.Idempotent = true
	call := newOutgoingCall(c, request)
	reader := &streamReader{onData: onData}
	for {
		err := reader.readConnection(ctx, call)
		if err == nil || reader.permanentErr != nil || !call.waitForRetry(ctx, err) {
			return err
		}
	}
}

// streamReader reads one stream over one or more successive connections.
type streamReader struct {
	onData func(data string) error
	lastID string
	// permanentErr is an error after which the stream is not resumed: one of
	// onData, or a status other than 200.
	permanentErr error
}

func (s *streamReader) readConnection(ctx context.Context, call *outgoingCall) error {
	response, err := call.open(ctx, s.lastID)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		s.permanentErr = errors.Errorf("status %d: %s", response.StatusCode, content)
		return s.permanentErr
	}
	return s.readEvents(bufio.NewReader(response.Body))
}

func (s *streamReader) readEvents(source *bufio.Reader) error {
	var id, eventType, data string
	for {
		line, err := readLine(source)
		if errors.Is(err, errLineTooLong) {
			s.permanentErr = err
		}
		if err != nil {
			return errors.Wrap(err, "stream broke off")
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id = value
		case "event":
			eventType = value
		case "data":
			data = value
		case "":
			done, err := s.handleEvent(id, eventType, data)
			if done || err != nil {
				return err
			}
			id, eventType, data = "", "", ""
		}
	}
}

// maxLineBytes bounds a line of a stream, in bytes.
const maxLineBytes = 1 << 20

// errLineTooLong means that a line of a stream is longer than maxLineBytes.
var errLineTooLong = errors.New("line too long")

// readLine reads a line and removes its end.
func readLine(source *bufio.Reader) (string, error) {
	var line []byte
	for {
		piece, err := source.ReadSlice('\n')
		line = append(line, piece...)
		switch {
		case len(line) > maxLineBytes:
			return "", errLineTooLong
		case err == nil:
			return strings.TrimRight(string(line), "\r\n"), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		}
	}
}

// handleEvent passes one event to onData and reports whether it was the last.
func (s *streamReader) handleEvent(id, eventType, data string) (done bool, err error) {
	switch {
	case eventType == "error":
		return false, parseRefusalEvent(data)
	case data == doneData:
		return true, nil
	case data == "":
		return false, nil
	}
	if s.permanentErr = s.onData(data); s.permanentErr != nil {
		return false, s.permanentErr
	}
	if id != "" {
		s.lastID = id
	}
	return false, nil
}

// parseRefusalEvent decodes the refusal in an error event, which ends a stream.
func parseRefusalEvent(data string) error {
	response := &http.Response{
		Header: http.Header{refusal.RunHeader: {string(refusal.Unknown)}},
		Body:   io.NopCloser(strings.NewReader(data)),
	}
	return readRefusal(response)
}
