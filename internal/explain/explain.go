// Package explain reads the logs of nodes and tells the life of one request.
//
// A request is handled by one node, so its own lines come from one log. What the
// nodes believed meanwhile stands in other lines, of that node and of the node
// that gave the orders to engines: [Read] adds those about the servers and the
// model of the request from shortly before it came to its end.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Line is one log line.
type Line struct {
	Time  time.Time
	VM    string
	Level string
	Text  string
	// Fields are the others, decoded from JSON.
	Fields map[string]any
}

// Story is the life of a request.
type Story struct {
	Request string
	// Own are the lines of the request, Around those of what was believed.
	Own, Around []Line
	// Unread counts the lines that are no log lines.
	Unread int
}

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// before is how long before a request what was believed is shown.
const before = 5 * time.Second

// Read finds a request in logs. It fails if the request is in none of them.
func Read(request string, logs ...io.Reader) (story Story, err error) {
	story.Request = request
	var others []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, found := parse(scanner.Bytes())
			switch {
			case !found:
				story.Unread++
			case line.Fields["request"] == request:
				story.Own = append(story.Own, line)
			case line.Fields["request"] == nil:
				others = append(others, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return story, errors.Wrap(err, "read log")
		}
	}
	if len(story.Own) == 0 {
		return story, errors.Errorf("request %q is in none of the logs", request)
	}
	sortByTime(story.Own)
	story.around(others)
	return story, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// parse reads a line. What stands before its first brace, as tools put it there,
// is passed over.
func parse(text []byte) (line Line, found bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 || json.Unmarshal(text[brace:], &line.Fields) != nil {
		return Line{}, false
	}
	take := func(name string) string {
		value, _ := line.Fields[name].(string)
		delete(line.Fields, name)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time, line.Level, line.Text, line.VM = at, take("level"), take("msg"), take("vm")
	return line, true
}

// around keeps the lines about the servers and the model of the request, and
// those about the node itself, from the time in which the request was decided.
func (s *Story) around(others []Line) {
	subjects := make(map[any]bool)
	vm := s.Own[0].VM
	for _, line := range s.Own {
		for _, name := range []string{"server", "item"} {
			if value := line.Fields[name]; value != nil && value != "" {
				subjects[value] = true
			}
		}
	}
	from, to := s.Own[0].Time.Add(-before), s.Own[len(s.Own)-1].Time
	for _, line := range others {
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		about := subjects[line.Fields["server"]] || subjects[line.Fields["item"]] || subjects[line.Fields["for"]]
		node := line.VM == vm && line.Fields["server"] == nil && line.Fields["item"] == nil
		if about || node || line.Text == "process was paused" {
			s.Around = append(s.Around, line)
		}
	}
	sortByTime(s.Around)
}

// Write tells the story: every line with the time since the first one of the
// request, the VM whose clock it is by, and what it says, and between the
// request's own lines and the others a summary of the causes.
func (s *Story) Write(out io.Writer) {
	began := s.Own[0].Time
	_, _ = fmt.Fprintf(out, "request %s, from %s by the clock of %s\n", s.Request, began.Format(time.RFC3339Nano), s.Own[0].VM)
	for _, line := range s.Own {
		line.write(out, began, "")
	}
	_, _ = fmt.Fprintln(out, "in short")
	for _, cause := range s.Causes() {
		_, _ = fmt.Fprintf(out, "%10s   %s\n", "", cause)
	}
	if len(s.Around) > 0 {
		_, _ = fmt.Fprintf(out, "what the nodes believed (each VM by its own clock)\n")
	}
	for _, line := range s.Around {
		line.write(out, began, line.VM+" ")
	}
	if s.Unread > 0 {
		_, _ = fmt.Fprintf(out, "%d lines could not be read\n", s.Unread)
	}
}

func (l *Line) write(out io.Writer, began time.Time, from string) {
	var fields strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "request" {
			fields.WriteString(" " + name + "=" + value(name, l.Fields[name]))
		}
	}
	_, _ = fmt.Fprintf(out, "%10.3fs  %s%s%s\n", l.Time.Sub(began).Seconds(), from, l.Text, fields.String())
}

// spans are the fields that hold nanoseconds.
var spans = map[string]bool{
	"waited": true, "reportAge": true, "after": true, "took": true, "readyIn": true, "left": true, "retryAfter": true,
	"expected": true, "actsIn": true, "goneIn": true, "grace": true, "slack": true,
}

func value(name string, of any) string {
	number, is := of.(float64)
	switch {
	case is && spans[name] && number < 0:
		return "none"
	case is && spans[name]:
		return time.Duration(number).Round(time.Millisecond).String()
	case is:
		return fmt.Sprintf("%g", number)
	}
	if text, is := of.(string); is && (text == "" || strings.ContainsAny(text, " =\"")) {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(of)
}
