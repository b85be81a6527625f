// Package poison recognises requests that crash the backend servers that run
// them.
//
// A request is known by a digest of its content, so it is recognised when its
// caller sends it again, at whichever node. When a backend server crashes, the
// requests that ran on it become suspects. A suspect runs once more, with no
// other request of the node on the same server. If that server crashes too, the
// request is convicted: every node refuses it for a while. If it ends well it
// is cleared.
//
// What nodes know is merged as a set of crashes, so that it may travel over
// peers and over the table in any order and more than once.
package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Digest names the content of a request.
type Digest string

// digestSize is the number of bytes of a digest.
const digestSize = 16

// DigestOf returns the digest of what a request asks for.
func DigestOf(parts ...[]byte) Digest {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)[:digestSize]))
}

// Crash is the end of one run of a backend server's process.
type Crash struct {
	Server fleet.ServerID `json:"server"`
	Boot   fleet.BootID   `json:"boot"`
	At     time.Time      `json:"at"`
}

// Notice is what nodes tell each other about one digest.
type Notice struct {
	Digest  Digest  `json:"digest"`
	Crashes []Crash `json:"crashes,omitempty"`
	// ClearedAt takes back the crashes up to that time.
	ClearedAt time.Time `json:"clearedAt,omitzero"`
	// Trial is the newest further run that was allowed.
	Trial Trial `json:"trial,omitzero"`
	// Until is when the notice is forgotten.
	Until time.Time `json:"until"`
}

// Trial is the right to run a suspect once more.
type Trial struct {
	Node   fleet.NodeID   `json:"node"`
	Server fleet.ServerID `json:"server"`
	Boot   fleet.BootID   `json:"boot"`
	// End is when the run has ended at the latest.
	End time.Time `json:"end"`
}

// MaxCrashes is the number of crashes after which a request is refused.
const MaxCrashes = 2

// Keep is how long a suspicion or a conviction lasts.
const Keep = 10 * time.Minute

// maxNotices bounds what a node keeps.
const maxNotices = 4096

// Verdict says how a request may run.
type Verdict int

// Verdicts on a request.
const (
	// Free says that nothing is known against the request.
	Free Verdict = iota
	// Alone says that the request may run once, apart from others.
	Alone
	// Refuse says that the request must not run.
	Refuse
)

// Counted returns the number of crashes that count against the digest.
func (n Notice) Counted() int {
	count := 0
	for _, crash := range n.Crashes {
		if crash.At.After(n.ClearedAt) {
			count++
		}
	}
	return count
}

// Merge returns what both notices say together. The order does not matter.
func (n Notice) Merge(other Notice) Notice {
	type run struct {
		server fleet.ServerID
		boot   fleet.BootID
	}
	// Several nodes may note the same crash; the first time counts.
	known := make(map[run]Crash)
	for _, crash := range slices.Concat(n.Crashes, other.Crashes) {
		of := run{crash.Server, crash.Boot}
		if first, found := known[of]; !found || crash.At.Before(first.At) {
			known[of] = crash
		}
	}
	n.Crashes = slices.SortedFunc(maps.Values(known), compareCrashes)
	if other.ClearedAt.After(n.ClearedAt) {
		n.ClearedAt = other.ClearedAt
	}
	if order := other.Trial.End.Compare(n.Trial.End); order > 0 || order == 0 && other.Trial.Node > n.Trial.Node {
		n.Trial = other.Trial
	}
	if other.Until.After(n.Until) {
		n.Until = other.Until
	}
	return n
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Boot, b.Boot))
}

// Book is what one node knows. It is not safe for concurrent use.
type Book struct {
	notices map[Digest]Notice
}

// Check says how a request may run, and until when it is refused.
func (b *Book) Check(now time.Time, digest Digest) (verdict Verdict, until time.Time) {
	notice, found := b.notices[digest]
	switch {
	case !found, now.After(notice.Until), notice.Counted() == 0:
		return Free, time.Time{}
	case notice.Counted() >= MaxCrashes:
		return Refuse, notice.Until
	default:
		return Alone, notice.Until
	}
}

// Blame returns which requests may have caused a crash. If a suspect was on
// trial on the server, at whichever node, it is that one. Otherwise it is the
// suspects among the requests that ran there, or all if there is no suspect.
func (b *Book) Blame(now time.Time, server fleet.ServerID, boot fleet.BootID, aboard []Digest) []Digest {
	for digest, notice := range b.notices {
		trial := notice.Trial
		if trial.Server == server && trial.Boot == boot && now.Before(trial.End) && notice.Counted() > 0 {
			return []Digest{digest}
		}
	}
	suspects := slices.DeleteFunc(slices.Clone(aboard), func(digest Digest) bool {
		verdict, _ := b.Check(now, digest)
		return verdict == Free
	})
	if len(suspects) > 0 {
		return suspects
	}
	return aboard
}

// Crashed notes a crash against a digest and returns what is known now.
func (b *Book) Crashed(now time.Time, digest Digest, server fleet.ServerID, boot fleet.BootID) Notice {
	return b.Learn(now, Notice{
		Digest: digest, Crashes: []Crash{{Server: server, Boot: boot, At: now}}, Until: now.Add(Keep),
	})
}

// Cleared notes that a suspect ended well and returns what is known now.
func (b *Book) Cleared(now time.Time, digest Digest) Notice {
	return b.Learn(now, Notice{Digest: digest, ClearedAt: now, Until: now.Add(Keep)})
}

// Learn merges a notice and returns what is known now.
func (b *Book) Learn(now time.Time, notice Notice) Notice {
	if b.notices == nil {
		b.notices = make(map[Digest]Notice)
	}
	known, found := b.notices[notice.Digest]
	if !found && len(b.notices) >= maxNotices {
		b.forget(now)
	}
	if found && !now.After(known.Until) {
		notice = known.Merge(notice)
	}
	b.notices[notice.Digest] = notice
	return notice
}

// Get returns what is known of a digest.
func (b *Book) Get(digest Digest) Notice {
	notice := b.notices[digest]
	notice.Digest = digest
	return notice
}

// forget drops what has expired, or else what will expire first.
func (b *Book) forget(now time.Time) {
	maps.DeleteFunc(b.notices, func(_ Digest, notice Notice) bool { return now.After(notice.Until) })
	if len(b.notices) < maxNotices {
		return
	}
	var first Notice
	for _, notice := range b.notices {
		if first.Digest == "" || notice.Until.Before(first.Until) {
			first = notice
		}
	}
	delete(b.notices, first.Digest)
}
