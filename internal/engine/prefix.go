package engine

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the length in bytes of the prompt prefix that identifies a
// cache entry.
const PrefixBytes = 256

// Prefix returns the hash of the first [PrefixBytes] bytes of a prompt, which
// identifies the prefix in cache events. The prompt of a chat is the
// concatenation of "role: content\n" over its messages.
func Prefix(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)])
}
