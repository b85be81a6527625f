package origin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// returnDelays are the times after the replacement of the base version at which servers of
// the earlier one return.
var returnDelays = []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second}

// namesBase reports whether a version is the base version that the node has read last.
func (n *testNode) namesBase(software fleet.SoftwareVersion) bool {
	n.Controller.mu.Lock()
	defer n.Controller.mu.Unlock()
	known := n.bases[pool]
	return known != nil && known.Software == software
}

// beginAtEach begins a stream at each node.
func (c *cluster) beginAtEach(name string, software fleet.SoftwareVersion) {
	c.Helper()
	for i, node := range c.nodes {
		c.begin(node, fleet.RequestID(fmt.Sprint(name, i)), software)
	}
}

// checkFoundElsewhere asks the second node for the first one's stream, and so on.
func (c *cluster) checkFoundElsewhere(name string, want fleet.SoftwareVersion) {
	c.Helper()
	for i := range c.nodes {
		c.checkFound(c.nodes[(i+1)%len(c.nodes)], fleet.RequestID(fmt.Sprint(name, i)), want)
	}
}

// Guards against a stream that goes on at another version since the version that began it
// was the base version until right before its servers returned, and a node had not read that.
func TestStreamsOfAVersionThatReturnsAreRecorded(t *testing.T) {
	for _, delay := range returnDelays {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, old)
				c.start(old)
				time.Sleep(settled)
				c.list(old, next)
				c.list(next)
				for c.nodes[0].namesBase(old) && c.nodes[1].namesBase(old) {
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(delay)
				c.beginAtEach("next", next)
				for _, node := range c.nodes {
					node.list(next, old)
				}
				c.checkFoundElsewhere("next", next)
				c.beginAtEach("old", old)
				time.Sleep(2 * mixedReadInterval)
				c.checkFoundElsewhere("old", old)
			})
		})
	}
}
