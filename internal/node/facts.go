package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/guavatrack/guavatrack/internal/caller"
	"github.com/guavatrack/guavatrack/internal/lookup"
	"github.com/guavatrack/guavatrack/internal/member"
	"github.com/guavatrack/guavatrack/internal/poison"
)

// Kinds of facts that nodes tell each other.
const (
	factPoison = "poison"
	factLoad   = "load"
)

const (
	factInterval = time.Second
	loadLifetime = 10 * time.Second
	// loadIntervals is how many intervals a load is believed.
	loadIntervals = 3
)

// facts carries soft state between the members' gossip and the parts that
// produce and use it.
type facts struct {
	self    *Node
	members *member.Controller
	callers *caller.Server
	// loadTold is when the load was last told.
	loadTold time.Time
}

// spreadPoison tells the fleet of a request that crashes backend servers.
func (f *facts) spreadPoison(notice poison.Notice) {
	value, err := json.Marshal(notice)
	if err != nil {
		f.self.Log.Error("poison notice not told", slog.Any("error", err))
		return
	}
	f.members.Publish(member.Fact{
		Kind: factPoison, Key: string(notice.Digest), Wide: true, Value: value,
	}, time.Until(notice.Until))
}

func newFacts(n *Node, members *member.Controller, callers *caller.Server) *facts {
	return &facts{self: n, members: members, callers: callers}
}

// run publishes this node's load and takes in what others told.
func (f *facts) run(ctx context.Context) error {
	tick := time.NewTicker(factInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		f.publishLoad()
		f.learnPoison()
	}
}

// publishLoad tells the load, the more seldom the more nodes there are, so
// that the traffic of each stays bounded.
func (f *facts) publishLoad() {
	interval := f.members.FactInterval()
	if time.Since(f.loadTold) < interval {
		return
	}
	f.loadTold = time.Now()
	value, err := json.Marshal(f.callers.Running())
	if err != nil {
		return
	}
	f.members.Publish(member.Fact{Kind: factLoad, Value: value}, max(loadLifetime, loadIntervals*interval))
}

func (f *facts) learnPoison() {
	for _, fact := range f.members.Facts(factPoison) {
		var notice poison.Notice
		if fact.Owner == f.self.ID || json.Unmarshal(fact.Value, &notice) != nil {
			continue
		}
		f.callers.LearnPoison(notice)
	}
}

// loads returns the running requests of the nodes that tell them.
func (f *facts) loads() lookup.Loads {
	loads := make(lookup.Loads)
	for _, fact := range f.members.Facts(factLoad) {
		var running int
		if json.Unmarshal(fact.Value, &running) == nil {
			loads[fact.Owner] = float64(running)
		}
	}
	return loads
}
