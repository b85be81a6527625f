// Package packed encodes lists for messages between nodes: as JSON, which is
// compressed if it is long.
//
// The same list often goes to many nodes, so that callers keep a [List] and send it
// several times.
package packed

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// List is an encoded list in a message. At most one of its fields is set; an empty
// list has neither.
type List struct {
	// Plain is JSON.
	Plain json.RawMessage `json:"plain,omitempty"`
	// Zipped is JSON compressed with gzip.
	Zipped []byte `json:"zipped,omitempty"`
}

const (
	// maxPlainBytes is the maximum size of JSON that is sent uncompressed.
	maxPlainBytes = 2 << 10
	// maxUnpackedBytes bounds the size of the JSON after decompression, in bytes.
	maxUnpackedBytes = 64 << 20
)

// ErrTooLong means that a list is longer than any that a node sends.
var ErrTooLong = errors.New("list is too long")

// writers and readers hold compressors that are not in use, since each takes
// several hundred KB.
var (
	writers = sync.Pool{New: func() any {
		// The level is valid, so that there is no error.
		writer, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
		return writer
	}}
	readers = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

// Encode encodes a list.
func Encode[T any](entries []T) (list List, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "encode list")
		}
	}()
	if len(entries) == 0 {
		return List{}, nil
	}
	text, err := json.Marshal(entries)
	if err != nil {
		return List{}, err
	}
	if len(text) <= maxPlainBytes {
		return List{Plain: text}, nil
	}
	zipped, err := zip(text)
	return List{Zipped: zipped}, err
}

func zip(text []byte) ([]byte, error) {
	var zipped bytes.Buffer
	writer := writers.Get().(*gzip.Writer) //nolint:forcetypeassert // the pool holds nothing else
	defer writers.Put(writer)
	writer.Reset(&zipped)
	if _, err := writer.Write(text); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return zipped.Bytes(), nil
}

// Decode decodes a list. It fails with [ErrTooLong] if the JSON is longer than any
// that a node sends.
func Decode[T any](list List) (entries []T, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "decode list")
		}
	}()
	text := []byte(list.Plain)
	if len(list.Zipped) > 0 {
		if text, err = unzip(list.Zipped); err != nil {
			return nil, err
		}
	}
	if len(text) == 0 {
		return nil, nil
	}
	return entries, json.Unmarshal(text, &entries)
}

func unzip(zipped []byte) ([]byte, error) {
	reader := readers.Get().(*gzip.Reader) //nolint:forcetypeassert // the pool holds nothing else
	defer readers.Put(reader)
	if err := reader.Reset(bytes.NewReader(zipped)); err != nil {
		return nil, err
	}
	var text bytes.Buffer
	count, err := io.Copy(&text, io.LimitReader(reader, maxUnpackedBytes+1))
	if err == nil && count > maxUnpackedBytes {
		err = ErrTooLong
	}
	return text.Bytes(), err
}
