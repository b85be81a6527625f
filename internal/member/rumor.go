package member

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/guavatrack/guavatrack/pkg/fleet"
)

const (
	// maxRumorFeedback is the number of receivers that already had an update after
	// which it is no longer sent.
	maxRumorFeedback = 3
	// rumorSendFactor bounds the sends of an update as a multiple of the logarithm
	// of the number of members.
	rumorSendFactor = 2
	// maxMessageRumors bounds the updates of one kind in one message.
	maxMessageRumors = 24
	// maxQueuedRumors bounds the queue. The update that was sent most often is
	// dropped first; digests repair records that were dropped.
	maxQueuedRumors = 4096
)

// rumor holds the dissemination state of one update: the number of sends, the
// number of receivers that already had it, and its position in the queue.
type rumor struct {
	sends, known int
	order        uint64
}

// rumors is the queue of updates that are still to be sent, by key.
type rumors[K comparable] struct {
	queue map[K]*rumor
	next  uint64
}

// add queues an update. If its key is queued already, its counts start anew.
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
	var mostSent K
	maxSends := -1
	for key, rumor := range r.queue {
		if rumor.sends > maxSends {
			mostSent, maxSends = key, rumor.sends
		}
	}
	delete(r.queue, mostSent)
}

// take returns the updates for one message, those sent least often first, except
// the excluded ones, which the receiver itself has just sent.
func (r *rumors[K]) take(members int, exclude []K) []K {
	limit := rumorSendFactor * bits.Len(uint(members))
	keys := make([]K, 0, len(r.queue))
	for key, rumor := range r.queue {
		if rumor.sends >= limit {
			delete(r.queue, key)
			continue
		}
		if !slices.Contains(exclude, key) {
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

// feedback records that a receiver already had an update.
func (r *rumors[K]) feedback(key K) {
	rumor, found := r.queue[key]
	if !found {
		return
	}
	if rumor.known++; rumor.known >= maxRumorFeedback {
		delete(r.queue, key)
	}
}

// updateQueues holds the updates still to be sent in one direction: to the
// neighbours or to one other region.
type updateQueues struct {
	members rumors[fleet.NodeID]
	facts   rumors[factKey]
	// mismatches counts the consecutive exchanges in which the digests differed.
	mismatches int
}
