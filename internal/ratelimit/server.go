package ratelimit

import (
	"maps"
	"math"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// tokenLifetime is how long a token from the owner may be used, counted from the
	// request for it, and how long a new owner waits before it hands out tokens.
	tokenLifetime = time.Second
	// askPause is the minimum pause between two requests for tokens of one server.
	askPause = 100 * time.Millisecond
	// wantLifetime is how long a node asks for tokens after requests last wanted one.
	wantLifetime = 300 * time.Millisecond
	// askerRetention is how long a node that asked for tokens counts as one that shares the
	// limit.
	askerRetention = 2 * time.Second
	// tokenBatch is the time whose tokens a node asks for at once.
	tokenBatch = 100 * time.Millisecond
)

// server is the state of one server of which a limit was named. It has no lock of its
// own: the caller serialises access.
type server struct {
	notice
	// changedAt is when the notice was put in force.
	changedAt time.Time
	// late is set unless this node has seen the limit being named, so that no other node can
	// have handed out tokens before.
	late bool
	// owner is the node that hands out the tokens as of ownerAt; empty if there is none.
	owner   fleet.NodeID
	ownerAt time.Time
	// own is set if that is this node. The bucket is used only then, from opensAt on.
	own     bool
	bucket  bucket
	opensAt time.Time
	// askedAt is when other nodes last asked this one, as the owner, for tokens.
	askedAt map[fleet.NodeID]time.Time
	// nodes is the number of nodes that share the limit, as the owner has told; 0 if unknown.
	nodes int
	// tokens are those that the owner has given, until lapsesAt.
	tokens   int
	lapsesAt time.Time
	// wantedAt is when requests last found no token, askAt when the owner may be asked
	// again.
	wantedAt, askAt time.Time
	asking          bool
}

// available returns the number of requests that may be sent to a run of the server now.
func (s *server) available(now time.Time, boot fleet.BootID) int {
	switch {
	case !s.Named || s.Boot != boot:
		return math.MaxInt
	case s.own && now.Before(s.opensAt):
		return 0
	case s.own:
		s.bucket.fill(now, bounded(s.Limit))
		return s.bucket.whole()
	case now.Before(s.lapsesAt):
		return s.tokens
	default:
		return 0
	}
}

// take takes a token for a request and reports whether there was one.
func (s *server) take(now time.Time, boot fleet.BootID) bool {
	switch left := s.available(now, boot); {
	case left == math.MaxInt:
		return true
	case left < 1:
		return false
	}
	if s.own {
		s.bucket.Take(1)
	} else {
		s.tokens--
	}
	return true
}

// readyIn returns the time until the next token may be had; 0 if there is one.
func (s *server) readyIn(now time.Time, boot fleet.BootID) time.Duration {
	switch {
	case s.available(now, boot) > 0:
		return 0
	case s.own:
		return max(0, s.opensAt.Sub(now)) + s.bucket.readyIn(bounded(s.Limit))
	default:
		return max(askPause, s.askAt.Sub(now))
	}
}

// setOwner records the node that hands out the tokens. If that is now this node, it does so
// once the tokens of the owner before have lapsed.
func (s *server) setOwner(now time.Time, owner fleet.NodeID, own bool) {
	if own && !s.own {
		s.opensAt = now
		if s.late {
			s.opensAt = now.Add(tokenLifetime)
		}
		s.bucket = bucket{Bucket: 1, asOf: s.opensAt}
	}
	if !own && owner != s.owner {
		s.tokens, s.askAt = 0, now
	}
	s.owner, s.own = owner, own
}

// mustAsk reports whether the owner is to be asked for tokens now.
func (s *server) mustAsk(now time.Time) bool {
	return s.Named && !s.own && s.owner != "" && !s.asking && !now.Before(s.askAt) &&
		now.Sub(s.wantedAt) < wantLifetime && s.available(now, s.Boot) == 0
}

// batch returns the number of tokens to ask for.
func (s *server) batch() int {
	return max(1, int(math.Ceil(float64(bounded(s.Limit))*tokenBatch.Seconds())))
}

// sharedBy returns the number of nodes that share the limit.
func (s *server) sharedBy(now time.Time) int {
	if !s.own {
		return max(1, s.nodes)
	}
	maps.DeleteFunc(s.askedAt, func(_ fleet.NodeID, at time.Time) bool { return now.Sub(at) > askerRetention })
	return 1 + len(s.askedAt)
}

// grant hands out up to a number of tokens to another node. If there is none it returns the
// time until there may be one.
func (s *server) grant(now time.Time, node fleet.NodeID, wanted int) (tokens int, retryIn time.Duration) {
	if s.askedAt == nil {
		s.askedAt = make(map[fleet.NodeID]time.Time)
	}
	s.askedAt[node] = now
	tokens = min(max(wanted, 0), s.available(now, s.Boot))
	s.bucket.Take(float64(tokens))
	return tokens, s.readyIn(now, s.Boot)
}
