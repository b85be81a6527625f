package caller

import (
	"encoding/json"
	"strings"

	"github.com/guavatrack/guavatrack/internal/engine"
)

// chatMessage has the fields of a message that are part of the prompt's prefix.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptPrefix returns the hash of the start of the prompt; 0 if the prompt is not
// plain text, or too short for a cached prefix to be useful.
func promptPrefix(request *completionRequest) uint64 {
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
		prompt = promptStart(messages)
	}
	if len(prompt) < engine.PrefixBytes {
		return 0
	}
	return engine.Prefix(prompt)
}

// promptStart concatenates messages until the text is long enough for the prefix.
func promptStart(messages []chatMessage) string {
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
