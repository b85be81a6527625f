package examples_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/examples"
	"github.com/guavatrack/guavatrack/internal/settings"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// TestExampleFilesParse guards against example files that the parsers of tickets
// and settings reject.
func TestExampleFilesParse(t *testing.T) {
	c := qt.New(t)
	for _, text := range [][]byte{examples.WreathsTicket, examples.PedalsTicket} {
		_, err := ticket.Parse(text)
		c.Assert(err, qt.IsNil)
	}
	for _, text := range [][]byte{examples.WreathsSettings, examples.PedalsSettings} {
		_, err := settings.Parse(text)
		c.Assert(err, qt.IsNil)
	}
}
