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

// Parse reads a ticket from JSON. It refuses unknown and repeated fields,
// values of the wrong type or unit, and anything behind the ticket. The error
// is a [strictjson.FieldErrors] with every wrong value and its path. Field names
// match exactly.
//
// A parsed ticket has the right form; [Validate] checks its meaning.
func Parse(text []byte) (Ticket, error) {
	var problems strictjson.FieldErrors
	if len(text) > maxTicketBytes {
		problems.Add("", "%d bytes, more than %d; split the ticket", len(text), maxTicketBytes)
		return Ticket{}, problems
	}
	var parsed Ticket
	err := strictjson.Decode(text, &parsed)
	if errors.As(err, &problems) {
		// What could be read is checked as well, so that all is reported at once.
		return Ticket{}, sorted(problems.Merge(meaning(parsed).FieldErrors))
	}
	return parsed, err
}

// sorted returns the problems ordered by path, or nil if there are none.
func sorted(problems strictjson.FieldErrors) error {
	slices.SortStableFunc(problems, func(a, b strictjson.FieldError) int {
		return strings.Compare(a.Path+a.Message, b.Path+b.Message)
	})
	return problems.Err()
}
