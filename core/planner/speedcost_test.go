package planner

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/speed"
)

// learnSpeeds switches the learning of speeds on in a planner that has workers, a third of which is slow.
func learnSpeeds(p *Planner, now time.Time) {
	p.settings.LearnSpeeds = true
	p.speeds = speed.New()
	var rates []speed.Rate
	for i, w := range p.workersByName {
		w.machine = machineOf(w)
		rates = append(rates, speed.Rate{Worker: w.machine, Log: math.Log([]float64{0.6, 1, 1.6}[i%3]), Deviation: 0.03})
	}
	p.speeds.Observe(rates, speed.Unknown(), now)
}

// TestLearnedOverloadIsBounded guards against decisions that grow with the number of waiting jobs when workers differ in
// speed: an urgent unit may search twice, once without the slow workers.
func TestLearnedOverloadIsBounded(t *testing.T) {
	p, now := newOverload(largeOverload)
	learnSpeeds(p, now)
	members := 0
	for _, w := range p.workersByName {
		members += len(w.members)
	}
	bound := maxExamined + 2*examinedByOne*(len(p.workersByName)+members)
	for first := true; first || p.InRound(); first = false {
		p.Plan(now)
		qt.Assert(t, p.lastExamined <= bound, qt.IsTrue, qt.Commentf("examined %d, at most %d", p.lastExamined, bound))
	}
}

// BenchmarkLearnedArrival is BenchmarkUrgentArrival with learned speeds.
func BenchmarkLearnedArrival(b *testing.B) {
	for _, workers := range []int{48, 350, 2000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			p, now := busyPlanner(workers)
			learnSpeeds(p, now)
			i := 0
			for b.Loop() {
				job := urgentGang(i, now)
				i++
				p.Submit(job, now)
				settle(p, now)
				p.Cancel(job.ID, now)
				endAll(p, job, now)
				settle(p, now)
				now = now.Add(10 * time.Second)
				b.StopTimer()
				p.Forget(now.Add(time.Hour))
				for _, w := range p.workersByName {
					p.LeaseRenewed(w.Name, now)
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkLearnedOverload is BenchmarkOverload with learned speeds.
func BenchmarkLearnedOverload(b *testing.B) {
	for _, workers := range []int{350, 1100, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			scale := func(n int) int { return n * workers / largeOverload.workers }
			for b.Loop() {
				b.StopTimer()
				p, now := newOverload(overload{
					workers: workers, urgent: scale(largeOverload.urgent), long: scale(largeOverload.long),
					batch: scale(largeOverload.batch),
				})
				learnSpeeds(p, now)
				b.StartTimer()
				p.Plan(now)
			}
		})
	}
}

// BenchmarkWatch measures what a report of one member of a gang of five costs in addition, with and without learning.
func BenchmarkWatch(b *testing.B) {
	for _, learn := range []bool{false, true} {
		b.Run(fmt.Sprint(learn), func(b *testing.B) {
			s := newSpeedSite(learn, 1, 0.6, 1, 1.6)
			s.submit("urgent", 5, 8, time.Hour, 0)
			s.decide()
			j := s.order[0]
			clock := time.Duration(0)
			percent := 0
			i := 0
			for b.Loop() {
				if i%5 == 0 {
					clock += time.Second
					percent = (percent + 10) % 90
				}
				start := j.starts[i%5]
				i++
				s.planner.Observe(Observation{Worker: start.Worker, Incarnation: 1, Sent: s.now, Clock: clock,
					Runs: []RunningTask{{Task: start.Task, Run: start.Run, Percent: percent}}}, s.now)
			}
		})
	}
}
