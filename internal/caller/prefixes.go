package caller

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/route"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// prefixState guards [route.Prefixes].
type prefixState struct {
	sync.Mutex
	known route.Prefixes
}

func (p *prefixState) sent(now time.Time, call *Call, server fleet.ServerID) {
	if call.prefix == 0 {
		return
	}
	p.Lock()
	defer p.Unlock()
	p.known.Sent(now, call.prefix, server)
}

// markPrefixes marks the candidates that are believed to hold the call's
// prefix.
func (s *Server) markPrefixes(call *Call, candidates []route.Candidate, now time.Time) {
	if call.prefix == 0 {
		return
	}
	s.prefixes.Lock()
	defer s.prefixes.Unlock()
	for at := range candidates {
		candidates[at].Prefix = s.prefixes.known.Holds(now, call.prefix, candidates[at].Server)
	}
}

// CacheEvents takes in the changes of an engine's prefix cache, as of the time
// when they were read.
func (s *Server) CacheEvents(server fleet.ServerID, at time.Time, events []engine.CacheEvent) {
	s.prefixes.Lock()
	defer s.prefixes.Unlock()
	for _, event := range events {
		if event.Added {
			s.prefixes.known.Sent(at, event.Prefix, server)
		} else {
			s.prefixes.known.Evicted(at, event.Prefix, server)
		}
	}
}

// chatMessage is what is read of a message to find the prompt's prefix.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prefixOf returns the hash of the start of the prompt; 0 if the prompt is not
// plain text or too short to be worth a cache entry.
func prefixOf(request *completionRequest) uint64 {
	prompt := ""
	if request.Prompt != nil {
		if json.Unmarshal(request.Prompt, &prompt) != nil {
			return 0
		}
	}
	if request.Messages != nil {
		var messages []chatMessage
		if json.Unmarshal(request.Messages, &messages) != nil {
			return 0
		}
		prompt = startOf(messages)
	}
	if len(prompt) < engine.PrefixBytes {
		return 0
	}
	return engine.Prefix(prompt)
}

// startOf joins as many messages as the prefix needs.
func startOf(messages []chatMessage) string {
	var prompt strings.Builder
	for _, message := range messages {
		if prompt.Len() >= engine.PrefixBytes {
			break
		}
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}
