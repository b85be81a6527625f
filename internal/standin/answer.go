package standin

import (
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// DefaultAnswerTokens is the length of an answer without a limit in its
// request.
const DefaultAnswerTokens = 16

// vocabulary holds the tokens of answers; each ends with a space.
var vocabulary = strings.SplitAfter("hop bine wreath cone dried fresh pedal treadle belt crank "+
	"spring bolt order ready collect repair check stock ", " ")[:18]

// Tokens returns the answer of an item to a prompt, token by token. The first
// token names the item; the others are a function of item and prompt.
func Tokens(item fleet.Item, prompt string, count int) []string {
	if count <= 0 {
		count = DefaultAnswerTokens
	}
	seed := xxhash.Sum64String(item.String() + "\n" + prompt)
	source := rand.New(rand.NewPCG(seed, seed))
	tokens := make([]string, count)
	tokens[0] = item.String() + " "
	for i := 1; i < count; i++ {
		tokens[i] = vocabulary[source.IntN(len(vocabulary))]
	}
	return tokens
}

// Answer returns the whole text that an engine answers, for callers to compare
// with. The prompt of a chat is the one that [ChatPrompt] makes.
func Answer(item fleet.Item, prompt string, count int) string {
	return strings.Join(Tokens(item, prompt, count), "")
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatPrompt joins the messages of a chat to the prompt that the answer
// depends on.
func ChatPrompt(messages ...Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}
