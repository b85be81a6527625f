package caller

import (
	"hash/maphash"
	"sync"
	"sync/atomic"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// serverShardCount is the number of shards of the state of backend servers.
const serverShardCount = 32

// serverShards holds what the node knows of each backend server from its own
// requests.
type serverShards struct {
	seed   maphash.Seed
	shards [serverShardCount]serverShard
}

type serverShard struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*server
}

// server is the node's own view of a backend server.
type server struct {
	inFlight atomic.Int64
}

func (s *serverShards) setUp() {
	s.seed = maphash.MakeSeed()
	for at := range s.shards {
		s.shards[at].servers = make(map[fleet.ServerID]*server)
	}
}

// get returns the state of a backend server and makes it if there is none.
func (s *serverShards) get(id fleet.ServerID) *server {
	shard := &s.shards[maphash.String(s.seed, string(id))%serverShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.servers[id]
	if found == nil {
		found = &server{}
		shard.servers[id] = found
	}
	return found
}
