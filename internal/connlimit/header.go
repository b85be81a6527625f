package connlimit

// Memory of a request's header once it is parsed, in bytes, beyond its text: each field takes a
// slot of a map that is up to half empty, a list of one value and the strings.
const fieldMemory = 160

// Header counts the fields of the header of an HTTP/1 request as its bytes arrive.
type Header struct {
	// Lines counts the lines up to now: the request line and the fields. Bytes counts their bytes.
	Lines, Bytes int
	// Ended is set once the empty line at the end has arrived. What follows is not counted.
	Ended bool

	// inLine is set once the line has a character.
	inLine bool
}

// Add counts the next bytes that arrived.
func (h *Header) Add(data []byte) {
	for _, char := range data {
		if h.Ended {
			return
		}
		h.Bytes++
		switch {
		case char == '\r':
		case char != '\n':
			h.inLine = true
		case h.inLine:
			h.Lines, h.inLine = h.Lines+1, false
		default:
			// The bytes may begin with the end of a line of which the rest arrived together with the
			// request before, so an empty line ends the header only after another line.
			h.Ended = h.Lines > 0
		}
	}
}

// Memory returns the memory of the header, read and parsed, in bytes.
func (h *Header) Memory() int64 { return int64(h.Bytes) + fieldMemory*int64(h.Lines) }
