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

// node is one VM: its settings, with addresses that stay the same, and its process,
// which is nil while none runs.
type node struct {
	name       string
	binary     string
	dir        string
	config     settings.Settings
	storeProxy *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// resumedAt is when the process was last resumed after a pause.
	resumedAt time.Time
}

// Range of the ports of nodes and number of attempts to find a free one. A
// restarted process needs its ports again, so the range lies below the ephemeral
// ports that the system assigns to connections.
const (
	firstPort = 20000
	portCount = 12000
	portTries = 50
)

// usedPorts holds the ports that freePort has tried.
var usedPorts sync.Map

// freePort returns an address on loopback that it has not returned before and whose
// port was free when it was checked. It gives up after portTries attempts.
func freePort() (address string, err error) {
	for range portTries {
		port := firstPort + rand.IntN(portCount)
		if _, taken := usedPorts.LoadOrStore(port, true); taken {
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

// newNode chooses the addresses of a node, which stay the same when its process is
// restarted, opens its proxy to the store and writes its settings file.
func newNode(name, binary, dir string, site *standin.Site) (n *node, err error) {
	n = &node{
		name: name, binary: binary, dir: dir, config: site.NodeSettings(name),
		storeProxy: &Proxy{Target: site.StoreAddress, Delay: slowDelay},
	}
	if n.config.Platform.Store, err = n.storeProxy.Listen(); err != nil {
		return nil, err
	}
	n.config.Log = settings.Log{Level: "info", Format: "json"}
	n.config.Platform.Grace, n.config.Platform.HandOver = fleet.Duration(grace), fleet.Duration(handOver)
	for _, listen := range []*string{
		&n.config.Callers.Listen, &n.config.Peers.Listen, &n.config.Platform.Readiness, &n.config.Platform.Lookup,
		&n.config.Platform.Metrics,
	} {
		if *listen, err = freePort(); err != nil {
			return nil, err
		}
	}
	if err := n.config.Check().Err(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(n.config)
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.file(".json"), text, 0o600)
}

// file returns the path of the node's file with a suffix.
func (n *node) file(suffix string) string { return filepath.Join(n.dir, n.name+suffix) }

// start starts the process unless it runs. Its output is appended to the log file.
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

// signal sends a signal to the process if it runs.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	_ = n.process.Process.Signal(signal)
	if signal == syscall.SIGCONT {
		n.resumedAt = time.Now()
	}
}

// waitExited waits until the process has exited, at most for the limit.
func (n *node) waitExited(limit time.Duration) {
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

// recentlyResumed reports whether the process was resumed after a pause less than
// resumeAllowance ago.
func (n *node) recentlyResumed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.resumedAt) < resumeAllowance
}
