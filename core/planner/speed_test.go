package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// speedSite is a small site whose workers have speeds that the planner doesn't know. It runs urgent gangs of five, and
// other gangs that have time.
type speedSite struct {
	random  *rand.Rand
	planner *Planner
	now     time.Time
	names   []endpoint.Name
	speeds  map[endpoint.Name]float64
	// slowed is a worker that is six times slower from slowFrom to slowTo.
	slowed           endpoint.Name
	slowFrom, slowTo time.Time
	jobs             map[graph.ID]*speedJob
	// order lists the jobs in the order of submission.
	order []*speedJob
}

// speedJob is a submitted gang with its true work on a worker of speed 1.
type speedJob struct {
	*graph.Job
	work   time.Duration
	starts map[int]Start
	// done is the work that each member has done by its own speed, slowest what the gang has done.
	done    map[int]time.Duration
	slowest time.Duration
	ended   bool
	inTime  bool
}

const speedTick = 50 * time.Millisecond

// newSpeedSite returns a site with racks of eight workers that have the given speeds in random order.
func newSpeedSite(learn bool, seed uint64, speeds ...float64) *speedSite {
	settings := testSettings()
	settings.LearnSpeeds = learn
	s := &speedSite{
		random: rand.New(rand.NewPCG(seed, 3)), planner: New(settings, testPolicy()), now: time.Unix(1000, 0),
		speeds: map[endpoint.Name]float64{}, jobs: map[graph.ID]*speedJob{},
	}
	const workers = 48
	order := s.random.Perm(workers)
	var list []roster.Worker
	for i := range workers {
		rack := fmt.Sprintf("r%d", i/8)
		w := roster.Worker{
			Name: endpoint.Name(fmt.Sprintf("w%02d", i)), Service: "assay", FailureDomain: "r", Incarnation: 1,
			Capacity: resources.Amounts{CPU: 8000, Memory: 8000, Accelerators: 8}, Rack: endpoint.Rack(rack),
			Labels: []string{"a", rack},
		}
		w.FailureDomain = domain.Name(rack[:1])
		s.names = append(s.names, w.Name)
		s.speeds[w.Name] = speeds[order[i]%len(speeds)]
		list = append(list, w)
	}
	s.planner.SetWorkers(list, s.now)
	for _, name := range s.names {
		s.report(name, nil)
	}
	return s
}

// submit submits a gang. Its estimate has an error with the given standard deviation of the logarithm.
func (s *speedSite) submit(queue string, tasks int, needs int64, work time.Duration, estimateError float64) {
	estimate := time.Duration(float64(work) * math.Exp(estimateError*s.random.NormFloat64()))
	job := &graph.Job{
		ID: graph.ID(fmt.Sprintf("%s-%04d", queue, len(s.jobs))), Queue: queue, ClientAccount: "x", Accepted: s.now,
		Steps: []graph.Step{{
			Tasks: tasks, Gang: true, SameRack: queue == "urgent", Estimate: estimate, AbsenceLimit: -1,
			Needs: resources.Amounts{CPU: 1000 * needs, Memory: 1000 * needs, Accelerators: needs},
		}},
	}
	j := &speedJob{Job: job, work: work, starts: map[int]Start{}, done: map[int]time.Duration{}}
	s.jobs[job.ID] = j
	s.order = append(s.order, j)
	s.planner.Submit(job, s.now)
}

func (s *speedSite) speedOf(name endpoint.Name) float64 {
	if name == s.slowed && s.now.After(s.slowFrom) && s.now.Before(s.slowTo) {
		return s.speeds[name] / 6
	}
	return s.speeds[name]
}

// step lets one tick pass: runs progress, workers report every second, and the planner decides.
func (s *speedSite) step() {
	s.now = s.now.Add(speedTick)
	for _, j := range s.order {
		s.progress(j)
	}
	for i, name := range s.names {
		if (s.now.UnixMilli()/speedTick.Milliseconds()+int64(i))%20 == 0 {
			s.report(name, nil)
		}
	}
	s.planner.Tick()
	s.decide()
}

// progress advances a running gang. Its members report their own progress and end together.
func (s *speedSite) progress(j *speedJob) {
	if j.ended || len(j.starts) < j.Steps[0].Tasks {
		return
	}
	slowest := math.Inf(1)
	for i, start := range j.starts {
		speed := s.speedOf(start.Worker)
		slowest = min(slowest, speed)
		j.done[i] += time.Duration(speed * float64(speedTick))
	}
	if j.slowest += time.Duration(slowest * float64(speedTick)); j.slowest < j.work {
		return
	}
	j.ended = true
	j.inTime = s.now.Sub(j.Accepted) <= time.Duration(1.5*float64(j.work))+250*time.Millisecond
	ends := map[endpoint.Name][]EndedRun{}
	for _, start := range j.starts {
		ends[start.Worker] = append(ends[start.Worker], EndedRun{Task: start.Task, Run: start.Run, Kind: EndDone})
	}
	for _, name := range s.names {
		if ends[name] != nil {
			s.report(name, ends[name])
		}
	}
}

func (s *speedSite) report(name endpoint.Name, ends []EndedRun) {
	o := Observation{Worker: name, Incarnation: 1, Sent: s.now, Clock: s.now.Sub(time.Unix(0, 0)), Ended: ends}
	for _, j := range s.order {
		for i := range j.Steps[0].Tasks {
			if start, runs := j.starts[i]; runs && start.Worker == name && !j.ended {
				percent := min(int(100*j.done[i]/j.work), 100)
				o.Runs = append(o.Runs, RunningTask{Task: start.Task, Run: start.Run, Percent: percent})
			}
		}
	}
	s.planner.LeaseRenewed(name, s.now)
	s.planner.SetResponsive(name, true)
	s.planner.Observe(o, s.now)
}

func (s *speedSite) decide() {
	for {
		actions := s.planner.Plan(s.now)
		changes := s.planner.TakeChanges(100)
		for _, c := range changes {
			s.planner.Stored(c, s.now)
		}
		for _, action := range actions {
			switch a := action.(type) {
			case Start:
				s.jobs[a.Task.Job].starts[a.Task.Index] = a
				s.planner.StartAnswered(a, Accepted, s.now)
			case Stop:
				s.stop(a)
			}
		}
		if len(actions) == 0 && len(changes) == 0 {
			return
		}
	}
}

func (s *speedSite) stop(a Stop) {
	j := s.jobs[a.Task.Job]
	if start, runs := j.starts[a.Task.Index]; runs && start.Run == a.Run && !j.ended {
		delete(j.starts, a.Task.Index)
		j.done, j.slowest = map[int]time.Duration{}, 0
		s.report(a.Worker, []EndedRun{{Task: a.Task, Run: a.Run, Kind: EndStopped}})
	}
}

// play runs a minute of load and returns the share of the urgent gangs of the last 40 seconds that ended in time.
func (s *speedSite) play(estimateError float64) float64 {
	begin := s.now
	next := map[string]time.Time{"urgent": s.now, "long": s.now}
	interval := map[string]time.Duration{"urgent": 800 * time.Millisecond, "long": 2500 * time.Millisecond}
	for s.now.Sub(begin) < time.Minute {
		for _, queue := range []string{"urgent", "long"} {
			if s.now.Before(next[queue]) {
				continue
			}
			next[queue] = s.now.Add(time.Duration(s.random.ExpFloat64() * float64(interval[queue])))
			work := 1500*time.Millisecond + time.Duration(s.random.IntN(1200))*time.Millisecond
			if queue == "urgent" {
				s.submit(queue, 5, 1+s.random.Int64N(8), work, estimateError)
			} else {
				s.submit(queue, 8, 1+s.random.Int64N(4), 3*work, estimateError)
			}
		}
		s.step()
	}
	inTime, all := 0, 0
	for _, j := range s.jobs {
		if j.Queue == "urgent" && j.Accepted.Sub(begin) > 15*time.Second && s.now.Sub(j.Accepted) > 5*time.Second {
			all++
			if j.inTime {
				inTime++
			}
		}
	}
	return float64(inTime) / float64(all)
}

// TestLearnedSpeeds guards against urgent gangs that end late because of slow workers which the planner could know, and
// against losses where there is nothing to learn: workers alike, a worker slow for six seconds, useless estimates.
func TestLearnedSpeeds(t *testing.T) {
	const seeds = 4
	cases := []struct {
		name          string
		speeds        []float64
		estimateError float64
		slowFor       time.Duration
		// gain is the least difference of the share in time between learning and today's policy.
		gain float64
	}{
		{"three speeds", []float64{0.6, 1, 1.6}, 0.5, 0, 0.15},
		{"three speeds, useless estimates", []float64{0.6, 1, 1.6}, 1.5, 0, 0.15},
		{"alike", []float64{1}, 0.5, 0, -0.02},
		{"alike, useless estimates", []float64{1}, 1.5, 0, -0.02},
		{"alike, one slow for 6 s", []float64{1}, 0.5, 6 * time.Second, -0.02},
		{"three speeds, one slow for 6 s", []float64{0.6, 1, 1.6}, 0.5, 6 * time.Second, 0.15},
	}
	t.Log("share of urgent gangs in time: off, on")
	for _, c := range cases {
		var share [2]float64
		for seed := range uint64(seeds) {
			for i, learn := range []bool{false, true} {
				s := newSpeedSite(learn, seed, c.speeds...)
				s.slowed, s.slowFrom, s.slowTo = "w03", s.now.Add(25*time.Second), s.now.Add(25*time.Second+c.slowFor)
				share[i] += s.play(c.estimateError) / seeds
			}
		}
		t.Logf("%-35s %.3f  %.3f", c.name, share[0], share[1])
		qt.Check(t, share[1]-share[0] >= c.gain, qt.IsTrue, qt.Commentf("%s: %v", c.name, share))
	}
}

// TestSpeedsKnown guards against estimates of the wrong worker, or of the wrong sign, from the reports of gangs.
func TestSpeedsKnown(t *testing.T) {
	s := newSpeedSite(true, 1, 0.6, 1, 1.6)
	s.play(0.5)
	squares, count := 0.0, 0.0
	for name, w := range s.planner.workers {
		estimate := s.planner.speeds.Estimate(w.machine, s.now)
		if estimate.Samples < 4 {
			continue
		}
		distance := estimate.Mean - math.Log(s.speeds[name])
		squares += distance * distance
		count++
	}
	rms := math.Sqrt(squares / count)
	qt.Check(t, count >= 40, qt.IsTrue, qt.Commentf("%v", count))
	qt.Check(t, rms < 0.1, qt.IsTrue, qt.Commentf("%v", rms))
}

// TestSpeedSpared guards against services that get the slowest workers because they are not urgent, and against a
// needed speed that is not a number for tasks without an estimate.
func TestSpeedSpared(t *testing.T) {
	s := newSpeedSite(true, 1, 0.6, 1, 1.6)
	s.play(0.5)
	job := &graph.Job{ID: "service", Queue: "long", ClientAccount: "x", Accepted: s.now, Steps: []graph.Step{{
		Tasks: 1, LongRunning: true, Estimate: time.Hour, AbsenceLimit: -1,
	}}}
	s.planner.Submit(job, s.now)
	u := s.planner.jobs["service"].units[0][0][0]
	qt.Check(t, s.planner.placedBySpeed(u), qt.IsFalse)
	u.job.Steps[0] = graph.Step{Tasks: 1}
	qt.Check(t, s.planner.placedBySpeed(u), qt.IsTrue)
	for _, late := range []time.Duration{0, s.planner.objective(u.job) - startOverhead, time.Minute, -time.Minute} {
		needed := s.planner.neededSpeed(u, s.now.Add(late))
		qt.Check(t, needed, qt.Equals, leastSpeed, qt.Commentf("%v", late))
	}
}
