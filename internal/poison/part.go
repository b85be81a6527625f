package poison

import (
	"slices"
	"strings"
	"time"
)

// partPrefix is the prefix of the digests of prompt parts. Those of whole requests are
// hexadecimal, so no two are the same.
const partPrefix = "part-"

// PartDigest returns the digest of the part of a prompt that has an id. Requests that
// share the part share the digest.
func PartDigest(id string) Digest { return Digest(partPrefix + id) }

// IsPart reports whether a digest is that of a part of a prompt.
func (d Digest) IsPart() bool { return strings.HasPrefix(string(d), partPrefix) }

// Crashes of a part. Sound requests that run beside one that crashes a server share the
// blame, so a part needs more crashes than a whole request.
const (
	// suspectPartCrashes is the number of crashes from which requests with a part run
	// one at a time, in trials.
	suspectPartCrashes = 2
	// MaxPartCrashes is the number of crashes from which requests with a part are
	// refused until a further trial is due.
	MaxPartCrashes = 3
)

// unexplained returns the number of crashes after the last success that no stronger part
// explains: one with more crashes, this one among them.
func (n Notice) unexplained(refused []Notice) int {
	own := n.CrashCount()
	count := 0
	for _, crash := range n.Crashes {
		explained := slices.ContainsFunc(refused, func(other Notice) bool {
			return other.CrashCount() > own && other.counts(crash)
		})
		if crash.At.After(n.ClearedAt) && !explained {
			count++
		}
	}
	return count
}

// counts reports whether the end of a run of a server counts against the digest. The
// nodes that record it give it different times.
func (n Notice) counts(crash Crash) bool {
	return slices.ContainsFunc(n.Crashes, func(own Crash) bool {
		return own.Server == crash.Server && own.Boot == crash.Boot && own.At.After(n.ClearedAt)
	})
}

// Run is a request that may have crashed the server on which it ran: its answer had not been
// written for long, since what crashes a server does so as it begins to write.
type Run struct {
	Digest Digest
	// Generation is that of a crash by the run: what [Controller.Generation] returned before
	// the run began; 0 if unknown.
	Generation int
	// Parts are the parts of its prompt that may be the cause.
	Parts []Digest
}

// maxBlamedParts bounds the parts that a crash is recorded against.
const maxBlamedParts = 64

// blamedParts returns the parts that a crash is held against: those of each run of which
// no answer was completed lately, or else the one for which that is longest ago. So a
// part that many sound requests share isn't suspected for those that ran beside.
func blamedParts(now time.Time, runs []Run, completed *completions) (blamed []Digest) {
	for _, run := range runs {
		if len(run.Parts) == 0 {
			continue
		}
		suspects := slices.DeleteFunc(slices.Clone(run.Parts), func(part Digest) bool { return completed.lately(now, part) })
		if len(suspects) == 0 {
			suspects = []Digest{slices.MinFunc(run.Parts, func(a, b Digest) int {
				return completed.last(a).Compare(completed.last(b))
			})}
		}
		for _, part := range suspects {
			if len(blamed) < maxBlamedParts && !slices.Contains(blamed, part) {
				blamed = append(blamed, part)
			}
		}
	}
	return blamed
}
