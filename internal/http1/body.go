package http1

import (
	"io"
	"slices"

	"github.com/go-faster/errors"
)

// Errors of a [Reader], to be tested with errors.Is.
var (
	ErrTooLarge = errors.New("body too large")
	ErrNoMemory = errors.New("no memory for the body")
)

// Body is a whole body in pieces, which take no more memory than was reserved for them.
type Body struct {
	pieces [][]byte
	size   int
}

// pieceSize is the size of the pieces of a body whose size is unknown, in bytes.
const pieceSize = 32 << 10

// Reader says how a body is read. The zero value reads any body.
type Reader struct {
	// Size is the size of the body in bytes; 0 or less if it is unknown.
	Size int64
	// Max is the size in bytes beyond which reading fails; 0 means none.
	Max int64
	// Reserve is called with the size of each piece in bytes before that is read, and reports
	// whether there is memory for it; nil means that there is.
	Reserve func(size int64) bool
}

// Read reads a body to its end. It fails with [ErrTooLarge], [ErrNoMemory] or the error of
// the source.
func (r Reader) Read(source io.Reader) (*Body, error) {
	body := &Body{}
	for {
		size := r.nextSize(body)
		if r.Reserve != nil && !r.Reserve(size) {
			return nil, ErrNoMemory
		}
		piece, err := fill(make([]byte, size), source)
		body.pieces, body.size = append(body.pieces, piece), body.size+len(piece)
		switch atEnd := errors.Is(err, io.EOF); {
		case err != nil && !atEnd:
			return nil, err
		case r.Max > 0 && int64(body.size) > r.Max:
			return nil, ErrTooLarge
		case atEnd:
			return body, nil
		}
	}
}

// nextSize returns the size of the next piece. The first one takes a small body of known size
// and finds its end.
func (r Reader) nextSize(body *Body) int64 {
	if body.size == 0 && r.Size > 0 && r.Size < pieceSize {
		return r.Size + 1
	}
	return pieceSize
}

// fill reads until a piece is full or the source fails, and returns what was read. Unlike
// [io.ReadFull] it returns the error of the source, so that an end is told from a truncation.
func fill(piece []byte, source io.Reader) ([]byte, error) {
	read := 0
	for read < len(piece) {
		count, err := source.Read(piece[read:])
		read += count
		if err != nil {
			return piece[:read], err
		}
	}
	return piece, nil
}

// Len returns the size of the body in bytes.
func (b *Body) Len() int { return b.size }

// WriteTo implements [io.WriterTo].
func (b *Body) WriteTo(w io.Writer) (written int64, err error) {
	for _, piece := range b.pieces {
		count, err := w.Write(piece)
		written += int64(count)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Bytes returns the body in one piece, for which it may need as much memory once more.
func (b *Body) Bytes() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	return slices.Concat(b.pieces...)
}
