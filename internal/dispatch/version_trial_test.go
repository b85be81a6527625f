package dispatch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against answers joined from two software versions: a stream whose server crashed
// waits until another server runs nothing else, and is then sent to the process of another
// version that has replaced that server meanwhile.
func TestSuspectedStreamIsNotSentToAReplacedServer(t *testing.T) {
	for _, holds := range []bool{true, false} {
		t.Run(fmt.Sprint("new process holds the model ", holds), func(t *testing.T) {
			runInBubble(t, func(c *qt.C) {
				servers := &changingServers{slots: 1, servers: []*changingServer{{id: "s0"}, {id: "s1"}}}
				first, second := servers.servers[0], servers.servers[1]
				d := servers.dispatcher(1)
				begin := func(id string, server *changingServer) (*historyCall, <-chan error) {
					servers.begin(server, "v1", true)
					m := &historyCall{id: id, servers: servers, script: []scriptedAttempt{beginsAndStays()}}
					m.prepare(20 * time.Second)
					return m, start(d, m.call)
				}
				suspect, ended := begin("suspect", first)
				other, otherEnded := begin("other", second)
				servers.end(first, 0, "", false)
				synctest.Wait()
				servers.end(second, 0, "v2", holds)
				c.Check(<-ended, qt.IsNotNil)
				c.Check(<-otherEnded, qt.IsNotNil)
				for _, m := range []*historyCall{suspect, other} {
					c.Check(m.joined(), qt.IsFalse, qt.Commentf("%s: events of versions %v", m.id, m.events))
					c.Check(m.sends, qt.Equals, 1)
				}
				time.Sleep(time.Second)
				servers.endAll()
			})
		})
	}
}
