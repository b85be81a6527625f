// Command case runs one case of the review: it starts the programs of the deploy file as
// separate processes beside small stand-ins and checks a rule of the users' pages.
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: case NAME RECORD")
		os.Exit(notRun)
	}
	run := map[string]func(trouble bool) int{"memory": memoryCase, "flap": flapCase, "restore": restoreCase, "inplace": inplaceCase, "lost": lostCase}[os.Args[1]]
	if run == nil {
		fmt.Println("no such case")
		os.Exit(notRun)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %v", os.Args[1], trouble)
	result := make(chan int, 1)
	go func() { result <- run(trouble) }()
	code := notRun
	select {
	case code = <-result:
	case <-time.After(runLimitS * time.Second):
		record("time limit reached")
	}
	if running != nil {
		running.stop()
	}
	record("exit code %d", code)
	fmt.Println("exit code", code)
	os.Exit(code)
}

// running is the deployment to stop at the end.
var running *fleet

// newFleet prepares a deployment in a temporary folder.
func newFleet(store string) *fleet {
	template, err := os.ReadFile("deploy/node.json.tmpl")
	if err != nil {
		cannotRun("%v", err)
	}
	dir := os.Getenv("CASE_DIR")
	if dir == "" {
		cannotRun("CASE_DIR is not set")
	}
	running = &fleet{
		dir: dir, template: string(template), store: store, memoryMb: 284,
		zones: map[string]string{"zatec-yard": "bohemia-west", "brno-hall": "moravia-south", "louny-store": "bohemia-west"},
	}
	return running
}
