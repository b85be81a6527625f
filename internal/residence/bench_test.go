package residence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// BenchmarkPlan plans for engines that hold three models each and have copies
// of more on disk, with calls waiting for one model in twenty.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{18, 180, 900} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			models := engines * 5
			for b.Loop() {
				b.StopTimer()
				state := newState(engines, models)
				for i := range engines {
					addIdleModels(&state.Engines[i], i*5, i*5+1, i*5+2)
					for j := range 15 {
						state.Engines[i].OnDisk[modelID((i*5+j)%models)] = true
					}
				}
				for i := 0; i < models; i += 2 {
					waiting := 0
					if i%20 == 0 {
						waiting = 1
					}
					state.Demands = append(state.Demands, residence.Demand{
						Item: fleet.Item{Model: modelID(i)}, Waiting: waiting, Rate: 0.2, ServiceTime: time.Second,
						WaitingSince: noon, Objective: noon.Add(2 * time.Second),
					})
				}
				b.StartTimer()
				residence.Plan(state)
			}
		})
	}
}

// newRareState returns a state with hundreds of rarely used models that calls wait for,
// each with a copy on the disks of a few engines.
func newRareState() residence.State {
	const engines, models, copies, waiting = 256, 1375, 18, 300
	state := newState(engines, models)
	for i := range engines {
		addIdleModels(&state.Engines[i], i*3, i*3+1, i*3+2)
		for j := range copies {
			state.Engines[i].OnDisk[modelID((i*copies+j*77)%models)] = true
		}
	}
	for i := range waiting {
		addWaitingCalls(&state, models-1-i, 1)
	}
	return state
}

// BenchmarkPlanForManyRareModels plans for hundreds of rarely used models that calls
// wait for.
func BenchmarkPlanForManyRareModels(b *testing.B) {
	state := newRareState()
	for b.Loop() {
		residence.Plan(state)
	}
}

// BenchmarkPlanForVersions plans for hundreds of rarely used models that calls wait for,
// each at one of two software versions.
func BenchmarkPlanForVersions(b *testing.B) {
	state := newRareState()
	versions := []fleet.SoftwareVersion{older, newer}
	for i := range state.Engines {
		state.Engines[i].Software = versions[i%2]
	}
	for i := range state.Demands {
		state.Demands[i].Software = versions[i%2]
	}
	for b.Loop() {
		residence.Plan(state)
	}
}
