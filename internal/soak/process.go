package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// node is one VM: an address book and, most of the time, a process.
type node struct {
	name   string
	binary string
	dir    string
	given  settings.Settings
	store  *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// thawedAt is when the process went on after a pause.
	thawedAt time.Time
}

// Ports of nodes, which a restarted process needs again: below those that the
// system gives to connections.
const (
	firstPort = 20000
	ports     = 12000
	portTries = 50
)

// given are the ports that were chosen before.
var given sync.Map

// freePort returns an address on loopback whose port was free a moment ago, and
// which it has not returned before.
func freePort() (address string, err error) {
	for range portTries {
		port := firstPort + rand.IntN(ports)
		if _, taken := given.LoadOrStore(port, true); taken {
			continue
		}
		address = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil { //nolint:noctx // returns at once
			return address, listener.Close()
		}
	}
	return "", err
}

// newNode chooses the addresses of a node, which stay over its processes.
func newNode(name, binary, dir string, site *standin.Site) (n *node, err error) {
	n = &node{
		name: name, binary: binary, dir: dir, given: site.NodeSettings(name),
		store: &Proxy{Target: site.StoreAddress, Delay: slowDelay},
	}
	if n.given.Platform.Store, err = n.store.Listen(); err != nil {
		return nil, err
	}
	n.given.Log = settings.Log{Level: "info", Format: "json"}
	n.given.Platform.Grace, n.given.Platform.HandOver = fleet.Duration(grace), fleet.Duration(handOver)
	for _, listen := range []*string{
		&n.given.Callers.Listen, &n.given.Peers.Listen, &n.given.Platform.Readiness, &n.given.Platform.Lookup,
		&n.given.Platform.Metrics,
	} {
		if *listen, err = freePort(); err != nil {
			return nil, err
		}
	}
	if err := n.given.Check().Err(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(n.given)
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.file(".json"), text, 0o600)
}

func (n *node) file(suffix string) string { return filepath.Join(n.dir, n.name+suffix) }

// start starts a process unless one runs. Its log is appended to a file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	log, err := os.OpenFile(n.file(".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(n.binary, "node", "--settings", n.file(".json")) //nolint:gosec,noctx // our own program; a run ends it
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.Wrap(err, n.name)
	}
	n.process, n.exited = process, make(chan struct{})
	go func(exited chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		n.mu.Lock()
		n.process = nil
		n.mu.Unlock()
		close(exited)
	}(n.exited)
	return nil
}

// signal sends a signal to the process, if there is one.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	_ = n.process.Process.Signal(signal)
	if signal == syscall.SIGCONT {
		n.thawedAt = time.Now()
	}
}

// gone waits until the process has ended, or for the limit.
func (n *node) gone(limit time.Duration) {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(limit):
	}
}

// thawed reports whether the process went on after a pause only just now.
func (n *node) thawed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.thawedAt) < thawTime
}
