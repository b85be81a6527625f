package explain

import (
	"fmt"
	"time"
)

// Causes summarises why the request ended as it did: its outcome and failed
// attempts, and what happened meanwhile to the node, the scheduler, the model and
// the backend servers that it was sent to.
func (t *Timeline) Causes() (causes []string) {
	causes = append(causes, t.outcome())
	causes = append(causes, t.callersView()...)
	causes = append(causes, t.streamVersions()...)
	causes = append(causes, t.failedAttempts()...)
	causes = append(causes, t.crashRefusals()...)
	if queued := t.lastOwn("request queued"); queued != nil {
		causes = append(causes, t.loadOrders(queued.field("item"))...)
	}
	causes = append(causes, t.pauses()...)
	causes = append(causes, t.losses()...)
	return causes
}

// field returns a string field, or "" if the line has no such field or it is no
// string.
func (l *Line) field(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// duration returns a field in nanoseconds, rounded to milliseconds, or 0 if the
// line has no such field.
func (l *Line) duration(name string) time.Duration {
	number, _ := l.Fields[name].(float64)
	return time.Duration(number).Round(time.Millisecond)
}

// outcome describes how the request ended and whether a backend server may have
// run it.
func (t *Timeline) outcome() string {
	if last := t.lastOwn("request ended"); last != nil {
		return fmt.Sprintf("ended after %v: %s; %s", last.duration("took"), last.field("outcome"), last.ran())
	}
	if refused := t.lastOwn("request refused at the edge"); refused != nil {
		return fmt.Sprintf("refused before dispatch with status %v, manifest %v: %s; it has not run",
			refused.Fields["status"], refused.Fields["manifest"], refused.field("reason"))
	}
	return "the end of the request is in none of the logs: its node stopped, or its log is missing"
}

// lastOwn returns the request's last line with a message; nil if there is none.
func (t *Timeline) lastOwn(text string) *Line {
	for i := len(t.Own) - 1; i >= 0; i-- {
		if t.Own[i].Text == text {
			return &t.Own[i]
		}
	}
	return nil
}

// ran describes whether a backend server may have run the request.
func (l *Line) ran() string {
	if mayHaveRun, _ := l.Fields["mayHaveRun"].(bool); mayHaveRun {
		return "a server may have run it"
	}
	return "it has not run"
}

// callersView describes what the caller got if that was neither a complete answer nor a
// refusal.
func (t *Timeline) callersView() (causes []string) {
	if line := t.lastOwn("answer cut off"); line != nil {
		end := "its connection was closed"
		if signalled, _ := line.Fields["signalled"].(bool); signalled {
			end = "the stream ended with an error event"
		}
		got := "no part of an answer"
		if begun, _ := line.Fields["begun"].(bool); begun {
			got = fmt.Sprintf("%v bytes of an answer (last event %q)", line.Fields["bytes"], line.field("lastEvent"))
		}
		causes = append(causes, fmt.Sprintf("the caller got %s, then %s with %v left: %s", got, end, line.duration("left"), line.field("cause")))
		if line.Fields["manifestAtArrival"] != line.Fields["manifest"] {
			causes = append(causes, fmt.Sprintf("the manifest changed meanwhile from %v to %v, the last time %v before the cut",
				line.Fields["manifestAtArrival"], line.Fields["manifest"], line.duration("manifestAge")))
		}
	}
	if line := t.lastOwn("answer not written"); line != nil {
		causes = append(causes, fmt.Sprintf("an answer with status %v could not be written: %s", line.Fields["status"], line.field("error")))
	}
	return causes
}

// failedAttempts describes each attempt that failed or was silent: server, duration, error,
// and why nothing took the place of a silent one.
func (t *Timeline) failedAttempts() (causes []string) {
	for i := range t.Own {
		switch line := &t.Own[i]; line.Text {
		case "attempt failed":
			causes = append(causes, fmt.Sprintf("server %s failed it after %v (%s): %s",
				line.field("server"), line.duration("after"), line.field("failure"), line.field("error")))
		case "attempt silent":
			causes = append(causes, fmt.Sprintf("server %s was silent after %v (%s)",
				line.field("server"), line.duration("after"), line.field("failure")))
		case "silent attempt kept":
			causes = append(causes, "nothing took the place of the silent attempt: "+line.field("reason"))
		}
	}
	return causes
}

// crashRefusals describes each refusal because the request's content, or a part of its
// prompt, crashed servers.
func (t *Timeline) crashRefusals() (causes []string) {
	for i := range t.Own {
		line := &t.Own[i]
		if line.Text != "request refused for crashes" {
			continue
		}
		crashes, _ := line.Fields["crashes"].(float64)
		causes = append(causes, fmt.Sprintf("it was refused for %v since %d crashes of servers are held against %s",
			line.duration("for"), int(crashes), line.field("digest")))
	}
	return causes
}

// loadOrders counts the orders about the item that the request waited for, by their
// result.
func (t *Timeline) loadOrders(item string) []string {
	ordered, accepted, done, rejected := 0, 0, 0, 0
	for i := range t.Related {
		line := &t.Related[i]
		load, _ := line.Fields["load"].(bool)
		switch {
		case line.Time.Before(t.Own[0].Time):
		case line.Text == "order sent" && (line.field("for") == item || load && line.field("item") == item):
			ordered++
		case !load || line.field("item") != item:
		case line.Text == "order done":
			done++
		case line.Text == "order answered" && line.field("outcome") == "accepted":
			accepted++
		case line.Text == "order answered":
			rejected++
		}
	}
	if ordered+accepted+rejected+done == 0 {
		return []string{fmt.Sprintf("while it waited no order about %s was given", item)}
	}
	return []string{fmt.Sprintf("while it waited, orders about %s: %d sent, loads accepted %d, rejected %d, done %d",
		item, ordered, accepted, rejected, done)}
}

// pauses describes each pause of a node's process.
func (t *Timeline) pauses() (causes []string) {
	for i := range t.Related {
		if line := &t.Related[i]; line.Text == "process was paused" {
			causes = append(causes, fmt.Sprintf("the process on %s was paused for %v until %.3fs",
				line.VM, line.duration("took"), line.Time.Sub(t.Own[0].Time).Seconds()))
		}
	}
	return causes
}

// lossCauses maps the messages of log lines that report a loss, or a change that
// may cause one, to their descriptions.
var lossCauses = map[string]string{
	"scheduler lost":          "its node could not reach the scheduler",
	"lease lost":              "the right to give orders was lost",
	"lease seen":              "the scheduler changed",
	"engine lost":             "the engine was lost",
	"backend server crashed":  "the server crashed",
	"server draining":         "the server was draining",
	"server out":              "the server left the list",
	"server entry unreadable": "the entry of the server could not be read",
}

// losses describes each kind of loss once for each server, with the time of its
// first log line.
func (t *Timeline) losses() (causes []string) {
	reported := make(map[string]bool)
	for i := range t.Related {
		line := &t.Related[i]
		what, found := lossCauses[line.Text]
		if !found {
			continue
		}
		if server := line.field("server"); server != "" {
			what += " (" + server + ")"
		}
		if !reported[what] {
			reported[what] = true
			causes = append(causes, fmt.Sprintf("at %.3fs by %s: %s", line.Time.Sub(t.Own[0].Time).Seconds(), line.VM, what))
		}
	}
	return causes
}
