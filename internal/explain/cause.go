package explain

import (
	"fmt"
	"time"
)

// Causes sums up what the lines say about the end of the request: what it was
// refused for or where it failed, and what happened meanwhile to the node, the
// scheduler, the model and the servers that it was sent to.
func (s *Story) Causes() (causes []string) {
	causes = append(causes, s.ending())
	causes = append(causes, s.failures()...)
	if s.Own[0].Text == "request queued" {
		causes = append(causes, s.loads()...)
	}
	causes = append(causes, s.pauses()...)
	causes = append(causes, s.losses()...)
	return causes
}

// field returns a field as text; empty if the line lacks it.
func (l *Line) field(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// span returns a field that holds nanoseconds.
func (l *Line) span(name string) time.Duration {
	number, _ := l.Fields[name].(float64)
	return time.Duration(number).Round(time.Millisecond)
}

// ending says how the request ended and whether a server may have run it.
func (s *Story) ending() string {
	last := &s.Own[len(s.Own)-1]
	if last.Text != "request ended" {
		return "the end of the request is in none of the logs: its node stopped, or its log is missing"
	}
	ran := "it has not run"
	if maybe, _ := last.Fields["mayHaveRun"].(bool); maybe {
		ran = "a server may have run it"
	}
	return fmt.Sprintf("ended after %v: %s; %s", last.span("took"), last.field("outcome"), ran)
}

// failures lists the attempts that failed.
func (s *Story) failures() (causes []string) {
	for at := range s.Own {
		if line := &s.Own[at]; line.Text == "attempt failed" {
			causes = append(causes, fmt.Sprintf("server %s failed it after %v (%s): %s",
				line.field("server"), line.span("after"), line.field("failure"), line.field("error")))
		}
	}
	return causes
}

// loads says what was done while the request waited to have its model loaded.
func (s *Story) loads() []string {
	item := s.Own[0].field("item")
	ordered, accepted, done, rejected := 0, 0, 0, 0
	for at := range s.Around {
		line := &s.Around[at]
		load, _ := line.Fields["load"].(bool)
		switch {
		case line.Time.Before(s.Own[0].Time):
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

// pauses lists how long the node's process did not run.
func (s *Story) pauses() (causes []string) {
	for at := range s.Around {
		if line := &s.Around[at]; line.Text == "process was paused" {
			causes = append(causes, fmt.Sprintf("the process on %s was paused for %v until %.3fs",
				line.VM, line.span("took"), line.Time.Sub(s.Own[0].Time).Seconds()))
		}
	}
	return causes
}

// lossTexts are the texts of lines that say that something was lost.
var lossTexts = map[string]string{
	"scheduler lost":         "its node could not reach the scheduler",
	"lease lost":             "the right to give orders was lost",
	"lease seen":             "the scheduler changed",
	"engine lost":            "the engine was lost",
	"backend server crashed": "the server crashed",
	"server draining":        "the server was draining",
	"server out":             "the server left the list",
}

// losses lists each kind of loss once for each server, with the time of its
// first line.
func (s *Story) losses() (causes []string) {
	told := make(map[string]bool)
	for at := range s.Around {
		line := &s.Around[at]
		what, found := lossTexts[line.Text]
		if !found {
			continue
		}
		if server := line.field("server"); server != "" {
			what += " (" + server + ")"
		}
		if !told[what] {
			told[what] = true
			causes = append(causes, fmt.Sprintf("at %.3fs by %s: %s", line.Time.Sub(s.Own[0].Time).Seconds(), line.VM, what))
		}
	}
	return causes
}
