package operator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/config"
	"github.com/guavatrack/guavatrack/internal/strictjson"
	"github.com/guavatrack/guavatrack/internal/table"
)

// badRequestError is a mistake in the request itself.
type badRequestError struct {
	message string
}

func (b badRequestError) Error() string { return b.message }

// respond turns a function into a handler that sends its result as JSON.
func respond(serve func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer, err := serve(r)
		if err != nil {
			send(w, statusOf(err), errorBody{Error: describe(err)})
			return
		}
		send(w, http.StatusOK, answer)
	}
}

func send(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func describe(err error) Error {
	var fields strictjson.FieldErrors
	if errors.As(err, &fields) {
		return Error{Message: "wrong values, nothing was changed", Fields: fields}
	}
	return Error{Message: err.Error()}
}

// statusOf maps an error to an HTTP status.
func statusOf(err error) int {
	var fields strictjson.FieldErrors
	var bad badRequestError
	switch {
	case errors.As(err, &fields), errors.As(err, &bad):
		return http.StatusBadRequest
	case errors.Is(err, config.ErrNumberTaken), errors.Is(err, config.ErrStale):
		return http.StatusConflict
	case errors.Is(err, table.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, config.ErrBehind):
		return http.StatusServiceUnavailable
	case errors.Is(err, table.ErrUnknown):
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

// number reads a whole number from a query or path value; empty is the
// fallback.
func number(name, text string, fallback uint64) (uint64, error) {
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequestError{name + ": want a whole number, found " + strconv.Quote(text)}
	}
	return value, nil
}
