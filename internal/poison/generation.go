package poison

import "slices"

// A request that many callers send alike runs on several servers at a time. If these crash
// together, such as by a loss of power, that says nothing about the request: what it proves is
// only that a cause outside was there, or that one of the runs was. A crash counts as a further
// one only if the run began after the earlier crash was known. So each crash has a generation,
// and crashes of one generation count once, however many servers they are.

// generation returns the generation of a crash by a run that begins now, with all crashes of the
// notice known: 1 more than the highest of those after the last success.
func (n Notice) generation() int {
	highest := 0
	for _, crash := range n.Crashes {
		if crash.At.After(n.ClearedAt) {
			highest = max(highest, crash.Generation)
		}
	}
	return highest + 1
}

// requestCrashes returns the number of generations of crashes after the last success. Crashes
// whose generation is unknown, which nodes of an older version have recorded, count one each.
func (n Notice) requestCrashes() int {
	var generations []int
	count := 0
	for _, crash := range n.Crashes {
		switch {
		case !crash.At.After(n.ClearedAt):
		case crash.Generation == 0:
			count++
		case !slices.Contains(generations, crash.Generation):
			generations = append(generations, crash.Generation)
		}
	}
	return count + len(generations)
}

// earlierGeneration returns the known generation of one crash that two nodes have recorded: the
// lower one, since a node may have heard of the crash before it recorded it.
func earlierGeneration(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// latestCrashes returns the latest crashes, ordered by time, at most maxNoticeCrashes. Those that
// share their generation with a later one go first.
func latestCrashes(crashes []Crash) []Crash {
	for len(crashes) > maxNoticeCrashes {
		drop := 0
		for i := range crashes {
			if crashes[i].Generation != 0 && slices.ContainsFunc(crashes[i+1:], crashes[i].sharesGeneration) {
				drop = i
				break
			}
		}
		crashes = slices.Delete(crashes, drop, drop+1)
	}
	return crashes
}

// sharesGeneration reports whether two crashes have the same generation.
func (c Crash) sharesGeneration(other Crash) bool { return c.Generation == other.Generation }
