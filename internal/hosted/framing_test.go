package hosted_test

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// arrival is a request that has reached an engine.
type arrival struct{ engine, lastEventID string }

// arrivals are the requests that have reached engines, in order.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

// recordArrivals records the requests that reach the engines from now on. The first one
// gets the fault.
func (f *fixture) recordArrivals(fault standin.Fault) *arrivals {
	recorded, firstOnly := &arrivals{}, faultOnce(fault)
	for _, engine := range f.site.EngineList {
		engine.SetFault(func(r *http.Request) standin.Fault {
			recorded.mu.Lock()
			defer recorded.mu.Unlock()
			recorded.list = append(recorded.list, arrival{engine.ID, r.Header.Get("Last-Event-Id")})
			return firstOnly(r)
		})
	}
	return recorded
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// checkCutStream checks that the caller got whole events, but not all, and can tell that
// they are not all.
func (f *fixture) checkCutStream(answer response) {
	f.Helper()
	f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	f.Check(answer.err, qt.IsNotNil)
	pieces := answer.Pieces()
	f.Assert(len(pieces) < len(completeStream), qt.IsTrue, qt.Commentf("%v", pieces))
	f.Check(pieces, qt.DeepEquals, completeStream[:len(pieces)])
	f.Check(answer.Body, qt.Matches, `(id: \d\ndata: piece \d\n\n)+`)
}

// unframedWhole are the faults after which an answer is whole.
var unframedWhole = map[string]standin.Fault{
	"without Connection": standin.Unframed, "with Connection: close": standin.UnframedClose,
}

// unframedBroken are the faults after which a stream is not whole.
var unframedBroken = map[string]standin.Fault{
	"cut inside an event": standin.UnframedCut, "reset": standin.UnframedReset,
}

// TestAnswersThatEndWithTheirConnectionAreWhole has servers answer with neither a length
// nor chunks.
func TestAnswersThatEndWithTheirConnectionAreWhole(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 3, Models: 3}, 1)
	for name, fault := range unframedWhole {
		for _, prefix := range []string{standin.Once, standin.Repeatable} {
			f.faultServices(fault)
			answer := f.send(0, http.MethodPost, prefix+"book", "", "{}")
			f.Check(answer.err, qt.IsNil, qt.Commentf("%s", name))
			f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", name, answer.Body))
			f.Check(answer.Body, qt.Matches, `POST `+prefix+`book by service\d: \{\}`)
			f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1)
		}
		for _, prefix := range []string{standin.Streaming, standin.Resumable} {
			recorded := f.recordArrivals(fault)
			f.checkCompleteStream(f.send(0, http.MethodPost, prefix+"chat", "m1", "hello"))
			f.Check(recorded.all(), qt.HasLen, 1, qt.Commentf("%s", name))
		}
	}
}

// TestBrokenStreamWithoutFramingIsResumed has a stream with neither a length nor chunks
// end before its last event. It goes on at another engine after the last whole event.
func TestBrokenStreamWithoutFramingIsResumed(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 1, Models: 3}, 1)
	for name, fault := range unframedBroken {
		recorded := f.recordArrivals(fault)
		f.checkCompleteStream(f.send(0, http.MethodPost, standin.Resumable+"chat", "m1", "hello"))
		found := recorded.all()
		f.Assert(found, qt.HasLen, 2, qt.Commentf("%s", name))
		f.Check(found[1].engine, qt.Not(qt.Equals), found[0].engine, qt.Commentf("%s", name))
		f.Check(found[1].lastEventID, qt.Equals, "4", qt.Commentf("%s", name))
	}
}

// TestBrokenStreamWithoutFramingIsNotCompleteToTheCaller does the same on a route whose
// streams can't be resumed.
func TestBrokenStreamWithoutFramingIsNotCompleteToTheCaller(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 1, Models: 3}, 1)
	for name, fault := range unframedBroken {
		f.faultEngines(fault)
		answer := f.send(0, http.MethodPost, standin.Streaming+"chat", "m1", "hello")
		f.checkCutStream(answer)
		f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1, qt.Commentf("%s", name))
	}
}

// TestResetAnswerWithoutFramingIsNotDelivered has a service reset the connection in the
// middle of an answer with neither a length nor chunks.
func TestResetAnswerWithoutFramingIsNotDelivered(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 3, Models: 3}, 1)
	f.faultServices(standin.UnframedReset)
	answer := f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
	f.Check(answer.err, qt.IsNil)
	f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	f.Check(answer.Body, qt.Matches, `GET /repeatable/stock by service\d: `)
	f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 2)
	f.faultServices(standin.UnframedReset)
	answer = f.send(0, http.MethodPost, standin.Once+"book", "", "{}")
	f.Check(answer.err, qt.IsNil)
	f.Check(answer.Status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", answer.Body))
	f.Check(answer.Signature, qt.Equals, "")
	f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 1)
}

// brokenAnswers are the faults of answers that may reach no caller: one that is reset after a
// part while a long upload is written, and heads that are none of the protocol.
var brokenAnswers = map[string]standin.Fault{
	"early reset": standin.EarlyReset, "status 000": standin.ZeroStatus, "blank in a name": standin.BlankName,
	"blank in the name of the length": standin.BlankLength, "control byte in a name": standin.ControlName,
}

// TestBrokenAnswersReachNoCaller has the first server that gets a request send a broken answer.
// A call that may run again is answered by another one; the others are known to have failed.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 3, Models: 3}, 1)
	for name, fault := range brokenAnswers {
		f.faultServices(fault)
		answer := f.send(0, http.MethodGet, standin.Repeatable+"stock", "", "")
		f.Check(answer.err, qt.IsNil, qt.Commentf("%s", name))
		f.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", name, answer.Body))
		f.Check(answer.Body, qt.Matches, `GET /repeatable/stock by service\d: `)
		f.Check(f.site.Ledger.Runs(answer.ID), qt.Equals, 2, qt.Commentf("%s", name))
		f.faultServices(fault)
		answer = f.send(0, http.MethodPost, standin.Once+"book", "", "{}")
		f.Check(answer.err, qt.IsNil, qt.Commentf("%s", name))
		f.Check(answer.Status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %s", name, answer.Body))
		f.Check(answer.Signature, qt.Equals, "", qt.Commentf("%s", name))
		f.faultEngines(fault)
		f.checkCompleteStream(f.send(0, http.MethodPost, standin.Resumable+"chat", "m1", "hello"))
	}
}

// rawAnswer returns the bytes with which a server itself answers.
func (f *fixture) rawAnswer(server *standin.Server, request *http.Request) string {
	f.Helper()
	connection, err := net.Dial("tcp", server.Address)
	f.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	f.Assert(request.Write(connection), qt.IsNil)
	answer, err := io.ReadAll(connection)
	f.Assert(err, qt.IsNil)
	return string(answer)
}

// TestUnframedAnswersHaveNeitherLengthNorChunks checks the stand-ins themselves, and that they
// send broken heads.
func TestUnframedAnswersHaveNeitherLengthNorChunks(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 1, Services: 1, Models: 3}, 0)
	for fault, want := range map[standin.Fault]string{
		standin.ZeroStatus: `HTTP/1\.1 000 Nothing`, standin.BlankName: `Odd Name: 1`, standin.BlankLength: `Content-Length : \d*`,
		standin.ControlName: "Odd\x01Name: 1",
	} {
		f.faultServices(fault)
		request, err := standin.NewRequest(f.site.ServiceList[0].Address, http.MethodPost, "/x", "", "hello")
		f.Assert(err, qt.IsNil)
		f.Check(f.rawAnswer(&f.site.ServiceList[0].Server, request), qt.Matches, `(?s)(.*\r\n)?`+want+`\r\n.*hello(MORE)?`)
	}
	for _, fault := range []standin.Fault{standin.Unframed, standin.UnframedClose, standin.UnframedCut} {
		f.faultServices(fault)
		f.faultEngines(fault)
		for server, model := range map[*standin.Server]string{&f.site.ServiceList[0].Server: "", &f.site.EngineList[0].Server: "m0"} {
			request, err := standin.NewRequest(server.Address, http.MethodPost, "/x", model, "hello")
			f.Assert(err, qt.IsNil)
			answer := f.rawAnswer(server, request)
			f.Check(answer, qt.Matches, `(?s)HTTP/1.1 200 OK\r\n.*(hello|data: piece 8\n\n|id: 5\nda)`)
			f.Check(answer, qt.Not(qt.Contains), "Content-Length")
			f.Check(answer, qt.Not(qt.Contains), "Transfer-Encoding")
			f.Check(strings.Contains(answer, "Connection: close\r\n"), qt.Equals, fault == standin.UnframedClose)
		}
	}
}
