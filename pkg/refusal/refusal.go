// Package refusal defines the answers that say why a request has no other
// answer.
//
// The set of reasons is closed. Each [Reason] fixes the HTTP status and what
// the caller may conclude about the call, a [Run]. A refusal travels as an
// error body in the OpenAI form with the reason as its code, the run in the
// field "run" and in the header X-Run, and the time to wait in Retry-After.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Run says whether the call that was refused has run on a backend server.
type Run string

// What is known about a refused call.
const (
	// NotRun says that nothing of the call was sent to a backend server. The
	// caller may repeat it whatever it does.
	NotRun Run = "notRun"
	// Unknown says that the call may have run.
	Unknown Run = "unknown"
	// Ran says that the call has run.
	Ran Run = "ran"
)

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	Malformed           Reason = "malformed"
	TooLarge            Reason = "tooLarge"
	SlowSender          Reason = "slowSender"
	WrongContentType    Reason = "wrongContentType"
	Unauthenticated     Reason = "unauthenticated"
	UnknownModel        Reason = "unknownModel"
	UnknownPath         Reason = "unknownPath"
	WrongMethod         Reason = "wrongMethod"
	KeyReused           Reason = "keyReused"
	Poisonous           Reason = "poisonous"
	Overloaded          Reason = "overloaded"
	DeadlineUnreachable Reason = "deadlineUnreachable"
	NoServer            Reason = "noServer"
	TableUnavailable    Reason = "tableUnavailable"
	Draining            Reason = "draining"
	CallerLeft          Reason = "callerLeft"
	UnknownJob          Reason = "unknownJob"
	OutcomeUnknown      Reason = "outcomeUnknown"
	DeadlinePassed      Reason = "deadlinePassed"
	ServerFailed        Reason = "serverFailed"
	CrashedServers      Reason = "crashedServers"
	AnswerNotKept       Reason = "answerNotKept"
)

// statusCallerLeft is the customary status of a request whose caller closed
// the connection. Nobody receives it.
const statusCallerLeft = 499

type property struct {
	status int
	run    Run
	kind   string
}

// Error types of the OpenAI form.
const (
	kindInvalid        = "invalid_request_error"
	kindAuthentication = "authentication_error"
	kindLimit          = "rate_limit_error"
	kindServer         = "server_error"
)

var properties = map[Reason]property{
	Malformed:           {http.StatusBadRequest, NotRun, kindInvalid},
	TooLarge:            {http.StatusRequestEntityTooLarge, NotRun, kindInvalid},
	SlowSender:          {http.StatusRequestTimeout, NotRun, kindInvalid},
	WrongContentType:    {http.StatusUnsupportedMediaType, NotRun, kindInvalid},
	Unauthenticated:     {http.StatusUnauthorized, NotRun, kindAuthentication},
	UnknownModel:        {http.StatusNotFound, NotRun, kindInvalid},
	UnknownPath:         {http.StatusNotFound, NotRun, kindInvalid},
	WrongMethod:         {http.StatusMethodNotAllowed, NotRun, kindInvalid},
	KeyReused:           {http.StatusUnprocessableEntity, NotRun, kindInvalid},
	Poisonous:           {http.StatusUnprocessableEntity, NotRun, kindInvalid},
	Overloaded:          {http.StatusTooManyRequests, NotRun, kindLimit},
	DeadlineUnreachable: {http.StatusServiceUnavailable, NotRun, kindServer},
	NoServer:            {http.StatusServiceUnavailable, NotRun, kindServer},
	TableUnavailable:    {http.StatusServiceUnavailable, NotRun, kindServer},
	Draining:            {http.StatusServiceUnavailable, NotRun, kindServer},
	CallerLeft:          {statusCallerLeft, Unknown, kindServer},
	UnknownJob:          {http.StatusNotFound, NotRun, kindInvalid},
	OutcomeUnknown:      {http.StatusBadGateway, Unknown, kindServer},
	DeadlinePassed:      {http.StatusGatewayTimeout, Unknown, kindServer},
	ServerFailed:        {http.StatusBadGateway, Unknown, kindServer},
	CrashedServers:      {http.StatusUnprocessableEntity, Unknown, kindServer},
	AnswerNotKept:       {http.StatusConflict, Ran, kindInvalid},
}

// Reasons returns every reason, in no particular order.
func Reasons() []Reason {
	reasons := make([]Reason, 0, len(properties))
	for reason := range properties {
		reasons = append(reasons, reason)
	}
	return reasons
}

// Status returns the HTTP status; 0 if the reason is not one of the set.
func (r Reason) Status() int { return properties[r].status }

// Run returns what the caller may conclude about the call.
func (r Reason) Run() Run { return properties[r].run }

// Kind returns the error type of the OpenAI form.
func (r Reason) Kind() string { return properties[r].kind }

// Refusal is an error that is answered to the caller.
type Refusal struct { //nolint:errname // refusal.Refusal is an answer first
	Reason  Reason
	Message string
	// RetryAfter says when the request may be sent again; 0 if the time is not
	// known or a repeat would be refused as well.
	RetryAfter time.Duration
}

// New returns a refusal with a message for a person.
func New(reason Reason, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message}
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// As returns the refusal in the chain of err, if there is one.
func As(err error) (*Refusal, bool) {
	return errors.Into[*Refusal](err)
}

// Names of the headers that a refusal sets.
const (
	RunHeader        = "X-Run"
	retryAfterHeader = "Retry-After"
)

// Body is the JSON form of a refusal.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of a [Body].
type Detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    Reason  `json:"code"`
	Run     Run     `json:"run"`
	// RetryAfterMs is the exact time that Retry-After rounds up to seconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// MarshalJSON returns the body in the OpenAI form.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(Body{Error: Detail{
		Message: r.Message, Type: r.Reason.Kind(), Code: r.Reason, Run: r.Reason.Run(),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}})
}

// Answer answers a request with the refusal.
func (r *Refusal) Answer(w http.ResponseWriter) error {
	body, err := r.MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "refusal body")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(RunHeader, string(r.Reason.Run()))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		header.Set(retryAfterHeader, strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(r.Reason.Status())
	if _, err = w.Write(body); err != nil {
		return errors.Wrap(err, "write refusal")
	}
	return nil
}
