// Command review3 plays one case of a review over real processes of the system. It exits with
// 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// Case is the state of a case that is played.
type Case struct {
	*Record
	Trouble bool
	Root    string
	Dir     string
	Site    *standin.Site
	Nodes   []*Node
	Broken  []string
}

// cases holds the cases by name; each file of a case adds its own.
var cases = map[string]func(*Case){}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Broken = append(c.Broken, text)
	c.Say("BROKEN: %s", text)
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE ROOT RECORD")
		return 2
	}
	play, known := cases[os.Args[1]]
	if !known {
		return 2
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		return 2
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return 2
	}
	c := &Case{Record: &Record{out: out, began: time.Now()}, Trouble: os.Getenv("TROUBLE") != "0", Root: os.Args[2], Dir: dir}
	defer func() {
		c.stopAll()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println(filepath.Clean(dir))
		}
		if failure, is := recover().(cannotRun); is {
			c.Say("could not run: %v", failure.error)
			code = 2
		}
		c.Say("exit %d", code)
	}()
	c.Say("trouble: %v", c.Trouble)
	play(c)
	if len(c.Broken) > 0 {
		return 1
	}
	return 0
}

// start starts a site and some nodes, and waits until these are ready.
func (c *Case) start(site *standin.Site, nodes int) {
	c.Site = site
	check(site.Start())
	for i := range nodes {
		c.Nodes = append(c.Nodes, NewNode(c.Root, c.Dir, fmt.Sprint("front-", i+1), site.StoreAddress, c.Record))
	}
	c.startNodes()
}

// startNodes starts the processes of the nodes and waits until these are ready.
func (c *Case) startNodes() {
	for _, node := range c.Nodes {
		node.Start()
	}
	for _, node := range c.Nodes {
		c.awaitReady(node)
	}
}

// awaitReady waits until a node says that it is ready.
func (c *Case) awaitReady(node *Node) {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + node.Ready + "/readiness"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				c.Say("%s: ready", node.Name)
				return
			}
		}
	}
	panic(cannotRun{fmt.Errorf("%s is not ready", node.Name)})
}

func (c *Case) stopAll() {
	for _, node := range c.Nodes {
		node.Signal(syscall.SIGCONT)
		node.Signal(syscall.SIGKILL)
		node.WaitExited(2 * time.Second)
	}
	if c.Site != nil {
		c.Site.Close()
	}
}
