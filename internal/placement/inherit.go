package placement

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/internal/roster"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// What runs at the engines is known to the nodes alone. If all of them are lost, callers
// notice that their streams broke only seconds later, and a stream goes on only at the
// software version that began it. Until then its model looks unused, and would be the first
// to be given up. So the holder of the lease leaves to the next one the models that are in
// use while several versions serve.

// modelInUse is a model on which calls run at an engine.
type modelInUse struct {
	Server fleet.ServerID `json:"server"`
	Model  fleet.ModelID  `json:"model"`
	calls  int
}

const (
	// maxModelsInUse bounds the models that are left to the next holder.
	maxModelsInUse = 300
	// recentStart is the age up to which the process of a holder may be one that started
	// after the loss of all others. An older one learns from the nodes what runs.
	recentStart = 15 * time.Second
	// minStreamGap, gapObjectives and gapPauses give the gap after which a caller takes a
	// stream for broken: the longest of a time, of a number of latency objectives, and of a
	// number of the longest pauses between two events.
	minStreamGap  = 2 * time.Second
	gapObjectives = 4
	gapPauses     = 8
	// returnTime is the time in which callers take up broken streams after that.
	returnTime = 3 * time.Second
)

// Note returns the models in use, for the next holder of the lease; empty if no pool whose
// streams may be continued has several software versions.
func (s *Scheduler) Note() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	view := s.View()
	mixed := view.ResumableVersions()
	maps.DeleteFunc(mixed, func(_ fleet.PoolID, versions map[fleet.SoftwareVersion]int) bool { return len(versions) == 1 })
	if len(mixed) == 0 {
		return ""
	}
	var used []modelInUse
	for key, usage := range s.modelUsages(time.Now()) {
		server := view.Servers[key.server]
		if usage > 0 && server != nil && mixed[server.Pool] != nil {
			used = append(used, modelInUse{Server: key.server, Model: key.item.Model, calls: usage})
		}
	}
	if len(used) == 0 {
		return ""
	}
	slices.SortFunc(used, func(a, b modelInUse) int {
		return cmp.Or(cmp.Compare(b.calls, a.calls), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model))
	})
	text, err := json.Marshal(used[:min(len(used), maxModelsInUse)])
	if err != nil {
		s.Log.Error("models in use not encoded", slog.Any("error", err))
		return ""
	}
	return string(text)
}

// modelUsages returns the calls that run on each model at each engine, with those on its
// adapters. The caller holds the lock.
func (s *Scheduler) modelUsages(now time.Time) map[usageKey]int {
	usages := make(map[usageKey]int)
	for key, usage := range s.aggregateUsages(now) {
		usages[usageKey{server: key.server, item: fleet.Item{Model: key.item.Model}}] += usage.count
	}
	return usages
}

// streamGap returns the longest gap after which a caller takes a stream that may be continued
// for broken.
func streamGap(manifest *roster.Manifest) time.Duration {
	gap := time.Duration(0)
	for _, route := range manifest.ResumableRoutes() {
		gap = max(gap, minStreamGap, gapObjectives*route.Objective, gapPauses*route.MaxEventGap)
	}
	return gap
}

// inherit takes over the models that were in use under the holder before, if this process
// may have started after the loss of all nodes. The caller holds the lock.
func (s *Scheduler) inherit(now time.Time, manifest *roster.Manifest) {
	s.kept, s.keptUntil = nil, time.Time{}
	if s.Inherited == nil || now.Sub(s.startedAt) > recentStart {
		return
	}
	text := s.Inherited()
	if text == "" {
		return
	}
	var used []modelInUse
	if err := json.Unmarshal([]byte(text), &used); err != nil {
		s.Log.Warn("models in use under the holder before not read", slog.Any("error", err))
		return
	}
	s.kept = make(map[fleet.ServerID][]fleet.ModelID)
	for _, model := range used {
		s.kept[model.Server] = append(s.kept[model.Server], model.Model)
	}
	s.keptUntil = now.Add(streamGap(manifest) + returnTime)
	s.Log.Info("models in use under the holder before are kept", slog.Int("models", len(used)), slog.Int("engines", len(s.kept)),
		slog.Duration("for", s.keptUntil.Sub(now)))
}

// markKept marks the models of an engine that are kept for the callers of broken streams. The
// engine keeps one place for other calls. The caller holds the lock.
func (s *Scheduler) markKept(now time.Time, engine *residence.Engine) {
	if !now.Before(s.keptUntil) {
		return
	}
	left := len(engine.ResidentModels) - 1
	for _, model := range s.kept[engine.ID] {
		for i := range engine.ResidentModels {
			if resident := &engine.ResidentModels[i]; resident.Model == model && !resident.Unloading && left > 0 {
				resident.Kept = true
				left--
			}
		}
	}
}
