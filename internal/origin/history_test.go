package origin

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/internal/standin"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// begunStream is a stream of which a caller has received the first event.
type begunStream struct {
	request  fleet.RequestID
	software fleet.SoftwareVersion
	begun    time.Time
}

// streamLife is the longest time after its beginning for which the rest of a stream is
// asked for in a history.
const streamLife = time.Minute

// event is one step of a history.
type event struct {
	kind string
	// node, stream, software and versions are what it concerns, each used by some kinds.
	node, stream int
	software     fleet.SoftwareVersion
	versions     []fleet.SoftwareVersion
	pause        time.Duration
}

// drawEvents draws the steps of a history.
func drawEvents(t *rapid.T) []event {
	kinds := []string{
		"begin", "begin", "begin", "find", "find", "find", "pass", "release", "list", "kill", "kill all", "cut", "heal", "lose", "outage",
	}
	releases := [][]fleet.SoftwareVersion{{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v1", "v3"}}
	draw := rapid.Custom(func(t *rapid.T) event {
		return event{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), node: rapid.IntRange(0, historyNodes-1).Draw(t, "node"),
			stream: rapid.IntRange(0, maxEvents).Draw(t, "stream"), versions: rapid.SampledFrom(releases).Draw(t, "versions"),
			software: rapid.SampledFrom([]fleet.SoftwareVersion{"v1", "v2", "v3"}).Draw(t, "software"),
			pause:    time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(draw, maxEvents/2, maxEvents).Draw(t, "events")
}

const (
	historyNodes = 3
	maxEvents    = 60
)

// history plays what happens to the nodes, the servers and the store, and checks that no
// request for the rest of a stream gets another version than the one that began it.
type history struct {
	*cluster
	streams []begunStream
	// listed are the versions of the servers that run; a node may list older ones.
	listed []fleet.SoftwareVersion
	// found counts the requests whose version was found. wrong describes those that got
	// another.
	found int
	wrong []string
}

func (h *history) play(e event) {
	node := h.nodes[e.node]
	switch e.kind {
	case "begin":
		h.begin(node, e.software)
	case "find":
		h.find(node, e.stream)
	case "pass":
		time.Sleep(e.pause)
	case "release":
		h.release(e.versions, e.node)
	case "list":
		node.list(h.listed...)
	case "kill":
		h.restart(e.node)
	case "kill all":
		for i := range h.nodes {
			h.restart(i)
		}
	case "cut":
		node.store.setCut(true)
	case "heal":
		node.store.setCut(false)
		h.table.SetFaults(standin.TableFaults{})
	case "lose":
		h.table.SetFaults(standin.TableFaults{LoseAnswers: 1, LoseRequests: 1})
	case "outage":
		h.table.SetFaults(standin.TableFaults{Down: true})
	}
}

// release changes the versions of the servers, which one of the nodes does not list yet.
func (h *history) release(versions []fleet.SoftwareVersion, lagging int) {
	h.listed = versions
	for at, node := range h.nodes {
		if at != lagging {
			node.list(versions...)
		}
	}
}

// restart ends a node and starts another one in its place.
func (h *history) restart(at int) {
	h.nodes[at].stop()
	h.nodes[at] = h.newNode(at, h.listed...)
}

// begin begins a stream at a server of a version, if the node lists one.
func (h *history) begin(node *testNode, software fleet.SoftwareVersion) {
	stream := begunStream{request: fleet.RequestID(fmt.Sprint("r", len(h.streams))), software: software, begun: time.Now()}
	if node.listedVersions()[pool][software] == 0 {
		return
	}
	if node.Record(context.Background(), pool, stream.request, software) == nil {
		h.streams = append(h.streams, stream)
	}
}

// find asks a node for the rest of a stream.
func (h *history) find(node *testNode, at int) {
	if len(h.streams) == 0 {
		return
	}
	stream := h.streams[at%len(h.streams)]
	if time.Since(stream.begun) > streamLife {
		return
	}
	software, err := node.Find(context.Background(), pool, stream.request)
	if err != nil {
		return
	}
	h.found++
	if software != stream.software {
		h.wrong = append(h.wrong, fmt.Sprintf("%s of %s goes on at %s", stream.request, stream.software, software))
	}
}

// forgetfulStore confirms the records of streams without keeping them.
type forgetfulStore struct{ table.Store }

func (s forgetfulStore) Transact(ctx context.Context, token table.Token, writes []table.Write) error {
	if strings.HasPrefix(writes[0].Key.Sort, streamPrefix) {
		return nil
	}
	return s.Store.Transact(ctx, token, writes)
}

// playHistory plays the events with nodes that use a store made from the table. It returns
// how many versions were found, and which of them were wrong.
func playHistory(t *testing.T, events []event, wrap func(table.Store) table.Store) (found int, wrong []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &history{
			cluster: &cluster{C: qt.New(t), table: standin.NewTable(), wrap: wrap}, listed: []fleet.SoftwareVersion{"v1"},
		}
		for range historyNodes {
			h.start(h.listed...)
		}
		defer func() {
			for _, node := range h.nodes {
				node.stop()
			}
		}()
		time.Sleep(settled)
		for _, e := range events {
			h.play(e)
		}
		found, wrong = h.found, h.wrong
	})
	return found, wrong
}

// Guards against any order of replacements, losses of nodes and of the store after which a
// stream goes on at another version than the one that began it.
func TestNoHistoryJoinsTwoVersions(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		found, wrong := playHistory(t, drawEvents(rt), nil)
		total += found
		if len(wrong) > 0 {
			rt.Fatalf("streams were joined: %q", wrong)
		}
	})
	if total == 0 {
		t.Fatal("no version was found in any history")
	}
}

// Guards against a property test that sees nothing: without the records it finds streams
// that are joined.
func TestHistoriesWithoutRecordsJoinTwoVersions(t *testing.T) {
	joined := 0
	rapid.Check(t, func(rt *rapid.T) {
		_, wrong := playHistory(t, drawEvents(rt), func(store table.Store) table.Store { return forgetfulStore{store} })
		joined += len(wrong)
	})
	if joined == 0 {
		t.Fatal("no stream was joined although nothing was recorded")
	}
}
