package origin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Prompt identifies the prompt of a request by its last part, which no request shares but
// those of the same session, and by the model or adapter that reads it.
type Prompt struct {
	Item     fleet.Item
	LastPart string
}

// Traces are what a backend server still has of requests.
type Traces struct {
	// Running are the requests that run.
	Running map[fleet.RequestID]bool
	// Kept are the prompts in the server's memory.
	Kept map[Prompt]bool
}

// TraceReader reads the traces at backend servers.
type TraceReader interface {
	ReadTraces(ctx context.Context, server *roster.Server) (Traces, error)
}

const (
	// maxTraced is the number of servers that are asked for traces.
	maxTraced = 16
	// tracesAge is the age up to which the traces of a server are used again: callers take
	// up many broken streams at once.
	tracesAge    = time.Second
	traceTimeout = 700 * time.Millisecond
)

// serverTraces are the traces of a run of a server, read once for all who ask at a time.
type serverTraces struct {
	boot fleet.BootID
	at   time.Time
	done chan struct{}
	Traces
	err error
}

// errNotListed reports that servers may be missing in the list.
var errNotListed = errors.New("the store was restored just now and may not list all servers")

// findByTraces returns the version that began a stream where no record tells: that of the
// server that still runs the request, or the only one whose servers have its prompt in their
// memory. The latter counts once all servers are listed again after a restoration.
func (c *Controller) findByTraces(ctx context.Context, rest dispatch.Rest) (software fleet.SoftwareVersion, err error) {
	servers := c.holders(rest.Pool, rest.Item.Model)
	if c.Traces == nil || rest.LastPart == "" || len(servers) > maxTraced {
		return "", errors.Errorf("no traces of %d servers are read", len(servers))
	}
	ctx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	traces := make([]*serverTraces, len(servers))
	var group sync.WaitGroup
	for i, server := range servers {
		group.Go(func() { traces[i] = c.tracesOf(ctx, server) })
	}
	group.Wait()
	prompt, versions := Prompt{Item: rest.Item, LastPart: rest.LastPart}, make(map[fleet.SoftwareVersion]bool)
	for i, server := range servers {
		switch {
		case traces[i].err != nil:
			err = traces[i].err
		case traces[i].Running[rest.Request]:
			return server.Software, nil
		case traces[i].Kept[prompt]:
			software, versions[server.Software] = server.Software, true
		}
	}
	if c.rewriting() && err == nil {
		err = errNotListed
	}
	if err != nil || len(versions) != 1 {
		return "", errors.Errorf("servers of %d versions keep the prompt, error: %v", len(versions), err)
	}
	return software, nil
}

// holders returns the servers of a pool that are listed with a model.
func (c *Controller) holders(pool fleet.PoolID, model fleet.ModelID) (servers []*roster.Server) {
	for _, server := range c.View().Servers {
		if server.Pool == pool && server.Engine != nil && holdsModel(server.Engine, model) {
			servers = append(servers, server)
		}
	}
	return servers
}

func holdsModel(engine *roster.Engine, model fleet.ModelID) bool {
	return slices.ContainsFunc(engine.LoadedModels, func(loaded roster.LoadedModel) bool { return loaded.Model == model })
}

// tracesOf returns the traces of a server, as of a moment ago.
func (c *Controller) tracesOf(ctx context.Context, server *roster.Server) *serverTraces {
	c.mu.Lock()
	read := c.traces[server.ID]
	if read == nil || read.boot != server.Boot || time.Since(read.at) > tracesAge {
		read = &serverTraces{boot: server.Boot, at: time.Now(), done: make(chan struct{})}
		c.traces[server.ID] = read
		c.mu.Unlock()
		// Others wait for the result, whether this caller stays or not.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceTimeout)
		defer cancel()
		read.Traces, read.err = c.Traces.ReadTraces(ctx, server)
		close(read.done)
		return read
	}
	c.mu.Unlock()
	select {
	case <-read.done:
		return read
	case <-ctx.Done():
		return &serverTraces{err: ctx.Err()}
	}
}

// forgetTraces drops the traces that are not used again. The caller holds the lock.
func (c *Controller) forgetTraces(now time.Time) {
	maps.DeleteFunc(c.traces, func(_ fleet.ServerID, read *serverTraces) bool { return now.Sub(read.at) > tracesAge })
}
