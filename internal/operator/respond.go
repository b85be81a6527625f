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

// badRequestError reports a malformed request; it is sent with status 400.
type badRequestError struct {
	message string
}

func (b badRequestError) Error() string { return b.message }

// jsonHandler returns a handler that sends the result or the error of serve as JSON.
func jsonHandler(serve func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		result, err := serve(r)
		if err != nil {
			writeJSON(w, httpStatus(err), errorBody{Error: errorResponse(err)})
			return
		}
		writeJSON(w, http.StatusOK, result)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// errorResponse returns the response for an error. Field errors are listed one by one.
func errorResponse(err error) Error {
	var fields strictjson.FieldErrors
	if errors.As(err, &fields) {
		return Error{Message: "wrong values, nothing was changed", Fields: fields}
	}
	return Error{Message: err.Error()}
}

// httpStatus returns the HTTP status code for an error.
func httpStatus(err error) int {
	var fields strictjson.FieldErrors
	var badRequest badRequestError
	switch {
	case errors.As(err, &fields), errors.As(err, &badRequest):
		return http.StatusBadRequest
	case errors.Is(err, config.ErrNumberTaken), errors.Is(err, config.ErrStale):
		return http.StatusConflict
	case errors.Is(err, table.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, table.ErrRejected):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, config.ErrTableOutdated):
		return http.StatusServiceUnavailable
	case errors.Is(err, table.ErrOutcomeUnknown):
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

// parseUint parses a whole number from a query or path value. An empty text gives the
// fallback; name is used in the error.
func parseUint(name, text string, fallback uint64) (uint64, error) {
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequestError{name + ": want a whole number, found " + strconv.Quote(text)}
	}
	return value, nil
}
