package hosted_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

const (
	// silence is the time for which servers are silent in the tests. It is longer than
	// the time after which a node looks into a silence.
	silence = 1500 * time.Millisecond
	// slowEvent is the interval between events of streams in which a silence begins,
	// piecesBeforeSilence the number of pieces that a caller has by then. A node looks
	// once a second whether there was progress, so a silence that begins shortly before
	// such a look is still there at the next.
	slowEvent           = 150 * time.Millisecond
	piecesBeforeSilence = 6
)

// muteEngines has all engines be silent for a while.
func (f *fixture) muteEngines() {
	for _, engine := range f.site.EngineList {
		engine.Mute(silence)
	}
}

// watcher sees the body of an answer as it arrives and calls begin once, when it has seen
// a number of pieces.
type watcher struct {
	seen   bytes.Buffer
	pieces int
	begin  func()
}

// Write implements [io.Writer].
func (w *watcher) Write(data []byte) (int, error) {
	count, err := w.seen.Write(data)
	if w.begin != nil && bytes.Count(w.seen.Bytes(), []byte("data: piece ")) >= w.pieces {
		w.begin()
		w.begin = nil
	}
	return count, err
}

// sendBesideSilence sends a request for a stream. All engines fall silent in its middle
// and go on.
func (f *fixture) sendBesideSilence(path string) response {
	request, err := standin.NewRequest(f.nodes[0].Addresses().Callers, http.MethodPost, path, "m1", "hello")
	f.Assert(err, qt.IsNil)
	answer, err := standin.SendObserved(request, &watcher{pieces: piecesBeforeSilence, begin: f.muteEngines})
	return response{Answer: answer, err: err}
}

// TestStreamIsWholeAfterASilence has a stream that can't be resumed fall silent and go on.
func TestStreamIsWholeAfterASilence(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 1, Models: 3, EventTime: slowEvent}, 1)
	answer := f.sendBesideSilence(standin.Streaming + "chat")
	f.checkCompleteStream(answer)
	f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1)
}

// TestResumableStreamIsWholeAfterASilence does the same with a stream that can be resumed.
func TestResumableStreamIsWholeAfterASilence(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 1, Models: 3, EventTime: slowEvent}, 1)
	f.checkCompleteStream(f.sendBesideSilence(standin.Resumable + "chat"))
}

// TestAnswerIsWholeAfterASilence has all services fall silent before they answer.
func TestAnswerIsWholeAfterASilence(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 2, Models: 3}, 1)
	for _, prefix := range []string{standin.Once, standin.Repeatable} {
		for _, service := range f.site.ServiceList {
			service.Mute(silence)
		}
		answer := f.send(0, http.MethodPost, prefix+"book", "", "{}")
		f.Check(answer.err, qt.IsNil)
		f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", prefix, answer.Body))
		f.Check(answer.Body, qt.Matches, `POST `+prefix+`book by service\d: \{\}`)
	}
}
