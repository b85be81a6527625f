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

// link carries answers one after the other. One that is given up still takes its
// time, since its bytes are on their way.
type link struct {
	perEntry time.Duration
	mu       sync.Mutex
	freeAt   time.Time
}

func (l *link) carry(ctx context.Context, entries int) error {
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

// distant is a feed whose answers come over a link that others share.
type distant[T any] struct {
	roster.Feed[T]
	link *link
	// weight is how many entries an answer counts for; 0 counts those in it.
	weight int
}

func (d *distant[T]) Follow(
	ctx context.Context, after roster.Revision, wait time.Duration,
) ([]T, roster.Revision, error) {
	entries, at, err := d.Feed.Follow(ctx, after, wait)
	if err != nil {
		return nil, 0, err
	}
	if err := d.link.carry(ctx, max(len(entries), d.weight)); err != nil {
		return nil, 0, err
	}
	return entries, at, nil
}

// store is a feed that many read.
type store[T any] struct {
	mu   sync.Mutex
	all  []T
	revs []roster.Revision
	at   roster.Revision
}

func (s *store[T]) put(entries ...T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	for _, entry := range entries {
		s.all, s.revs = append(s.all, entry), append(s.revs, s.at)
	}
}

func (s *store[T]) after(rev roster.Revision) (entries []T, at roster.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, entry := range s.all {
		if s.revs[at] > rev {
			entries = append(entries, entry)
		}
	}
	return entries, s.at
}

func (s *store[T]) List(context.Context) ([]T, roster.Revision, error) {
	entries, at := s.after(0)
	return entries, at, nil
}

func (s *store[T]) Follow(ctx context.Context, rev roster.Revision, wait time.Duration) ([]T, roster.Revision, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		entries, at := s.after(rev)
		if len(entries) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return entries, at, ctx.Err()
		}
	}
}

// region is many controllers behind one link to the store.
type region struct {
	link        link
	servers     store[roster.ServerEntry]
	manifests   store[*roster.Manifest]
	controllers []*roster.Controller
}

func (r *region) start(t *testing.T, nodes int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range nodes {
		controller := &roster.Controller{
			Servers:   &distant[roster.ServerEntry]{Feed: &r.servers, link: &r.link},
			Manifests: &distant[*roster.Manifest]{Feed: &r.manifests, link: &r.link, weight: 1},
		}
		r.controllers = append(r.controllers, controller)
		group.Go(func() { _ = controller.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
}

// TestReadsOverAFullLinkGetThrough answers the pattern of a thousand servers
// that all enter themselves at once, read by the 33 nodes of a region over its
// link of 30 Mbit/s: the answers together take longer than one read is allowed,
// and what is asked again comes on top.
func TestReadsOverAFullLinkGetThrough(t *testing.T) {
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
