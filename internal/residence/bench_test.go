package residence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavatrack/guavatrack/internal/residence"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// BenchmarkPlan decides for engines that hold three of their models each, with
// calls waiting for one model in twenty.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{18, 180, 900} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			models := engines * 5
			for b.Loop() {
				b.StopTimer()
				state := site(engines, models)
				for at := range engines {
					holds(&state.Engines[at], at*5, at*5+1, at*5+2)
					for copied := range 15 {
						state.Engines[at].OnDisk[model((at*5+copied)%models)] = true
					}
				}
				for at := 0; at < models; at += 2 {
					waiting := 0
					if at%20 == 0 {
						waiting = 1
					}
					state.Demands = append(state.Demands, residence.Demand{
						Item: fleet.Item{Model: model(at)}, Waiting: waiting, Rate: 0.2, Takes: time.Second,
						Since: noon, Objective: noon.Add(2 * time.Second),
					})
				}
				b.StartTimer()
				residence.Plan(state)
			}
		})
	}
}
