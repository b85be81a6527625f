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
	// batchPrefix stands before the path of a completion that may wait.
	batchPrefix = "/v1/batch/"
	// batchPoll is when a caller should ask for a job again.
	batchPoll = 5 * time.Second
	// maxBatchAnswer is the largest answer that a job keeps, in bytes.
	maxBatchAnswer = 256 << 10
	// maxBatchBody is the largest request that a job keeps, in bytes.
	maxBatchBody = 128 << 10
	// batchRunTimeout bounds one attempt at a job.
	batchRunTimeout = 10 * time.Minute
)

// jobStatus is what a caller learns of a job.
type jobStatus struct {
	ID    batch.JobID `json:"id"`
	State batch.State `json:"state"`
	// Status is the HTTP status of the answer, which is under Answer's path.
	Status      int       `json:"status,omitempty"`
	Answer      string    `json:"answer,omitempty"`
	Deadline    time.Time `json:"deadline"`
	PollAfterMs int64     `json:"pollAfterMs,omitempty"`
}

func statusOf(job batch.Job) jobStatus {
	status := jobStatus{ID: job.ID, State: job.State, Deadline: job.Deadline}
	if job.Answer == nil {
		status.PollAfterMs = batchPoll.Milliseconds()
		return status
	}
	status.Status = job.Answer.Status
	status.Answer = batchPrefix + string(job.ID) + "/answer"
	return status
}

// submitJob stores a completion that may wait.
func (s *Server) submitJob(call *Call) error {
	if call.Stream {
		return refusal.New(refusal.Malformed, "stream: a job has no stream")
	}
	if len(call.Body) > maxBatchBody {
		return refusal.New(refusal.TooLarge, "the body of a job is larger than 128 KiB")
	}
	timeout, err := timeoutOf(call, batch.Timeout)
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
		ID: batch.NewID(call.Caller, key), Caller: call.Caller, Path: completionOf(call.Request.URL.Path),
		Body: compact.Bytes(), At: call.Started, Deadline: deadline, Until: deadline.Add(batch.Keep),
		State: batch.Waiting,
	})
	switch {
	case errors.Is(err, batch.ErrReused):
		return refusal.New(refusal.KeyReused, "the key was used for another job")
	case errors.Is(err, table.ErrUnknown):
		call.mayBeStored = true
		return refusal.New(refusal.OutcomeUnknown, "the job may have been stored; submit it again under the same key")
	case err != nil:
		return &refusal.Refusal{
			Reason: refusal.TableUnavailable, Message: "the job could not be stored", RetryAfter: tableRetryAfter,
		}
	}
	return writeJSON(call, http.StatusAccepted, statusOf(job))
}

// completionOf returns the path of a completion, with or without the prefix of
// jobs.
func completionOf(path string) string {
	if rest, found := strings.CutPrefix(path, batchPrefix); found {
		return "/v1/" + rest
	}
	return path
}

// fetch returns the job that the path names, if it is the caller's own.
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

func (s *Server) showJob(call *Call) error {
	job, err := s.fetchJob(call)
	if err != nil {
		return err
	}
	return writeJSON(call, http.StatusOK, statusOf(job))
}

// answerJob returns the answer of a job as the engine gave it.
func (s *Server) answerJob(call *Call) error {
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

// recorder takes the answer of a job in place of a caller.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements [http.ResponseWriter].
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements [http.ResponseWriter].
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements [http.ResponseWriter].
func (r *recorder) Write(body []byte) (int, error) { return r.body.Write(body) }

// executeJob makes one attempt at a job.
func (s *Server) executeJob(ctx context.Context, job batch.Job) batch.Result {
	ctx, cancel := context.WithTimeout(ctx, batchRunTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, job.Path, bytes.NewReader(job.Body))
	if err != nil {
		return batch.Result{}
	}
	request.Header.Set("Content-Type", jsonType)
	request.Header.Set(engine.DeadlineHeader, "600000")
	answer := &recorder{header: make(http.Header)}
	call := &Call{Request: request, Response: answer, Snapshot: s.Snapshot()}
	call.Context, call.Started = ctx, time.Now()
	call.Caller, call.ID = job.Caller, requestID(job.Caller, string(job.ID))
	if err := s.jobChain.Handle(call); err != nil {
		return jobRefusal(refusalOf(call, err), answer)
	}
	if answer.body.Len() > maxBatchAnswer {
		return jobRefusal(refusal.New(refusal.AnswerNotKept, "the answer is too large to be kept"), answer)
	}
	return batch.Result{Answer: &batch.Answer{
		Status: answer.status, ContentType: answer.header.Get("Content-Type"), Body: answer.body.Bytes(),
	}}
}

// jobRefusal ends a job with a refusal that another attempt would not change,
// and has it tried again after any other.
func jobRefusal(refused *refusal.Refusal, answer *recorder) batch.Result {
	switch refused.Reason {
	case refusal.Malformed, refusal.UnknownModel, refusal.WrongContentType, refusal.TooLarge,
		refusal.CrashedServers, refusal.AnswerNotKept:
	default:
		return batch.Result{RetryAfter: refused.RetryAfter}
	}
	answer.body.Reset()
	if refused.Answer(answer) != nil {
		return batch.Result{}
	}
	return batch.Result{Answer: &batch.Answer{
		Status: answer.status, ContentType: jsonType, Body: answer.body.Bytes(),
	}}
}

// batchClass runs a completion in the least urgent class.
func batchClass(call *Call, next Handler) error {
	call.Class = ticket.Batch
	return next.Handle(call)
}
