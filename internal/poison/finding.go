package poison

import (
	"cmp"
	"strconv"
	"time"
)

// Finding is the verdict on a request with the digest that it is due to: that of the
// request or of one of its parts.
type Finding struct {
	Verdict Verdict
	// Until is the time until which the verdict is valid; zero for [Unrestricted].
	Until   time.Time
	Digest  Digest
	Crashes int
	// Notice is what the verdict follows from; empty for [Unrestricted].
	Notice Notice
}

// Evidence describes each crash that was recorded after the last success, for the log.
func (n Notice) Evidence() []string {
	described := make([]string, 0, len(n.Crashes))
	for _, crash := range n.Crashes {
		if crash.At.After(n.ClearedAt) {
			text := string(crash.Server) + " at " + crash.At.UTC().Format(evidenceTime)
			if crash.Generation > 0 {
				text += ", generation " + strconv.Itoa(crash.Generation)
			}
			described = append(described, text)
		}
	}
	return described
}

// evidenceTime is the format of times of crashes in the log.
const evidenceTime = "15:04:05.000Z"

// stricter returns the stricter of two findings; of two equal ones that with more
// crashes, and then the first.
func stricter(a, b Finding) Finding {
	if cmp.Or(cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Crashes, b.Crashes)) < 0 {
		return b
	}
	return a
}
