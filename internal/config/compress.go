package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// maxDecompressedSize is the maximum size in bytes of the decompressed entries
// of one answer.
const maxDecompressedSize = 64 << 20

// compressedEntries is a list of entries as gzip-compressed JSON. Entries are
// similar to each other and compress well, and the JSON-RPC library parses each
// message several times, so that smaller messages also save parsing time.
type compressedEntries []byte

func compressEntries(entries []ticket.Entry) (_ compressedEntries, err error) {
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

func (p compressedEntries) decompress() (entries []ticket.Entry, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "decompress entries")
		}
	}()
	if len(p) == 0 {
		return nil, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, err
	}
	err = json.NewDecoder(io.LimitReader(reader, maxDecompressedSize)).Decode(&entries)
	return entries, err
}
