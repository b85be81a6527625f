package roster

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// packed is a list of entries in a message between nodes, as JSON. The JSON is
// compressed with gzip if it is long.
type packed struct {
	Plain  json.RawMessage `json:"plain,omitempty"`
	Zipped []byte          `json:"zipped,omitempty"`
}

const (
	// maxPlainBytes is the maximum size of JSON that is sent uncompressed.
	maxPlainBytes = 2 << 10
	// maxUnpackedBytes bounds the size of the JSON after decompression, in bytes.
	maxUnpackedBytes = 64 << 20
)

func pack[T any](entries []T) (message packed, err error) {
	if len(entries) == 0 {
		return packed{}, nil
	}
	text, err := json.Marshal(entries)
	if err != nil {
		return packed{}, errors.Wrap(err, "encode entries")
	}
	if len(text) <= maxPlainBytes {
		return packed{Plain: text}, nil
	}
	var zipped bytes.Buffer
	writer, err := gzip.NewWriterLevel(&zipped, gzip.BestSpeed)
	if err != nil {
		return packed{}, errors.Wrap(err, "compress entries")
	}
	if _, err := writer.Write(text); err != nil {
		return packed{}, errors.Wrap(err, "compress entries")
	}
	if err := writer.Close(); err != nil {
		return packed{}, errors.Wrap(err, "compress entries")
	}
	return packed{Zipped: zipped.Bytes()}, nil
}

func unpack[T any](message packed) (entries []T, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "unpack entries")
		}
	}()
	text := []byte(message.Plain)
	if len(message.Zipped) > 0 {
		reader, err := gzip.NewReader(bytes.NewReader(message.Zipped))
		if err != nil {
			return nil, err
		}
		if text, err = io.ReadAll(io.LimitReader(reader, maxUnpackedBytes)); err != nil {
			return nil, err
		}
	}
	if len(text) == 0 {
		return nil, nil
	}
	return entries, json.Unmarshal(text, &entries)
}
