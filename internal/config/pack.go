package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// maxUnpacked bounds the entries in one answer.
const maxUnpacked = 64 << 20

// packed is a list of entries as compressed JSON. Entries resemble each other,
// so they shrink to a fraction, and the JSON-RPC library, which reads a message
// several times, has less to read.
type packed []byte

func pack(entries []ticket.Entry) (_ packed, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "pack entries")
		}
	}()
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(writer).Encode(entries); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func (p packed) unpack() (entries []ticket.Entry, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "unpack entries")
		}
	}()
	if len(p) == 0 {
		return nil, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, err
	}
	err = json.NewDecoder(io.LimitReader(reader, maxUnpacked)).Decode(&entries)
	return entries, err
}
