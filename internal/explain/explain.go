// Package explain reconstructs the course of one request from the logs of nodes.
//
// A request is handled by one node, so its own lines come from one log. The state
// that the nodes saw meanwhile is in other lines, of that node and of the node
// that sent the orders to engines: [Read] adds those about the servers and the
// model of the request, from shortly before the request until its end.
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

// Line is one log line in JSON format.
type Line struct {
	Time  time.Time
	VM    string
	Level string
	Text  string
	// Fields holds the remaining fields, decoded from JSON.
	Fields map[string]any
}

// Timeline holds the log lines that explain one request.
type Timeline struct {
	Request string
	// Own holds the request's own lines. Related holds lines of the same time
	// about its node, servers and model. Both are sorted by time.
	Own, Related []Line
	// Unread counts the input lines that are no valid log lines.
	Unread int
}

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// lookback is how long before the request's first line [Timeline.Related] begins.
const lookback = 5 * time.Second

// Read collects the lines that explain a request from logs. It fails if the
// request is in none of them.
func Read(request string, logs ...io.Reader) (timeline Timeline, err error) {
	timeline.Request = request
	var others []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, found := parseLine(scanner.Bytes())
			switch {
			case !found:
				timeline.Unread++
			case line.Fields["request"] == request:
				timeline.Own = append(timeline.Own, line)
			case line.Fields["request"] == nil:
				others = append(others, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return timeline, errors.Wrap(err, "read log")
		}
	}
	if len(timeline.Own) == 0 {
		return timeline, errors.Errorf("request %q is in none of the logs", request)
	}
	sortByTime(timeline.Own)
	timeline.selectRelated(others)
	return timeline, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// parseLine decodes a log line. It skips text before the first brace, such as a
// prefix added by a log tool.
func parseLine(text []byte) (line Line, found bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 || json.Unmarshal(text[brace:], &line.Fields) != nil {
		return Line{}, false
	}
	takeString := func(name string) string {
		value, _ := line.Fields[name].(string)
		delete(line.Fields, name)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, takeString("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time, line.Level, line.Text, line.VM = at, takeString("level"), takeString("msg"), takeString("vm")
	return line, true
}

// selectRelated adds to Related the lines about the servers and the model of the
// request, those about the node itself and all process pauses, from lookback
// before the request's first line until its last.
func (t *Timeline) selectRelated(others []Line) {
	subjects := make(map[any]bool)
	vm := t.Own[0].VM
	for _, line := range t.Own {
		for _, name := range []string{"server", "item"} {
			if value := line.Fields[name]; value != nil && value != "" {
				subjects[value] = true
			}
		}
	}
	from, to := t.Own[0].Time.Add(-lookback), t.Own[len(t.Own)-1].Time
	for _, line := range others {
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		aboutSubject := subjects[line.Fields["server"]] || subjects[line.Fields["item"]] || subjects[line.Fields["for"]]
		aboutNode := line.VM == vm && line.Fields["server"] == nil && line.Fields["item"] == nil
		if aboutSubject || aboutNode || line.Text == "process was paused" {
			t.Related = append(t.Related, line)
		}
	}
	sortByTime(t.Related)
}

// Write prints the request's own lines, a summary of the causes and the related
// lines. Each line has its time since the request's first line; the related ones
// also name the VM, since each VM has its own clock.
func (t *Timeline) Write(out io.Writer) {
	began := t.Own[0].Time
	_, _ = fmt.Fprintf(out, "request %s, from %s by the clock of %s\n", t.Request, began.Format(time.RFC3339Nano), t.Own[0].VM)
	for _, line := range t.Own {
		line.write(out, began, "")
	}
	_, _ = fmt.Fprintln(out, "in short")
	for _, cause := range t.Causes() {
		_, _ = fmt.Fprintf(out, "%10s   %s\n", "", cause)
	}
	if len(t.Related) > 0 {
		_, _ = fmt.Fprintf(out, "what the nodes believed (each VM by its own clock)\n")
	}
	for _, line := range t.Related {
		line.write(out, began, line.VM+" ")
	}
	if t.Unread > 0 {
		_, _ = fmt.Fprintf(out, "%d lines could not be read\n", t.Unread)
	}
}

func (l *Line) write(out io.Writer, began time.Time, prefix string) {
	var fields strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "request" {
			fields.WriteString(" " + name + "=" + formatValue(name, l.Fields[name]))
		}
	}
	_, _ = fmt.Fprintf(out, "%10.3fs  %s%s%s\n", l.Time.Sub(began).Seconds(), prefix, l.Text, fields.String())
}

// durationFields are the log fields in nanoseconds.
var durationFields = map[string]bool{
	"waited": true, "reportAge": true, "after": true, "took": true, "readyIn": true, "left": true, "retryAfter": true,
	"expected": true, "actsIn": true, "goneIn": true, "grace": true, "slack": true, "manifestAge": true, "manifestReadAge": true,
}

func formatValue(name string, v any) string {
	number, isNumber := v.(float64)
	switch {
	case isNumber && durationFields[name] && number < 0:
		return "none"
	case isNumber && durationFields[name]:
		return time.Duration(number).Round(time.Millisecond).String()
	case isNumber:
		return fmt.Sprintf("%g", number)
	}
	if text, isText := v.(string); isText && (text == "" || strings.ContainsAny(text, " =\"")) {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(v)
}
