package ticket_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

func drawEntry(t *rapid.T) ticket.Entry {
	entry := ticket.Entry{
		Key:    ticket.Key{Kind: ticket.PoolObject, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")},
		Number: fleet.TicketNumber(rapid.IntRange(1, 6).Draw(t, "number")),
	}
	// The content depends only on the number, since each number is accepted once.
	if entry.Number%3 != 0 {
		entry.Body = fmt.Sprintf(`{"kind":"engine","checksFencing":%t}`, entry.Number%2 == 0)
	}
	return entry
}

func mergeAll(t *rapid.T, state *ticket.State, entries []ticket.Entry) {
	for _, entry := range entries {
		before, _ := state.Entry(entry.Key)
		if _, err := state.Merge(entry); err != nil {
			t.Fatal(err)
		}
		if after, _ := state.Entry(entry.Key); after.Number < before.Number {
			t.Fatalf("%s went from %d back to %d", entry.Key, before.Number, after.Number)
		}
	}
}

func TestStateIsIndependentOfMergeOrderAndRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "entries")
		other := append(rapid.Permutation(entries).Draw(t, "order"), entries[:len(entries)/2]...)
		first, second := ticket.NewState(), ticket.NewState()
		mergeAll(t, first, entries)
		mergeAll(t, second, other)
		if first.Digest() != second.Digest() {
			t.Fatalf("digests differ: %s and %s", first.Digest(), second.Digest())
		}
		if !reflect.DeepEqual(second.Entries(), first.Entries()) ||
			!reflect.DeepEqual(second.Snapshot(), first.Snapshot()) ||
			!slices.Equal(second.GroupDigests(), first.GroupDigests()) {
			t.Fatalf("states differ: %v and %v", first.Entries(), second.Entries())
		}
	})
}

func TestDigestDiffersForDifferentStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfNDistinct(rapid.Custom(drawEntry), 1, 12, func(e ticket.Entry) string {
			return fmt.Sprint(e.Key, e.Number)
		}).Draw(t, "entries")
		whole, part := ticket.NewState(), ticket.NewState()
		mergeAll(t, whole, entries)
		mergeAll(t, part, entries[1:])
		current, _ := part.Entry(entries[0].Key)
		if (current.Number < entries[0].Number) == (whole.Digest() == part.Digest()) {
			t.Fatalf("digests %s and %s with and without %v", whole.Digest(), part.Digest(), entries[0])
		}
	})
}

func TestStaleEntryDoesNotUndoDeletion(t *testing.T) {
	c := qt.New(t)
	state := ticket.NewState()
	key := ticket.Key{Kind: ticket.PoolObject, Name: "engines"}
	old := ticket.Entry{Key: key, Number: 4, Body: `{"kind":"engine"}`}
	for _, entry := range []ticket.Entry{old, {Key: key, Number: 5}} {
		outcome, err := state.Merge(entry)
		c.Assert(err, qt.IsNil)
		c.Assert(outcome, qt.Equals, ticket.Applied)
	}
	outcome, err := state.Merge(old)
	c.Assert(err, qt.IsNil)
	c.Assert(outcome, qt.Equals, ticket.Stale)
	c.Assert(state.Snapshot().Pools, qt.HasLen, 0)
	c.Assert(state.Len(), qt.Equals, 1)
}

func TestClashResolvesToSameEntryInAnyOrder(t *testing.T) {
	c := qt.New(t)
	key := ticket.Key{Kind: ticket.PoolObject, Name: "engines"}
	one := ticket.Entry{Key: key, Number: 4, Body: `{"kind":"engine"}`}
	two := ticket.Entry{Key: key, Number: 4, Body: `{"kind":"service"}`}
	first, second := ticket.NewState(), ticket.NewState()
	for _, step := range []struct {
		state *ticket.State
		entry ticket.Entry
	}{{first, one}, {second, two}, {first, two}, {second, one}} {
		_, err := step.state.Merge(step.entry)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(first.Digest(), qt.Equals, second.Digest())
}
