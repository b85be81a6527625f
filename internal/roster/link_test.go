package roster_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// link delivers responses one after the other. A response that was given up still
// occupies the link, since its bytes have been sent.
type link struct {
	perEntry time.Duration
	mu       sync.Mutex
	freeAt   time.Time
}

func (l *link) transmit(ctx context.Context, entries int) error {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(entries) * l.perEntry)
	arrival := l.freeAt.Sub(now)
	l.mu.Unlock()
	select {
	case <-time.After(arrival):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// remoteFeed is a feed whose responses come over a shared link.
type remoteFeed[T any] struct {
	roster.Feed[T]
	link *link
	// weight is the minimum number of entries that a response counts as on the link.
	weight int
}

func (f *remoteFeed[T]) Follow(
	ctx context.Context, after roster.Revision, wait time.Duration,
) ([]T, roster.Revision, error) {
	entries, revision, err := f.Feed.Follow(ctx, after, wait)
	if err != nil {
		return nil, 0, err
	}
	if err := f.link.transmit(ctx, max(len(entries), f.weight)); err != nil {
		return nil, 0, err
	}
	return entries, revision, nil
}

// sharedFeed is a feed that several nodes read.
type sharedFeed[T any] struct {
	mu        sync.Mutex
	all       []T
	revisions []roster.Revision
	revision  roster.Revision
}

func (s *sharedFeed[T]) put(entries ...T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, entry := range entries {
		s.all, s.revisions = append(s.all, entry), append(s.revisions, s.revision)
	}
}

func (s *sharedFeed[T]) after(revision roster.Revision) (entries []T, newest roster.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, entry := range s.all {
		if s.revisions[i] > revision {
			entries = append(entries, entry)
		}
	}
	return entries, s.revision
}

func (s *sharedFeed[T]) List(context.Context) ([]T, roster.Revision, error) {
	entries, newest := s.after(0)
	return entries, newest, nil
}

func (s *sharedFeed[T]) Follow(ctx context.Context, revision roster.Revision, wait time.Duration) ([]T, roster.Revision, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		entries, newest := s.after(revision)
		if len(entries) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return entries, newest, ctx.Err()
		}
	}
}

// region is a set of controllers that share one link to the store.
type region struct {
	link        link
	servers     sharedFeed[roster.ServerEntry]
	manifests   sharedFeed[*roster.Manifest]
	controllers []*roster.Controller
}

func (r *region) start(t *testing.T, nodes int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range nodes {
		controller := &roster.Controller{
			Servers:   &remoteFeed[roster.ServerEntry]{Feed: &r.servers, link: &r.link},
			Manifests: &remoteFeed[*roster.Manifest]{Feed: &r.manifests, link: &r.link, weight: 1},
		}
		r.controllers = append(r.controllers, controller)
		group.Go(func() { _ = controller.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
}

// TestReadsOverASaturatedLinkSucceed guards against reads that never succeed on a
// saturated link: a thousand servers register at once, and the 33 nodes of a
// region read their entries over its link of 30 Mbit/s. The responses together
// take longer than the timeout of one read, and repeated reads add to the load.
func TestReadsOverASaturatedLinkSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &region{link: link{perEntry: 170 * time.Microsecond}}
		r.start(t, 33)
		time.Sleep(5 * time.Second)
		r.servers.put(manyEntries(1000, "1")...)
		time.Sleep(25 * time.Second)
		for _, controller := range r.controllers {
			c.Check(controller.View().Servers, qt.HasLen, 1000)
		}
		r.manifests.put(&roster.Manifest{Version: 1, Pools: map[fleet.PoolID]*roster.Pool{}})
		time.Sleep(3 * time.Second)
		for _, controller := range r.controllers {
			c.Check(controller.View().Manifest, qt.IsNotNil)
		}
	})
}
