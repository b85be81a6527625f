package cli

import (
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/explain"
)

// explainCommand reconstructs the course of a request from the logs of nodes.
type explainCommand struct {
	app  *App
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"true"`
		Files   []string `positional-arg-name:"FILE" description:"logs of nodes; standard input if there are none"`
	} `positional-args:"yes"`
}

// Execute implements [flags.Commander].
func (c *explainCommand) Execute([]string) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Args.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return usageError{err.Error()}
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	timeline, err := explain.Read(c.Args.Request, logs...)
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	timeline.Write(c.app.Out)
	return nil
}
