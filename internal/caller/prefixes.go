package caller

import (
	"encoding/json"
	"strings"

	"github.com/guavatrack/guavatrack/internal/engine"
)

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
