package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// lostSite is a site without failures on which jobs of accounts with limits and weights arrive at random.
type lostSite struct {
	random  *rand.Rand
	planner *Planner
	now     time.Time
	workers []roster.Worker
	// idle holds, for each job, the time since which the rule of the users has held without a break.
	idle map[graph.ID]time.Time
	// entitledSince holds, for each urgent job that has not started, the time since which it has been within its guarantee.
	entitledSince map[graph.ID]time.Time
	// lost and late describe the jobs that break a rule. entitledSeen counts the urgent jobs that had
	// to wait within their guarantee.
	lost, late   []string
	entitledSeen int
}

func newLostSite(seed uint64) *lostSite {
	s := &lostSite{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), idle: map[graph.ID]time.Time{},
		entitledSince: map[graph.ID]time.Time{}}
	settings := testSettings()
	settings.LearnSpeeds = s.random.IntN(2) == 0
	next := testPolicy()
	next.Accounts = append([]policy.Account{}, next.Accounts...)
	for i := range next.Accounts {
		next.Accounts[i].Guaranteed = 36
		if s.random.IntN(3) > 0 {
			next.Accounts[i].Weight = float64(1 + s.random.IntN(4))
		}
		if s.random.IntN(3) > 0 {
			next.Accounts[i].Limit = resources.Amounts{Accelerators: int64(20 + s.random.IntN(40))}
		}
	}
	s.planner = New(settings, next)
	s.workers = workersOf(12, fullCapacity)
	for i := range s.workers {
		s.workers[i].Rack = endpoint.Rack(fmt.Sprintf("r%d", i/4))
	}
	s.planner.SetWorkers(s.workers, s.now)
	logs := map[endpoint.Name]int{}
	for i := range s.workers {
		s.planner.SetResponsive(s.workers[i].Name, true)
		logs[s.workers[i].Name] = []int{-500, 0, 470}[s.random.IntN(3)]
	}
	if settings.LearnSpeeds {
		if err := s.planner.RestoreSpeeds(speedsOf(s.planner, s.now, logs), s.now); err != nil {
			panic(err)
		}
	}
	return s
}

func (s *lostSite) submit(n int) {
	queue := []string{"urgent", "long", "batch"}[s.random.IntN(3)]
	name := []string{"gold", "silver", "bronze"}[s.random.IntN(3)]
	job := simpleJob(fmt.Sprintf("job-%04d", n), queue, name, 1+s.random.IntN(5), int64(s.random.IntN(5)), s.now)
	job.Steps[0].Gang = s.random.IntN(2) == 0
	job.Steps[0].SameRack = job.Steps[0].Gang && s.random.IntN(2) == 0
	job.Steps[0].Estimate = time.Duration(500+s.random.IntN(4000)) * time.Millisecond
	s.planner.Submit(job, s.now)
}

// step lets 100 ms pass.
func (s *lostSite) step() {
	s.now = s.now.Add(100 * time.Millisecond)
	for _, w := range s.planner.workersByName {
		s.planner.LeaseRenewed(w.Name, s.now)
		for _, m := range w.sortedMembers() {
			u := m.unit
			if m.state == ended || m.state == planned {
				continue
			}
			if m.stopping && s.now.Sub(m.stoppingSince) >= 400*time.Millisecond {
				s.planner.memberEnded(m, EndStopped, "", s.now)
			} else if u.phase == running && s.now.Sub(u.startedAt) >= u.spec().Estimate {
				for _, other := range append([]*member{}, u.members...) {
					s.planner.memberEnded(other, EndDone, "", s.now)
				}
			}
		}
	}
	s.planner.Tick()
	settle(s.planner, s.now)
	s.check()
}

// check applies the rule of the users on jobs that have nothing running.
func (s *lostSite) check() {
	var total, used resources.Amounts
	for _, w := range s.planner.workersByName {
		total, used = total.Add(w.Capacity), used.Add(w.used)
	}
	half := used.Times(2).Fits(total)
	for id, j := range s.planner.jobs {
		u := j.units[0][0][0]
		waits := !j.state.Final()
		j.eachUnit(func(u *unit) {
			waits = waits && (u.phase == waiting || u.phase == awaitingCapacity || u.phase == recording)
		})
		s.checkEntitled(j, waits)
		if !waits || !half || !s.fitsTwice(u) || !underHalf(j.holding, u) {
			delete(s.idle, id)
			continue
		}
		since, known := s.idle[id]
		if !known {
			s.idle[id] = s.now
		} else if s.now.Sub(since) > 3*time.Second {
			s.lost = append(s.lost, fmt.Sprintf("%s of %s: %d x %d", id, j.ClientAccount, u.size(), u.spec().Needs.Accelerators))
			s.idle[id] = s.now.Add(time.Hour)
		}
	}
}

// checkEntitled applies the rule on urgent work within its guarantee.
func (s *lostSite) checkEntitled(j *jobState, waits bool) {
	id := j.ID
	switch since, known := s.entitledSince[id]; {
	case !waits || !j.firstStart.IsZero() || !s.entitled(j):
		delete(s.entitledSince, id)
	case !known:
		s.entitledSince[id] = s.now
		s.entitledSeen++
	case s.now.Sub(since) > reclaimTime:
		s.late = append(s.late, fmt.Sprintf("%s of %s", id, j.ClientAccount))
	}
}

func (s *lostSite) fitsTwice(u *unit) bool {
	count := 0
	for _, w := range s.planner.workersByName {
		count += w.freeNow().Count(u.spec().Needs, 2*u.size())
	}
	return count >= 2*u.size()
}

// underHalf reports whether an account uses less than half of its limit and a unit needs no more than the other half. A
// unit that needs more may have to wait for other work of its account: see docs/design/account-limits.md.
func underHalf(h *holding, u *unit) bool {
	return !h.limited || h.running.Times(2).Fits(h.bound()) && u.needs().Times(2).Fits(h.bound())
}

// reclaimTime is the time within which urgent work within a guarantee must start.
const reclaimTime = 3400 * time.Millisecond

// entitled reports whether a job is urgent and all urgent work of its account together is within the guarantee and within
// the limit of the account.
func (s *lostSite) entitled(j *jobState) bool {
	if j.queue.Priority > 0 {
		return false
	}
	demand := s.planner.demandOf(&round{}, j.ClientAccount)
	h := j.holding
	return demand <= s.planner.policy.Guaranteed(j.ClientAccount) &&
		(h.limit.Accelerators == 0 || demand <= h.limit.Accelerators)
}

// TestNoJobIsPassedOver guards against a job that has nothing running for 3 s although there is capacity for twice its
// first unit, its account uses under half of its limit and under half of the capacity is in use, and against urgent work
// within its guarantee that starts too late: with limits, weights and learned speeds, none of which may cause it.
func TestNoJobIsPassedOver(t *testing.T) {
	entitled := 0
	for seed := range uint64(60) {
		s := newLostSite(seed)
		every := 1 + s.random.IntN(6)
		for i := range 300 {
			if i%every == 0 && i < 250 {
				s.submit(i)
			}
			s.step()
		}
		entitled += s.entitledSeen
		qt.Check(t, s.lost, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		qt.Check(t, s.late, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
	qt.Check(t, entitled > 50, qt.IsTrue, qt.Commentf("%d urgent jobs within their guarantee", entitled))
}

// TestHeadroomOfAnIdleService guards against a gang that waits for as long as urgent jobs arrive at a high rate, although
// more than half of the service is free and stays free: the headroom alone must not keep it from starting within 3 s.
func TestHeadroomOfAnIdleService(t *testing.T) {
	p, list, now := newLimitedPlanner(testPolicy(), 12)
	job := simpleJob("gang", "batch", "gold", 5, 3, now)
	job.Steps[0].Gang = true
	// 45 of 96 accelerators are in use, and urgent jobs have asked for as many as can be kept free.
	for i := range 5 {
		p.Submit(simpleJob(fmt.Sprintf("used-%d", i), "urgent", "silver", 3, 3, now), now)
	}
	settle(p, now)
	silver := p.jobs["used-0"]
	p.headroom.arrivals = append(p.headroom.arrivals, arrival{
		at: now, queue: silver.queue, holding: silver.holding, accelerators: 60,
	})
	p.Submit(job, now)
	settle(p, now)
	qt.Check(t, p.jobs["gang"].firstStart.IsZero(), qt.IsTrue)
	for range 29 {
		now = now.Add(100 * time.Millisecond)
		p.headroom.arrivals = append(p.headroom.arrivals, arrival{
			at: now, queue: silver.queue, holding: silver.holding, accelerators: 10,
		})
		for i := range list {
			p.LeaseRenewed(list[i].Name, now)
		}
		p.Tick()
		settle(p, now)
	}
	qt.Check(t, p.jobs["gang"].firstStart.IsZero(), qt.IsFalse)
}
