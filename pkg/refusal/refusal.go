// Package refusal defines the error answers that callers receive.
//
// The set of reasons is closed. Each [Reason] determines the HTTP status and the
// [Run], which states whether the call has run. A refusal is sent as an error
// body in the OpenAI form with the reason as its code, the run in the field "run"
// and in the header X-Run, and the time to wait in Retry-After.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Run states whether a refused call has run on a backend server.
type Run string

// Values of Run.
const (
	// NotRun means that nothing of the call was sent to a backend server. The
	// caller may repeat it, even if the call is not idempotent.
	NotRun Run = "notRun"
	// Unknown means that the call may have run.
	Unknown Run = "unknown"
	// Ran means that the call has run.
	Ran Run = "ran"
)

// Reason is the cause of a refusal, as sent in the field "code".
type Reason string

// Reasons of a refusal.
const (
	// Malformed means that the request is malformed.
	Malformed Reason = "malformed"
	// TooLarge means that the body exceeds the size limit.
	TooLarge Reason = "tooLarge"
	// SlowSender means that the body was not received in time.
	SlowSender Reason = "slowSender"
	// WrongContentType means that the body has an unsupported content type.
	WrongContentType Reason = "wrongContentType"
	// Unauthenticated means that the key is missing or unknown.
	Unauthenticated Reason = "unauthenticated"
	// UnknownModel means that the model is not served.
	UnknownModel Reason = "unknownModel"
	// UnknownPath means that no service has the path.
	UnknownPath Reason = "unknownPath"
	// WrongMethod means that the path does not accept the method.
	WrongMethod Reason = "wrongMethod"
	// KeyReused means that the idempotency key was used for a different call.
	KeyReused Reason = "keyReused"
	// Poisonous means that requests of this content have crashed backend servers.
	Poisonous Reason = "poisonous"
	// Overloaded means that too many requests are queued.
	Overloaded Reason = "overloaded"
	// QuotaExceeded means that the organisation of the caller has used its quota.
	QuotaExceeded Reason = "quotaExceeded"
	// DeadlineUnreachable means that the request can't be started before its deadline.
	DeadlineUnreachable Reason = "deadlineUnreachable"
	// NoServer means that no backend server is available.
	NoServer Reason = "noServer"
	// TableUnavailable means that the table service is not available.
	TableUnavailable Reason = "tableUnavailable"
	// Draining means that the node is stopping.
	Draining Reason = "draining"
	// CallerLeft means that the caller closed the connection.
	CallerLeft Reason = "callerLeft"
	// UnknownJob means that there is no such job.
	UnknownJob Reason = "unknownJob"
	// OutcomeUnknown means that the call may have run, and its outcome is not known.
	OutcomeUnknown Reason = "outcomeUnknown"
	// DeadlinePassed means that the deadline passed before the answer was complete.
	DeadlinePassed Reason = "deadlinePassed"
	// ServerFailed means that the backend server failed.
	ServerFailed Reason = "serverFailed"
	// CrashedServers means that backend servers crashed while they ran the request.
	CrashedServers Reason = "crashedServers"
	// AnswerNotKept means that the call has run, but its answer was too large to be
	// stored.
	AnswerNotKept Reason = "answerNotKept"
)

// statusCallerLeft is the customary status of a request whose caller closed
// the connection. It is never received.
const statusCallerLeft = 499

type reasonProperties struct {
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

var propertiesByReason = map[Reason]reasonProperties{
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
	QuotaExceeded:       {http.StatusTooManyRequests, NotRun, kindLimit},
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
	reasons := make([]Reason, 0, len(propertiesByReason))
	for reason := range propertiesByReason {
		reasons = append(reasons, reason)
	}
	return reasons
}

// Status returns the HTTP status, or 0 if the reason is not one of the set.
func (r Reason) Status() int { return propertiesByReason[r].status }

// Run returns whether the call has run, or "" if the reason is not one of the set.
func (r Reason) Run() Run { return propertiesByReason[r].run }

// Kind returns the error type of the OpenAI form, or "" if the reason is not one
// of the set.
func (r Reason) Kind() string { return propertiesByReason[r].kind }

// Refusal is an error that is sent to the caller as the answer.
type Refusal struct { //nolint:errname // refusal.Refusal is an answer first
	Reason  Reason
	Message string
	// RetryAfter is the time to wait before a retry, or 0 if the time is not known
	// or a retry would be refused as well.
	RetryAfter time.Duration
}

// New returns a refusal with a human-readable message and no RetryAfter.
func New(reason Reason, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message}
}

// Error implements error. It returns "reason: message".
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

// As returns the first refusal in the chain of err and whether there is one.
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
	// RetryAfterMs is the time to wait in milliseconds. The header Retry-After
	// gives it rounded up to seconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// MarshalJSON returns the refusal as a [Body], in the OpenAI form.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(Body{Error: Detail{
		Message: r.Message, Type: r.Reason.Kind(), Code: r.Reason, Run: r.Reason.Run(),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}})
}

// Answer writes the refusal to w as the complete response: status, headers and
// JSON body. It returns an error if the body can't be encoded or written.
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
