package ticket

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/strictjson"
)

// maxTicketBytes bounds the JSON text of a ticket so that its record fits into
// one item of the table service.
const maxTicketBytes = 300 << 10

// Parse decodes a ticket from JSON. It refuses a text of more than 300 KiB,
// unknown and repeated fields, values of the wrong type or unit, and data after
// the ticket. Field names are case-sensitive. The error is a
// [strictjson.FieldErrors] with the path of every wrong value.
//
// Parse checks only the form of a ticket that it accepts; [Validate] checks the
// values.
func Parse(text []byte) (Ticket, error) {
	var problems strictjson.FieldErrors
	if len(text) > maxTicketBytes {
		problems.Add("", "%d bytes, more than %d; split the ticket", len(text), maxTicketBytes)
		return Ticket{}, problems
	}
	var parsed Ticket
	err := strictjson.Decode(text, &parsed)
	if errors.As(err, &problems) {
		// Also check the decoded fields, so that all errors are reported at once.
		return Ticket{}, sortedProblems(problems.Merge(checkContents(parsed).FieldErrors))
	}
	return parsed, err
}

// sortedProblems returns the problems ordered by path, or nil if there are none.
func sortedProblems(problems strictjson.FieldErrors) error {
	slices.SortStableFunc(problems, func(a, b strictjson.FieldError) int {
		return strings.Compare(a.Path+a.Message, b.Path+b.Message)
	})
	return problems.Err()
}
