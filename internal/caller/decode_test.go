package caller_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// FuzzRequestDecoding checks that any request gets an answer with a body, and
// never an engine's answer unless it names a deployed model.
func FuzzRequestDecoding(f *testing.F) {
	f.Add([]byte(chatBody), "application/json", "1000", "", "/v1/chat/completions")
	f.Add([]byte(`{"model":"hop","prompt":["a"]}`), "application/json;charset=utf-8", "-1", "x/9", "/v1/completions")
	f.Add([]byte(`{"model":"hop:fair","messages":[{"role":1}]}`), "text/plain", "", "/", "/v1/batch/chat/completions")
	f.Add([]byte("\xff\x00{"), "", "99999999999999999999", "a/b/1", "/orders/../x")
	node := &caller.Server{
		Snapshot: snapshot, Directory: fixedDirectory(nil), Store: standin.NewTable(),
		Services: func(fleet.PoolID) []vmlist.VM { return nil },
	}
	handler := node.Handler()
	f.Fuzz(func(t *testing.T, body []byte, contentType, deadline, lastID, path string) {
		c := qt.New(t)
		request := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
		request.URL.Path, request.RequestURI = path, path
		request.Header.Set("Content-Type", contentType)
		request.Header.Set(engine.DeadlineHeader, deadline)
		request.Header.Set(engine.LastEventIDHeader, lastID)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		c.Assert(answer.Code >= 400 || answer.Code == http.StatusAccepted, qt.IsTrue, qt.Commentf("%d", answer.Code))
		c.Assert(answer.Body.Len() > 0, qt.IsTrue)
	})
}
