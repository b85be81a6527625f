package engine

import (
	"bytes"
	"cmp"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/http1"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// MaxEventSize is the size of the largest event that a [StreamDecoder] accepts unless
// it has another limit, in bytes.
const MaxEventSize = 1 << 20

// initialBuffer is the initial size of a decoder's buffer, in bytes.
const initialBuffer = 8 << 10

// Errors of a [StreamDecoder].
var (
	// ErrEventTooLarge means that an event is longer than the limit.
	ErrEventTooLarge = errors.New("event too large")
	// ErrCutOff means that the stream was truncated within an event.
	ErrCutOff = errors.New("stream ended within an event")
)

// Event is one server-sent event. Its slices are valid until the next call to
// [StreamDecoder.Next].
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the content of the last id field, empty if there is none.
	ID []byte
	// Data is the content of the first data field.
	Data []byte
}

var doneData = []byte("[DONE]")

// Done reports whether the event marks the end of the answer.
func (e Event) Done() bool { return bytes.Equal(e.Data, doneData) }

// Position returns the request id and the offset that the event id consists of.
// found is false if the event has no id of that form.
func (e Event) Position() (request []byte, offset uint64, found bool) {
	slash := bytes.LastIndexByte(e.ID, '/')
	if slash <= 0 {
		return nil, 0, false
	}
	offset, found = parseOffset(e.ID[slash+1:])
	return e.ID[:slash], offset, found
}

// maxOffsetDigits limits the length of an offset so that it fits into 64 bits.
const maxOffsetDigits = 18

func parseOffset(digits []byte) (offset uint64, valid bool) {
	if len(digits) == 0 || len(digits) > maxOffsetDigits {
		return 0, false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		offset = offset*10 + uint64(digit-'0')
	}
	return offset, true
}

// EventID returns the id of the event at an offset of a request's stream.
func EventID(request fleet.RequestID, offset uint64) string {
	return string(request) + "/" + strconv.FormatUint(offset, 10)
}

// ParseEventID splits an id made by [EventID] into its parts.
func ParseEventID(id string) (request fleet.RequestID, offset uint64, valid bool) {
	name, offset, valid := Event{ID: []byte(id)}.Position()
	return fleet.RequestID(name), offset, valid
}

// StreamDecoder reads server-sent events. After its creation it allocates memory
// only to grow its buffer.
type StreamDecoder struct {
	// MaxEvent is the size of the largest event accepted, in bytes; 0 means
	// [MaxEventSize]. It is set before the first call to Next.
	MaxEvent int
	// Reserve is called with the size in bytes of each larger buffer before that is made, and
	// reports whether there is memory for it; nil means that there is. It is set before the
	// first call to Next.
	Reserve func(size int64) bool

	source io.Reader
	buffer []byte
	// Unread input is buffer[start:end]; its first scanned bytes contain no end
	// of an event.
	start, end, scanned int
	err                 error
}

// NewStreamDecoder returns a decoder that reads from source.
func NewStreamDecoder(source io.Reader) *StreamDecoder {
	return &StreamDecoder{source: source, buffer: make([]byte, initialBuffer)}
}

// Next returns the next event. It fails with io.EOF at the end of the stream,
// [ErrCutOff], [ErrEventTooLarge], [http1.ErrNoMemory] or the error of the source.
func (d *StreamDecoder) Next() (Event, error) {
	for {
		if size := d.firstEventSize(); size > 0 {
			raw := d.buffer[d.start : d.start+size]
			d.start += size
			d.scanned = 0
			return parseEvent(raw), nil
		}
		if d.err != nil {
			return Event{}, d.endError()
		}
		if err := d.fill(); err != nil {
			return Event{}, err
		}
	}
}

// Buffered reports whether Next would return an event without reading.
func (d *StreamDecoder) Buffered() bool { return d.firstEventSize() > 0 }

// endError returns the error for the end of the input: [ErrCutOff] if part of an
// event is left in the buffer at io.EOF, otherwise the error of the source.
func (d *StreamDecoder) endError() error {
	if errors.Is(d.err, io.EOF) && len(bytes.TrimSpace(d.buffer[d.start:d.end])) > 0 {
		return ErrCutOff
	}
	return d.err
}

// firstEventSize returns the length in bytes of the first complete event in the
// unread input, 0 if there is none.
func (d *StreamDecoder) firstEventSize() int {
	unread := d.buffer[d.start:d.end]
	for at := d.scanned; at < len(unread); {
		lineEnd := bytes.IndexByte(unread[at:], '\n')
		if lineEnd < 0 {
			break
		}
		// The bytes after the line end may not have been read yet and decide
		// whether it ends the event, so only the bytes before the line end
		// count as scanned.
		d.scanned = at + lineEnd
		at += lineEnd + 1
		rest := unread[at:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return at + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		case len(rest) == 0, len(rest) == 1 && rest[0] == '\r':
			return 0
		}
	}
	return 0
}

// fill reads from the source once, after making room in the buffer by moving
// the unread input to its start or by doubling its size up to the limit.
func (d *StreamDecoder) fill() error {
	if d.start > 0 && (d.start == d.end || d.end == len(d.buffer)) {
		copy(d.buffer, d.buffer[d.start:d.end])
		d.end -= d.start
		d.start = 0
	}
	if d.end == len(d.buffer) {
		limit := cmp.Or(d.MaxEvent, MaxEventSize)
		if len(d.buffer) >= limit {
			return ErrEventTooLarge
		}
		size := min(limit, 2*len(d.buffer))
		if d.Reserve != nil && !d.Reserve(int64(size)) {
			return http1.ErrNoMemory
		}
		larger := make([]byte, size)
		copy(larger, d.buffer[:d.end])
		d.buffer = larger
	}
	read, err := d.source.Read(d.buffer[d.end:])
	d.end += read
	d.err = err
	return nil
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

func parseEvent(raw []byte) Event {
	event := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		line := rest
		if end := bytes.IndexByte(rest, '\n'); end >= 0 {
			line, rest = rest[:end], rest[end+1:]
		} else {
			rest = nil
		}
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if value, found := bytes.CutPrefix(line, idField); found {
			event.ID = bytes.TrimPrefix(value, []byte{' '})
		} else if value, found := bytes.CutPrefix(line, dataField); found && event.Data == nil {
			event.Data = bytes.TrimPrefix(value, []byte{' '})
		}
	}
	return event
}
