package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/guavatrack/guavatrack/internal/batch"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/refusal"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

const (
	// batchPrefix is the path prefix for submitting completions as jobs.
	batchPrefix = "/v1/batch/"
	// jobPollInterval is the interval at which callers are asked to poll a job.
	jobPollInterval = 5 * time.Second
	// maxJobAnswer is the largest answer stored with a job, in bytes.
	maxJobAnswer = 256 << 10
	// maxJobBody is the largest request body stored with a job, in bytes.
	maxJobBody = 128 << 10
	// jobAttemptTimeout bounds one attempt to run a job.
	jobAttemptTimeout = 10 * time.Minute
)

// jobStatus is the state of a job as returned to its caller.
type jobStatus struct {
	ID    batch.JobID `json:"id"`
	State batch.State `json:"state"`
	// Status is the HTTP status of the answer, which is available at the path
	// Answer.
	Status      int       `json:"status,omitempty"`
	Answer      string    `json:"answer,omitempty"`
	Deadline    time.Time `json:"deadline"`
	PollAfterMs int64     `json:"pollAfterMs,omitempty"`
}

func statusOf(job batch.Job) jobStatus {
	status := jobStatus{ID: job.ID, State: job.State, Deadline: job.Deadline}
	if job.Answer == nil {
		status.PollAfterMs = jobPollInterval.Milliseconds()
		return status
	}
	status.Status = job.Answer.Status
	status.Answer = batchPrefix + string(job.ID) + "/answer"
	return status
}

// submitJob stores a completion as a job to be run later.
func (s *Server) submitJob(call *Call) error {
	if call.Stream {
		return refusal.New(refusal.Malformed, "stream: a job has no stream")
	}
	if len(call.Body) > maxJobBody {
		return refusal.New(refusal.TooLarge, "the body of a job is larger than 128 KiB")
	}
	timeout, err := requestedTimeout(call, batch.DefaultTimeout)
	if err != nil {
		return err
	}
	key := string(call.Key)
	if key == "" {
		key = uuid.NewString()
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, call.Body); err != nil {
		return refusal.New(refusal.Malformed, "the body is not JSON")
	}
	deadline := call.Started.Add(timeout)
	job, err := s.batch.Submit(call.Context, batch.Job{
		ID: batch.NewID(call.Caller, key), Caller: call.Caller, Path: completionPathOf(call.Request.URL.Path),
		Body: compact.Bytes(), SubmittedAt: call.Started, Deadline: deadline, ExpiresAt: deadline.Add(batch.Retention),
		State: batch.Waiting,
	})
	switch {
	case errors.Is(err, batch.ErrKeyReused):
		return refusal.New(refusal.KeyReused, "the key was used for another job")
	case errors.Is(err, table.ErrOutcomeUnknown):
		call.mayBeStored = true
		return refusal.New(refusal.OutcomeUnknown, "the job may have been stored; submit it again under the same key")
	case err != nil:
		return &refusal.Refusal{
			Reason: refusal.TableUnavailable, Message: "the job could not be stored", RetryAfter: tableRetryAfter,
		}
	}
	return writeJSON(call, http.StatusAccepted, statusOf(job))
}

// completionPathOf returns the path of a completion at an engine: the path without
// the prefix of jobs, if it has one.
func completionPathOf(path string) string {
	if rest, found := strings.CutPrefix(path, batchPrefix); found {
		return "/v1/" + rest
	}
	return path
}

// fetchJob returns the job named in the path if it belongs to the caller.
func (s *Server) fetchJob(call *Call) (batch.Job, error) {
	id := batch.JobID(mux.Vars(call.Request)["job"])
	job, _, err := s.batch.Fetch(call.Context, id)
	switch {
	case errors.Is(err, table.ErrNotFound), err == nil && job.Caller != call.Caller:
		return job, refusal.New(refusal.UnknownJob, "there is no such job")
	case err != nil:
		return job, &refusal.Refusal{
			Reason: refusal.TableUnavailable, Message: "the job could not be read", RetryAfter: tableRetryAfter,
		}
	}
	return job, nil
}

func (s *Server) getJob(call *Call) error {
	job, err := s.fetchJob(call)
	if err != nil {
		return err
	}
	return writeJSON(call, http.StatusOK, statusOf(job))
}

// getJobAnswer sends the stored answer of a job as received from the engine, or
// the job's status if there is no answer yet.
func (s *Server) getJobAnswer(call *Call) error {
	job, err := s.fetchJob(call)
	if err != nil {
		return err
	}
	if job.Answer == nil {
		return writeJSON(call, http.StatusAccepted, statusOf(job))
	}
	call.Response.Header().Set("Content-Type", job.Answer.ContentType)
	return writeBody(call, job.Answer.Status, job.Answer.Body)
}

// responseRecorder records the answer of a job, which has no connection to a
// caller.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements [http.ResponseWriter].
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements [http.ResponseWriter].
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write implements [http.ResponseWriter].
func (r *responseRecorder) Write(body []byte) (int, error) { return r.body.Write(body) }

// executeJob makes one attempt to run a job.
func (s *Server) executeJob(ctx context.Context, job batch.Job) batch.Result {
	ctx, cancel := context.WithTimeout(ctx, jobAttemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, job.Path, bytes.NewReader(job.Body))
	if err != nil {
		return batch.Result{}
	}
	request.Header.Set("Content-Type", jsonType)
	request.Header.Set(engine.DeadlineHeader, "600000")
	recorded := &responseRecorder{header: make(http.Header)}
	call := &Call{Request: request, Response: recorded, Snapshot: s.Snapshot()}
	call.Context, call.Started = ctx, time.Now()
	call.Caller, call.ID = job.Caller, requestID(job.Caller, string(job.ID))
	if err := s.jobChain.Handle(call); err != nil {
		return refusedJobResult(refusalOf(call, err), recorded)
	}
	if recorded.body.Len() > maxJobAnswer {
		return refusedJobResult(refusal.New(refusal.AnswerNotKept, "the answer is too large to be kept"), recorded)
	}
	return batch.Result{Answer: &batch.Answer{
		Status: recorded.status, ContentType: recorded.header.Get("Content-Type"), Body: recorded.body.Bytes(),
	}}
}

// refusedJobResult returns the refusal as the job's answer if another attempt would
// be refused in the same way; otherwise the job is to be retried.
func refusedJobResult(refused *refusal.Refusal, recorded *responseRecorder) batch.Result {
	switch refused.Reason {
	case refusal.Malformed, refusal.UnknownModel, refusal.WrongContentType, refusal.TooLarge,
		refusal.CrashedServers, refusal.AnswerNotKept:
	default:
		return batch.Result{RetryAfter: refused.RetryAfter}
	}
	recorded.body.Reset()
	if refused.Answer(recorded) != nil {
		return batch.Result{}
	}
	return batch.Result{Answer: &batch.Answer{
		Status: recorded.status, ContentType: jsonType, Body: recorded.body.Bytes(),
	}}
}

// setBatchClass gives a completion the least urgent class.
func setBatchClass(call *Call, next Handler) error {
	call.Class = ticket.Batch
	return next.Handle(call)
}
