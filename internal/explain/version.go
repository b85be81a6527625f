package explain

import (
	"fmt"
	"slices"
	"strings"
)

// streamVersions describes the software versions that a stream needed and got: that which
// began it for an earlier request, those of the servers that the request was sent to if
// there were several, and that of which no server was in service.
func (t *Timeline) streamVersions() (causes []string) {
	sent := t.sentVersions()
	if rest := t.lastOwn("rest of a stream requested"); rest != nil {
		causes = append(causes, t.origin(rest.field("resumes"), sent))
	} else if len(sent) > 1 {
		causes = append(causes, "it was sent to servers of software versions "+strings.Join(sent, ", "))
	}
	if absent := t.lastOwn("no server of the version of a stream"); absent != nil {
		causes = append(causes, absent.absentVersion())
	}
	return causes
}

// sentVersions returns the software versions of the servers that the request was sent to,
// each once, in the order of the attempts.
func (t *Timeline) sentVersions() (versions []string) {
	for i := range t.Own {
		line := &t.Own[i]
		if software := line.field("software"); line.Text == "request sent" && !slices.Contains(versions, software) {
			versions = append(versions, software)
		}
	}
	return versions
}

// origin describes which version began the stream of an earlier request, and to which
// versions this request was sent.
func (t *Timeline) origin(resumes string, sent []string) string {
	stream := "the stream of request " + resumes
	if resumes == "" {
		stream = "a stream of a request that the caller does not name"
	}
	went := "it was sent to no server"
	if len(sent) > 0 {
		went = "it was sent to " + strings.Join(sent, ", ")
	}
	found := t.search(resumes)
	switch {
	case found == nil:
		return fmt.Sprintf("it goes on with %s; %s", stream, went)
	case found.Text == versionFound:
		return fmt.Sprintf("it goes on with %s, begun at software version %s (%s); %s",
			stream, found.field("software"), found.field("source"), went)
	default:
		return fmt.Sprintf("it asks for the rest of %s, whose software version was not found: %s", stream, found.field("error"))
	}
}

// Messages of the search for the version that began a stream.
const (
	versionFound    = "version of a stream found"
	versionNotFound = "version of a stream not found"
)

// search returns the line with the result of the last search for the version that began
// the stream of an earlier request; nil if there is none.
func (t *Timeline) search(resumes string) *Line {
	for i := len(t.Related) - 1; i >= 0; i-- {
		line := &t.Related[i]
		if (line.Text == versionFound || line.Text == versionNotFound) && line.field("resumes") == resumes {
			return line
		}
	}
	return nil
}

// absentVersion describes that no server of the version of a stream was in service.
func (l *Line) absentVersion() string {
	end, present := "it was refused", "none"
	if begun, _ := l.Fields["begun"].(bool); begun {
		end = "its answer broke off"
	}
	if listed := l.field("present"); listed != "" {
		present = listed
	}
	return fmt.Sprintf("%s since no server of software version %s was in service; versions in service: %s",
		end, l.field("software"), present)
}
