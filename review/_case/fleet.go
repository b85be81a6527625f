package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
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

// node is one process of the deploy file, with the settings of one machine.
type node struct {
	name, zone string
	// ports on loopback: front, ready, directory and the first of the peer ports.
	front, ready, directory, peers string
	settingsPath                   string
	mu                             sync.Mutex
	cmd                            *exec.Cmd
	exited                         chan struct{}
	log                            *os.File
}

// fleet is a small deployment: a store, backend servers and nodes.
type fleet struct {
	dir, template string
	store         string // address that the nodes have for the store
	memoryMb      int
	zones         map[string]string
	nodes         []*node
}

// freePorts returns free ports of the loopback interface.
func freePorts(count int) []string {
	var listeners []net.Listener
	var ports []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("no free port: %v", err)
		}
		listeners = append(listeners, listener)
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		ports = append(ports, port)
	}
	for _, listener := range listeners {
		listener.Close()
	}
	return ports
}

// addNode adds a machine in a zone. Each has an address of its own on loopback, so that the
// fixed metrics port of the template is free.
func (f *fleet) addNode(zone string) *node {
	number := len(f.nodes) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, os.Getpid()%250, number)
	ports := freePorts(4)
	n := &node{
		name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, front: ip + ":" + ports[0], ready: ip + ":" + ports[1],
		directory: ip + ":" + ports[2], peers: ip + ":" + ports[3], settingsPath: filepath.Join(f.dir, fmt.Sprintf("node%d.json", number)),
	}
	first, _ := strconv.Atoi(ports[3])
	fields := map[string]any{
		"nodeName": n.name, "region": f.zones[zone], "zone": zone, "ip": ip, "portRange": []any{first, first + 15},
		"zones":  f.zones,
		"listen": map[string]any{"front": n.front, "ready": n.ready, "directory": n.directory},
		"limits": map[string]any{"memoryMb": f.memoryMb, "maxFds": 4200, "cpuShare": 0.4},
		"bounds": map[string]any{"graceS": 8, "leaseMs": 3000, "retryBudgetRatio": 0.2, "budgetSlack": 52},
		"platform": map[string]any{
			"address": f.store,
		},
	}
	text := render(f.template, fields)
	if !json.Valid([]byte(text)) {
		cannotRun("settings template gave no JSON: %s", text)
	}
	if err := os.WriteFile(n.settingsPath, []byte(text), 0o644); err != nil {
		cannotRun("%v", err)
	}
	f.nodes = append(f.nodes, n)
	return n
}

var placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)

// render fills in the placeholders of a template without sections.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		var value any = fields
		for _, name := range strings.Split(parts[1], ".") {
			switch of := value.(type) {
			case map[string]any:
				value = of[name]
			case []any:
				index, _ := strconv.Atoi(name)
				value = of[index]
			}
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		text, _ := json.Marshal(value)
		return string(text)
	})
}

// start runs the deploy file's command for the node.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log == nil {
		n.log, _ = os.Create(n.settingsPath + ".log")
	}
	cmd := exec.Command("target/guavatrack", "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVATRACK_NODE_FILE=" + n.settingsPath}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

// signal sends a signal to the node's process.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(sig)
}

// alive reports whether the node's process runs.
func (n *node) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return false
	default:
		return n.cmd != nil
	}
}

// rssMb returns the resident memory of the node's process in MB; 0 if it does not run.
func (n *node) rssMb() float64 {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	pages, _ := strconv.Atoi(string(fields[1]))
	return float64(pages) * float64(os.Getpagesize()) / 1e6
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + n.ready + "/readiness")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stop kills all nodes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.alive() {
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
	}
}

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
)

// record writes a line with the time since the start.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = recordFile.WriteString(line)
}

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	notRun    = 2
	runLimitS = 110
)

func cannotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println("cannot run:", text)
	if recordFile != nil {
		record("cannot run: %s", text)
	}
	os.Exit(notRun)
}
