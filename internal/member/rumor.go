package member

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// rumorFeedback is the number of receivers that knew a rumor already after
	// which it is no longer sent.
	rumorFeedback = 3
	// maxRumorSends bounds the sends of a rumor as a multiple of the logarithm
	// of the number of members.
	maxRumorSends = 2
	// maxMessageRumors bounds the rumors of one kind in one message.
	maxMessageRumors = 24
	// maxQueuedRumors bounds the queue; the most sent rumors are dropped first,
	// and digests repair what they would have told.
	maxQueuedRumors = 4096
)

// rumor counts what became of one update that is being spread.
type rumor struct {
	sends, known int
	order        uint64
}

// rumors is the queue of updates that still are to be told, by their key.
type rumors[K comparable] struct {
	queue map[K]*rumor
	next  uint64
}

// add starts the spreading of an update, afresh if its key is spreading now.
func (r *rumors[K]) add(key K) {
	if r.queue == nil {
		r.queue = make(map[K]*rumor)
	}
	r.next++
	r.queue[key] = &rumor{order: r.next}
	if len(r.queue) > maxQueuedRumors {
		r.dropMostSent()
	}
}

func (r *rumors[K]) dropMostSent() {
	var worst K
	most := -1
	for key, rumor := range r.queue {
		if rumor.sends > most {
			worst, most = key, rumor.sends
		}
	}
	delete(r.queue, worst)
}

// take returns the updates for one message, those sent least first, without
// those that the other node has just told.
func (r *rumors[K]) take(members int, told []K) []K {
	limit := maxRumorSends * bits.Len(uint(members))
	keys := make([]K, 0, len(r.queue))
	for key, rumor := range r.queue {
		if rumor.sends >= limit {
			delete(r.queue, key)
			continue
		}
		if !slices.Contains(told, key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b K) int {
		x, y := r.queue[a], r.queue[b]
		return cmp.Or(cmp.Compare(x.sends, y.sends), cmp.Compare(y.order, x.order))
	})
	keys = keys[:min(len(keys), maxMessageRumors)]
	for _, key := range keys {
		r.queue[key].sends++
	}
	return keys
}

// feedback tells that a receiver knew an update already.
func (r *rumors[K]) feedback(key K) {
	rumor, found := r.queue[key]
	if !found {
		return
	}
	if rumor.known++; rumor.known >= rumorFeedback {
		delete(r.queue, key)
	}
}

// channel is what still is to be told in one direction: to the neighbours, or
// to one other region.
type channel struct {
	members rumors[fleet.NodeID]
	facts   rumors[factKey]
	// differing counts the exchanges in a row in which digests differed.
	differing int
}
