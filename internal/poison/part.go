package poison

import "strings"

// partPrefix is the prefix of the digests of prompt parts. Those of whole requests are
// hexadecimal, so no two are the same.
const partPrefix = "part-"

// PartDigest returns the digest of the part of a prompt that has an id. Requests that
// share the part share the digest.
func PartDigest(id string) Digest { return Digest(partPrefix + id) }

// IsPart reports whether a digest is that of a part of a prompt.
func (d Digest) IsPart() bool { return strings.HasPrefix(string(d), partPrefix) }
