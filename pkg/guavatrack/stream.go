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

// Stream makes a streamed completion and calls each with the data of every
// event, in order and once, without the last one. A stream that breaks off goes
// on at the next event, at another node if need be. Stream returns nil only
// after the whole answer.
func (c *Client) Stream(ctx context.Context, request Request, each func(data string) error) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	request.Idempotent = true
	send := newSending(c, request)
	reader := &streamReader{each: each}
	for {
		err := reader.run(ctx, send)
		if err == nil || reader.failed != nil || !send.again(ctx, err) {
			return err
		}
	}
}

// streamReader reads one stream over as many connections as it takes.
type streamReader struct {
	each   func(data string) error
	lastID string
	// failed is the error of each, after which the stream is not resumed.
	failed error
}

func (s *streamReader) run(ctx context.Context, send *sending) error {
	response, err := send.open(ctx, s.lastID)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		content, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		s.failed = errors.Errorf("status %d: %s", response.StatusCode, content)
		return s.failed
	}
	return s.read(bufio.NewReader(response.Body))
}

func (s *streamReader) read(source *bufio.Reader) error {
	var id, kind, data string
	for {
		line, err := source.ReadString('\n')
		if err != nil {
			return errors.Wrap(err, "stream broke off")
		}
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id = value
		case "event":
			kind = value
		case "data":
			data = value
		case "":
			done, err := s.event(id, kind, data)
			if done || err != nil {
				return err
			}
			id, kind, data = "", "", ""
		}
	}
}

// event hands on one event and reports whether it was the last.
func (s *streamReader) event(id, kind, data string) (done bool, err error) {
	switch {
	case kind == "error":
		return false, refusalOf(data)
	case data == doneData:
		return true, nil
	case data == "":
		return false, nil
	}
	if s.failed = s.each(data); s.failed != nil {
		return false, s.failed
	}
	if id != "" {
		s.lastID = id
	}
	return false, nil
}

// refusalOf returns the refusal that ends a stream.
func refusalOf(data string) error {
	response := &http.Response{
		Header: http.Header{refusal.RunHeader: {string(refusal.Unknown)}},
		Body:   io.NopCloser(strings.NewReader(data)),
	}
	return refusalIn(response)
}
