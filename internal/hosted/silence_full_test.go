package hosted_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/guavatrack/guavatrack/platform/standin"
)

// TestResumableStreamIsWholeAfterASilenceWhileNoEngineHasRoom has a stream fall silent and
// go on, while all engines reject further requests. Its engine is sound, so the stream must
// not be given up before another engine has accepted the rest of it.
func TestResumableStreamIsWholeAfterASilenceWhileNoEngineHasRoom(t *testing.T) {
	f := newFixture(t, &standin.Site{Engines: 3, Services: 1, Models: 3, EventTime: slowEvent}, 1)
	var full atomic.Bool
	for _, engine := range f.site.EngineList {
		engine.SetFault(func(*http.Request) standin.Fault {
			if full.Swap(true) {
				return standin.Full
			}
			return standin.None
		})
	}
	f.checkCompleteStream(f.sendBesideSilence(standin.Resumable + "chat"))
}
