package strictjson

import (
	"fmt"
	"slices"
	"strings"
)

// FieldError is one mistake in a document, with its path.
type FieldError struct {
	// Path joins object keys with dots and adds [n] for the n-th array element,
	// from 0. It is empty for the whole value.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message.
func (p FieldError) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// FieldErrors is an error with all mistakes of one document. An empty list is not
// an error: use [FieldErrors.Err] to convert it.
type FieldErrors []FieldError

// Add appends a mistake.
func (p *FieldErrors) Add(path, format string, values ...any) {
	*p = append(*p, FieldError{Path: path, Message: fmt.Sprintf(format, values...)})
}

// Merge returns the mistakes followed by those of others at paths that have none
// yet, so that a value that could not be decoded is reported only once. If the
// document as a whole could not be decoded, the others are dropped.
func (p FieldErrors) Merge(others FieldErrors) FieldErrors {
	named := make(map[string]bool, len(p))
	for _, problem := range p {
		named[problem.Path] = true
	}
	merged := slices.Clone(p)
	if named[""] {
		return merged
	}
	for _, problem := range others {
		if !named[problem.Path] {
			merged = append(merged, problem)
		}
	}
	return merged
}

// Error lists the mistakes, one per line.
func (p FieldErrors) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the mistakes as an error, or nil if there are none.
func (p FieldErrors) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Join appends a key to a path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
