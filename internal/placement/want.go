package placement

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/dispatch"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// wantKey identifies what calls wait for: an item of a pool at servers of a software
// version, or at any server if that is empty.
type wantKey struct {
	indexKey
	software fleet.SoftwareVersion
}

// wantOf returns the key of a demand of this node's calls.
func wantOf(demand *dispatch.Demand) wantKey {
	return wantKey{indexKey: indexKey{pool: demand.Pool, item: demand.Item}, software: demand.Software}
}

// want returns the key of the calls of a node that wait.
func (w *WaitingCalls) want() wantKey {
	return wantKey{indexKey: indexKey{pool: w.Pool, item: w.Item}, software: w.Software}
}

// want returns the key of the calls that the estimate is for.
func (e *ReadyEstimate) want() wantKey {
	return wantKey{indexKey: indexKey{pool: e.Pool, item: e.Item}, software: e.Software}
}

// mayRun reports whether servers of a version may run the calls that wait.
func (w *WaitingCalls) mayRun(software fleet.SoftwareVersion) bool { return w.want().mayRun(software) }

// mayRun reports whether servers of a version may run the calls.
func (k wantKey) mayRun(software fleet.SoftwareVersion) bool {
	return k.software == "" || k.software == software
}

// wantRecord is what calls wait for and when that was recorded.
type wantRecord struct {
	dispatch.Demand
	recordedAt time.Time
}
