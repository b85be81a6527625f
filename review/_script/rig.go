package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/platform/standin"
)

// program is the program that the deploy file builds and runs.
const program = "target/guavatrack"

// startLimit bounds the time until the nodes are ready.
const startLimit = 20 * time.Second

// rig is a small deployment: the project's stand-in of the platform and the nodes.
type rig struct {
	site  *standin.Site
	nodes []*node
	dir   string
	began time.Time

	mu     sync.Mutex
	record *os.File
}

// node is one process of guavatrack.
type node struct {
	config  settings.Settings
	process *exec.Cmd
	exited  chan struct{}
}

// newRig creates the record of what was sent, answered and run.
func newRig(record string) (*rig, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &rig{record: file, dir: dir, began: time.Now()}, nil
}

// note writes a line to the record and to standard output.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

// start starts the platform and the nodes and waits until all nodes are ready.
func (r *rig) start(site *standin.Site, count int) error {
	r.site = site
	if err := site.Start(); err != nil {
		return err
	}
	for i := range count {
		if err := r.startNode(fmt.Sprint("front-", i)); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startLimit); ; time.Sleep(50 * time.Millisecond) {
		if r.ready() {
			r.note("%d nodes are ready", count)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the nodes are not ready after %v", startLimit)
		}
	}
}

func (r *rig) ready() bool {
	for _, n := range r.nodes {
		response, err := http.Get("http://" + n.config.Platform.Readiness + "/readiness")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// startNode starts a node with the settings of a small deployment.
func (r *rig) startNode(name string) (err error) {
	n := &node{config: r.site.NodeSettings(name)}
	p := n.config.Platform
	p.KeepFor, p.Grace, p.HandOver = fleet.Duration(2*time.Second), fleet.Duration(8*time.Second), fleet.Duration(3*time.Second)
	p.Retries, p.Memory, p.Descriptors, p.Cores = settings.Retries{Ratio: 0.2, Slack: 52}, 284*fleet.MiB, 4200, 0.4
	n.config.Log = settings.Log{Level: "info", Format: "json"}
	for _, listen := range []*string{&n.config.Callers.Listen, &n.config.Peers.Listen, &p.Readiness, &p.Lookup, &p.Metrics} {
		if *listen, err = freeAddress(); err != nil {
			return err
		}
	}
	if err := n.config.Check().Err(); err != nil {
		return err
	}
	text, err := json.Marshal(n.config)
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, name)
	if err := os.WriteFile(file+".json", text, 0o600); err != nil {
		return err
	}
	if err := r.startAgain(n); err != nil {
		return err
	}
	r.nodes = append(r.nodes, n)
	return nil
}

// startAgain starts the process of a node, after the end of the one before.
func (r *rig) startAgain(n *node) error {
	if n.process != nil {
		<-n.exited
	}
	file := filepath.Join(r.dir, n.config.Node.Name)
	log, err := os.OpenFile(file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process, n.exited = exec.Command(program, "node"), make(chan struct{})
	n.process.Env = []string{"GUAVATRACK_NODE_FILE=" + file + ".json", "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}(n.process, n.exited)
	return nil
}

// Range of the nodes' ports, below those that the system gives to connections, and the number
// of attempts to find a free one.
const (
	firstPort = 20000
	portCount = 12000
	portTries = 100
)

// freeAddress returns a free address of the loopback interface.
func freeAddress() (address string, err error) {
	for range portTries {
		address = net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(portCount)))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// endNodes ends the processes of the nodes.
func (r *rig) endNodes() {
	for _, n := range r.nodes {
		_ = n.process.Process.Signal(syscall.SIGKILL)
		<-n.exited
	}
}

// close ends the nodes and the platform.
func (r *rig) close() {
	r.endNodes()
	if r.site != nil {
		r.site.Close()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir)
	}
}
