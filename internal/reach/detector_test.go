package reach_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/reach"
)

// network is a network in which the first servers can't be reached.
type network struct {
	servers int32
	lost    atomic.Int32
	dials   atomic.Int32
}

func (n *network) addresses() (list []string) {
	for i := range n.servers {
		list = append(list, fmt.Sprint(i))
	}
	return list
}

func (n *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	n.dials.Add(1)
	var number int32
	if _, err := fmt.Sscan(address, &number); err != nil || number < n.lost.Load() {
		return nil, errors.New("unreachable")
	}
	client, server := net.Pipe()
	return client, server.Close()
}

func run(t *testing.T, n *network, test func(c *qt.C, d *reach.Detector)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &reach.Detector{Servers: n.addresses, Dial: n.dial}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = d.Run(ctx) }()
		test(qt.New(t), d)
		cancel()
		<-done
	})
}

// TestSingleServerThatIsLostIsNoCut guards against a node that passes requests on because one
// server of many has crashed.
func TestSingleServerThatIsLostIsNoCut(t *testing.T) {
	n := &network{servers: 10}
	n.lost.Store(3)
	run(t, n, func(c *qt.C, d *reach.Detector) {
		for range 20 {
			d.Suspect()
			time.Sleep(time.Second)
			c.Check(d.CutOff(), qt.IsFalse)
		}
	})
}

// TestCutIsDetectedAndItsEnd checks that a node is cut off if no server is reached, until one
// is, and that it does not dial meanwhile more often than the pause between two tries allows.
func TestCutIsDetectedAndItsEnd(t *testing.T) {
	n := &network{servers: 10}
	run(t, n, func(c *qt.C, d *reach.Detector) {
		n.lost.Store(10)
		time.Sleep(time.Second)
		c.Check(d.CutOff(), qt.IsFalse)
		d.Suspect()
		time.Sleep(10 * time.Second)
		c.Check(d.CutOff(), qt.IsTrue)
		c.Check(n.dials.Load() <= 4*42, qt.IsTrue)
		n.lost.Store(0)
		time.Sleep(time.Second)
		c.Check(d.CutOff(), qt.IsFalse)
	})
}

// TestNodeWithoutServersIsNotCutOff checks that an empty list of servers is no cut.
func TestNodeWithoutServersIsNotCutOff(t *testing.T) {
	run(t, &network{}, func(c *qt.C, d *reach.Detector) {
		d.Suspect()
		time.Sleep(time.Second)
		c.Check(d.CutOff(), qt.IsFalse)
	})
}
