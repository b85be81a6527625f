package engine

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length of the prompt prefix that cache entries stand for.
const PrefixBytes = 256

// Prefix identifies the start of a prompt in cache events: the hash of its
// first [PrefixBytes] bytes. The prompt of a chat is the concatenation of
// "role: content\n" over its messages.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}
