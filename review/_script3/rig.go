package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// Say writes a line with the time since the start.
func (r *Record) Say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Bounds of the deployment, as on the sheet of zatec-venec.
const (
	grace     = 8 * time.Second
	zone      = "zatec-yard"
	region    = "bohemia-west"
	firstPort = 20000
	portCount = 12000
)

// settingsOf returns the fields from which the platform fills in the template.
func settingsOf(name, store string, ports map[string]string) map[string]any {
	return map[string]any{
		"nodeName": name, "zone": zone, "region": region, "ip": host,
		"zones":  map[string]any{zone: region, "louny-store": region, "brno-hall": "moravia-south"},
		"listen": map[string]any{"front": ports["front"], "ready": ports["ready"], "directory": ports["directory"]},
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200},
		"bounds": map[string]any{
			"graceS": 8, "leaseMs": 3000, "retryBudgetRatio": 0.2, "budgetSlack": 52, "drainMs": 2500, "configApplyMs": 2500,
		},
		"platform": map[string]any{"address": store},
	}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9|]+)\}\}`)

// fill fills in a template.
func fill(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(match string) string {
		path, asJSON := strings.CutSuffix(strings.Trim(match, "{}"), "|json")
		var value any = fields
		for name := range strings.SplitSeq(path, ".") {
			switch level := value.(type) {
			case map[string]any:
				value = level[name]
			case []any:
				at, _ := strconv.Atoi(name)
				value = level[at]
			}
		}
		if asJSON {
			text, _ := json.Marshal(value)
			return string(text)
		}
		return fmt.Sprint(value)
	})
}

// Node is a process of the system.
type Node struct {
	Name                    string
	Front, Ready, Directory string
	record                  *Record
	root, settings, log     string
	template                string
	fields                  map[string]any

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// host is the loopback address of the nodes of this run, so that runs side by side share no ports.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// usedPorts holds the ports that freePort has returned.
var usedPorts = make(map[int]bool)

// freePort returns an address on loopback that is free and that it has not returned before.
func freePort() string {
	for {
		port := firstPort + rand.IntN(portCount)
		if usedPorts[port] {
			continue
		}
		address := net.JoinHostPort(host, strconv.Itoa(port))
		if listener, err := net.Listen("tcp", address); err == nil {
			usedPorts[port] = true
			_ = listener.Close()
			return address
		}
	}
}

// NewNode writes the settings of a node.
func NewNode(root, dir, name, store string, record *Record) *Node {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "node.json.tmpl"))
	check(err)
	n := &Node{
		Name: name, Front: freePort(), Ready: freePort(), Directory: freePort(), record: record, root: root,
		settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"), template: string(template),
	}
	n.fields = settingsOf(name, store, map[string]string{"front": n.Front, "ready": n.Ready, "directory": n.Directory})
	_, peers, _ := net.SplitHostPort(freePort())
	_, forward, _ := net.SplitHostPort(freePort())
	n.fields["portRange"] = []any{peers, forward}
	n.template = strings.ReplaceAll(n.template, "{{ip}}:9464", freePort())
	n.WriteSettings()
	return n
}

// MoveTo gives the machine another zone, before its process is started.
func (n *Node) MoveTo(place, in string) {
	n.fields["zone"], n.fields["region"] = place, in
	n.WriteSettings()
}

// WriteSettings places the settings file.
func (n *Node) WriteSettings() {
	check(os.WriteFile(n.settings+".new", []byte(fill(n.template, n.fields)), 0o600))
	check(os.Rename(n.settings+".new", n.settings))
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	process := exec.Command("target/guavatrack", "node")
	process.Dir, process.Stdout, process.Stderr = n.root, log, log
	process.Env = append(os.Environ(), "GUAVATRACK_NODE_FILE="+n.settings)
	check(process.Start())
	n.process, n.exited = process, make(chan struct{})
	go func(exited chan struct{}) {
		err := process.Wait()
		_ = log.Close()
		n.record.Say("%s: process ended: %v", n.Name, err)
		n.mu.Lock()
		n.process = nil
		n.mu.Unlock()
		close(exited)
	}(n.exited)
	n.record.Say("%s: process %d started, callers at %s", n.Name, process.Process.Pid, n.Front)
}

// Signal sends a signal to the process if it runs.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

// Running reports whether the process runs.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil
}

// WaitExited waits until the process has ended, and reports whether it has within the limit.
func (n *Node) WaitExited(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Stop stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (n *Node) Stop() {
	n.Signal(syscall.SIGTERM)
	n.record.Say("%s: SIGTERM sent", n.Name)
	if !n.WaitExited(grace) {
		n.record.Say("%s: still running after the grace time: SIGKILL", n.Name)
		n.Signal(syscall.SIGKILL)
		n.WaitExited(time.Second)
	}
}

func check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// cannotRun is the panic of a case that could not run.
type cannotRun struct{ error }
