package http1

// foldScanner finds lines of a response's heads that continue the line before them: net/http
// takes such a line for a part of the field before it, whatever field the server meant.
type foldScanner struct {
	// inHead is set until the end of the final head.
	inHead bool
	// lines is the number of complete lines of the head, length that of the bytes of the line
	// after them, interim whether another head follows.
	lines, length int
	interim       bool
}

// statusAt is the place of the first digit of the status in the first line of a head.
const statusAt = len("HTTP/1.1 ")

// begin prepares for the heads of a response.
func (s *foldScanner) begin() { *s = foldScanner{inHead: true} }

// scan takes the next bytes of a response, and returns how many of them precede the first line
// that continues another one. Without such a line, found is false and all of them do.
func (s *foldScanner) scan(data []byte) (before int, found bool) {
	for at := 0; at < len(data) && s.inHead; at++ {
		switch char := data[at]; {
		case char == '\n':
			s.endLine()
		case char == '\r':
		case s.length == 0 && s.lines > 0 && (char == ' ' || char == '\t'):
			return at, true
		default:
			if s.lines == 0 && s.length == statusAt {
				s.interim = char == '1'
			}
			s.length++
		}
	}
	return len(data), false
}

// endLine ends a line. An empty one ends the head.
func (s *foldScanner) endLine() {
	if s.length > 0 {
		s.lines, s.length = s.lines+1, 0
		return
	}
	*s = foldScanner{inHead: s.interim}
}
