package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
	"auburnstack/core/speed"
)

// TestLimitSparesFastWorkers guards against an urgent unit above its account's limit that gets a worker known to be too
// slow for it, when stopping as much work of the account on another worker suffices.
func TestLimitSparesFastWorkers(t *testing.T) {
	settings := testSettings()
	settings.LearnSpeeds = true
	now := time.Unix(1000, 0)
	p := New(settings, limitedPolicy("gold", 15))
	list := workersOf(2, fullCapacity)
	p.SetWorkers(list, now)
	for i := range list {
		p.SetResponsive(list[i].Name, true)
	}
	for _, name := range []string{"early", "late"} {
		p.Submit(simpleJob(name, "batch", "gold", 1, 7, now), now)
		settle(p, now)
		now = now.Add(headroomWait)
		p.Tick()
		settle(p, now)
	}
	// Stopping the run on the slow worker loses less.
	slow, fast := workerOf(p, "late"), workerOf(p, "early")
	qt.Assert(t, p.RestoreSpeeds(speedsOf(p, now, map[endpoint.Name]int{slow: -700, fast: 0}), now), qt.IsNil)
	now = now.Add(time.Second)
	p.Submit(simpleJob("urgent", "urgent", "gold", 1, 8, now), now)
	_, stopped := ordersOf(settle(p, now))
	qt.Check(t, stopped, qt.DeepEquals, []string{"early.0.0.0"})
}

// speedsOf returns a summary with the given log speeds, in thousandths, which are well known.
func speedsOf(p *Planner, now time.Time, logs map[endpoint.Name]int) speed.Summary {
	s := speed.Summary{Version: 1, At: now}
	for _, w := range p.workersByName {
		log, known := logs[w.Name]
		if !known {
			continue
		}
		s.Kinds, s.Racks = append(s.Kinds, w.machine.Kind), append(s.Racks, w.machine.Rack)
		s.Workers = append(s.Workers, speed.WorkerSummary{
			Name: w.Name, Kind: len(s.Kinds) - 1, Rack: len(s.Racks) - 1, Mean: log, Deviation: 50, Samples: 20,
		})
	}
	return s
}
