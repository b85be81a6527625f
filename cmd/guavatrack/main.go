// Command guavatrack serves rarely used language models.
package main

import (
	"context"
	"os"

	"github.com/guavatrack/guavatrack/cmd/guavatrack/demo"
	"github.com/guavatrack/guavatrack/internal/cli"
)

func main() {
	app := &cli.App{
		Name: "guavatrack", Out: os.Stdout, Err: os.Stderr,
		Extra: []cli.Extra{demo.Command()},
	}
	os.Exit(int(app.Run(context.Background(), os.Args[1:])))
}
