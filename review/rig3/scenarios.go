package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// serviceName is the service of most cases, otherService another one.
	serviceName, otherService = "huvo11a", "huvo11b"
	// Prefixes of the routes.
	firePrefix, specPrefix, purityPrefix = "/lohu930/", "/pufi791/", "/pule252/"
	// vmCount is the number of entry VMs.
	vmCount = 3
	// lookInterval is the time between two looks of a check.
	lookInterval = 20 * time.Millisecond
	// settle is the time for the first leader to come up.
	settle = 3 * time.Second
)

// wholeWorker is the capacity of a worker, fullTask a task that takes all its accelerators.
var (
	wholeWorker = needs{CPU: 128000, MemMb: 524288, GPU: 8}
	fullTask    = needs{CPU: 52000, MemMb: 210000, GPU: 8}
	halfTask    = needs{CPU: 26000, MemMb: 105000, GPU: 4}
	smallTask   = needs{CPU: 6500, MemMb: 26000, GPU: 1}
)

// baseRoutes returns the routes of all cases.
func baseRoutes() []route {
	return []route{
		newRoute("r-7ejsmzz", firePrefix, serviceName, 1), newRoute("r-yyjsg3a", specPrefix, serviceName, 0),
		newRoute("r-jwyy7yx", purityPrefix, serviceName, 2),
	}
}

// begin configures the site, and starts workers and VMs.
func (s *site) begin(workers int) error {
	for i := range workers {
		id, rack := fmt.Sprintf("i-%02d", i+1), []string{"r1", "r2"}[i%2]
		if err := s.fleet.Add(id, serviceName, "a", rack, wholeWorker); err != nil {
			return err
		}
	}
	if err := s.Configure("the first", []string{serviceName, otherService}, baseRoutes()...); err != nil {
		return err
	}
	if err := s.StartVMs(vmCount); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// await calls look until it returns true or the time is over, and reports whether it did.
func await(limit time.Duration, look func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if look() {
			return true
		}
		time.Sleep(lookInterval)
	}
	return false
}

// jobID returns the ID of the job with a number.
func jobID(n int) string {
	return fmt.Sprintf("5c0e7a21d94b%04x", n)
}

// playLongTasks hands in 100 jobs, of which 3 take seven times as long as their estimates say. Without the disruption,
// their estimates are right, too.
func playLongTasks(s *site, trouble bool) (bool, error) {
	const (
		jobs     = 100
		every    = 33
		estimate = 60 * time.Second
		factor   = 7
		until    = 90 * time.Second
	)
	if err := s.begin(6); err != nil {
		return false, err
	}
	work := estimate
	if trouble {
		work *= factor
	}
	long := newJob(behavior{WorkMs: work.Milliseconds(), Needs: fullTask}, step{Count: 1, EstimateMs: estimate.Milliseconds()})
	ordinary := newJob(behavior{WorkMs: 1000, Needs: smallTask}, step{Count: 1, EstimateMs: 1000})
	var watches []*lossWatch
	for i := range jobs {
		id, j := jobID(i), ordinary
		if i%every == every-1 {
			j = long
			watches = append(watches, &lossWatch{site: s, id: id, service: serviceName, needs: fullTask})
		}
		if err := s.submit(firePrefix+id, apiKey, j); err != nil {
			return false, err
		}
	}
	accepted := time.Now()
	time.Sleep(finishAfter)
	complete := map[string]bool{}
	lastAsked := time.Now()
	await(until-time.Since(accepted), func() bool {
		if time.Since(lastAsked) > 5*time.Second {
			lastAsked = time.Now()
			for _, l := range watches {
				complete[l.id] = complete[l.id] || s.call(s.vms[0], http.MethodGet, firePrefix+l.id, apiKey, nil).State == "complete"
			}
		}
		for _, l := range watches {
			if !complete[l.id] && !(s.fleet.doneOf(l.id)) {
				l.look()
			}
		}
		return len(complete) == len(watches) && allTrue(complete)
	})
	broken := false
	for _, l := range watches {
		s.record.Add("job %s: longest time with nothing running and room: %.2f s, %d starts, shown as complete: %t", l.id,
			l.longest.Seconds(), s.fleet.startsOf(l.id), complete[l.id])
		broken = broken || l.longest >= lossWindow
	}
	if !trouble && !allTrue(complete) {
		return true, nil
	}
	return broken, nil
}

func allTrue(m map[string]bool) bool {
	for _, value := range m {
		if !value {
			return false
		}
	}
	return true
}

// playReplacedRoute replaces a route by another one with the same host, prefix and service while a job is running.
// Without the disruption, the new version only changes a time-out.
func playReplacedRoute(s *site, trouble bool) (bool, error) {
	if err := s.begin(4); err != nil {
		return false, err
	}
	id := jobID(1)
	does := behavior{WorkMs: 4000, Needs: halfTask}
	j := newJob(does, step{Count: 2, EstimateMs: 4000})
	for i := range 9 {
		next := j.Steps[0]
		next.After = []int{i}
		j.Steps = append(j.Steps, next)
	}
	if err := s.submit(firePrefix+id, apiKey, j); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return s.fleet.runsOf(id) > 0 }) {
		return false, fmt.Errorf("the job does not start")
	}
	time.Sleep(visible)
	for _, v := range s.vms {
		if a := s.call(v, http.MethodGet, firePrefix+id, apiKey, nil); a.Status != http.StatusOK {
			return false, fmt.Errorf("the job is not shown before the change: %d", a.Status)
		}
	}
	routes := baseRoutes()
	if trouble {
		routes[0].Name = "r-4kq02mn"
	} else {
		routes[0].TimeoutMs = 2500
	}
	if err := s.Configure("the change", []string{serviceName, otherService}, routes...); err != nil {
		return false, err
	}
	time.Sleep(configApply + visible)
	broken := false
	for _, v := range s.vms {
		if a := s.call(v, http.MethodGet, firePrefix+id, apiKey, nil); a.Status == http.StatusGone {
			s.record.Add("BROKEN (LOST): %s answers 410 for an accepted job that nobody has cancelled", v.name)
			broken = true
		}
	}
	if a := s.call(s.vms[0], http.MethodDelete, firePrefix+id, apiKey, nil); a.Status != http.StatusOK && a.Status != http.StatusGone {
		return false, fmt.Errorf("the cancelling is not acknowledged: %d", a.Status)
	}
	time.Sleep(cancelBound + stopBound)
	starts := s.fleet.startsOf(id)
	if s.fleet.runsOf(id) > 0 {
		s.record.Add("BROKEN (UNASKED): tasks of the job run although its cancelling was acknowledged")
		broken = true
	}
	time.Sleep(8 * time.Second)
	if later := s.fleet.startsOf(id); later > starts {
		s.record.Add("BROKEN (UNASKED): %d tasks of the job have started since, 3 s and more after its cancelling", later-starts)
		broken = true
	}
	return broken, nil
}

// playMovedQueue moves a queue from a full service to an idle one while a job waits. Without the disruption, the new
// version only changes a time-out.
func playMovedQueue(s *site, trouble bool) (bool, error) {
	if err := s.begin(2); err != nil {
		return false, err
	}
	for i := range 4 {
		id, rack := fmt.Sprintf("i-%02d", 11+i), []string{"r1", "r2"}[i%2]
		if err := s.fleet.Add(id, otherService, "a", rack, wholeWorker); err != nil {
			return false, err
		}
	}
	first, waiting, later := jobID(1), jobID(2), jobID(3)
	long := behavior{WorkMs: 100_000, Needs: fullTask}
	if err := s.submit(specPrefix+first, apiKey, newJob(long, step{Count: 2, EstimateMs: 100_000})); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return s.fleet.runsOf(first) == 2 }) {
		return false, fmt.Errorf("the first job does not start")
	}
	short := behavior{WorkMs: 5000, Needs: fullTask}
	if err := s.submit(purityPrefix+waiting, apiKey, newJob(short, step{Count: 1, EstimateMs: 5000})); err != nil {
		return false, err
	}
	time.Sleep(visible)
	routes := baseRoutes()
	if trouble {
		routes[2].Service = otherService
	} else {
		routes[2].TimeoutMs = 2500
	}
	if err := s.Configure("the change", []string{serviceName, otherService}, routes...); err != nil {
		return false, err
	}
	time.Sleep(configApply)
	if trouble {
		if err := s.submit(purityPrefix+later, apiKey, newJob(short, step{Count: 1, EstimateMs: 5000})); err != nil {
			return false, err
		}
	}
	time.Sleep(finishAfter)
	l := &lossWatch{site: s, id: waiting, service: routes[2].Service, needs: fullTask}
	await(30*time.Second, func() bool {
		l.look()
		return s.fleet.doneOf(waiting)
	})
	s.call(s.vms[0], http.MethodGet, purityPrefix+waiting, apiKey, nil)
	if trouble {
		s.call(s.vms[0], http.MethodGet, purityPrefix+later, apiKey, nil)
		s.record.Add("the job that was handed in after the change: %d starts", s.fleet.startsOf(later))
	}
	s.record.Add("the waiting job: longest time with nothing running and room: %.2f s, %d starts", l.longest.Seconds(),
		s.fleet.startsOf(waiting))
	return l.longest >= lossWindow, nil
}

// playFlappingWorker lets one of ten workers go down and up by turns, under a job that lasts.
func playFlappingWorker(s *site, trouble bool) (bool, error) {
	const (
		flapFor  = 6500 * time.Millisecond
		flapGap  = 1400 * time.Millisecond
		flaps    = 3
		between  = 15 * time.Second
		flapping = "i-21"
	)
	if err := s.begin(9); err != nil {
		return false, err
	}
	if err := s.fleet.Add(flapping, serviceName, "b", "r1", wholeWorker); err != nil {
		return false, err
	}
	id := jobID(1)
	does := behavior{Needs: halfTask}
	j := newJob(does, step{Count: 1, LongRunning: true, Requirements: "b"})
	if err := s.submit(firePrefix+id, apiKey, j); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return s.fleet.runsOf(id) > 0 }) {
		return false, fmt.Errorf("the job does not start")
	}
	time.Sleep(visible)
	for range flaps {
		if !trouble {
			time.Sleep(flapFor + between)
			continue
		}
		for end := time.Now().Add(flapFor); time.Now().Before(end); {
			s.fleet.Crash(flapping)
			time.Sleep(flapGap)
			if err := s.fleet.Restart(flapping); err != nil {
				return false, err
			}
			time.Sleep(flapGap)
		}
		time.Sleep(between)
	}
	broken := false
	for _, v := range s.vms {
		if a := s.call(v, http.MethodGet, firePrefix+id, apiKey, nil); a.State == "failed" {
			s.record.Add("BROKEN (LOST): %s shows the job as failed although no run of it has ended as failed", v.name)
			broken = true
		}
	}
	s.record.Add("the job: %d starts, %d runs now", s.fleet.startsOf(id), s.fleet.runsOf(id))
	return broken, nil
}

// playAbsence hands in an urgent job whose task only one worker suits, on which two tasks that last run. Another worker
// is idle and has room for them.
func playAbsence(s *site, trouble bool) (bool, error) {
	if err := s.begin(1); err != nil {
		return false, err
	}
	lasting, urgent := jobID(1), jobID(2)
	allowance := 1
	does := behavior{Needs: halfTask}
	j := newJob(does, step{Count: 2, LongRunning: true, MissAllowance: &allowance})
	if err := s.submit(firePrefix+lasting, otherKey, j); err != nil {
		return false, err
	}
	if !await(10*time.Second, func() bool { return s.fleet.runsOf(lasting) == 2 }) {
		return false, fmt.Errorf("the lasting job does not start")
	}
	if err := s.fleet.Add("i-21", serviceName, "b", "r2", wholeWorker); err != nil {
		return false, err
	}
	time.Sleep(visible)
	broken := false
	s.fleet.mu.Lock()
	s.fleet.onStop = func(w *worker, r *run) {
		away := 2 - s.fleet.atWork(lasting)
		if jobOf(r.task) == lasting && r.percent() == 100 && away >= allowance {
			s.record.Add("BROKEN (AVAIL): a stop ends %s, which is at work, while %d others of its step are away", r.task, away)
			broken = true
		}
	}
	s.fleet.mu.Unlock()
	if trouble {
		does := behavior{WorkMs: 3000, Needs: fullTask}
		if err := s.submit(specPrefix+urgent, apiKey, newJob(does, step{Count: 1, EstimateMs: 3000, Requirements: "a"})); err != nil {
			return false, err
		}
	}
	time.Sleep(15 * time.Second)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return broken, nil
}

// playUrgentSteps hands in an urgent job of two steps, one after the other, and then a second urgent job, while tasks of
// another tenant that last take the rest of the service. At any time the two jobs need no more than the guarantee of
// their tenant. Without the disruption, the other tenant hands in nothing.
func playUrgentSteps(s *site, trouble bool) (bool, error) {
	const (
		firstStep  = 2 * time.Second
		secondStep = 80 * time.Second
		watchTime  = 40 * time.Second
	)
	if err := s.begin(2); err != nil {
		return false, err
	}
	lasting, stepped, single := jobID(1), jobID(2), jobID(3)
	if trouble {
		j := newJob(behavior{Needs: halfTask}, step{Count: 4, LongRunning: true})
		if err := s.submit(firePrefix+lasting, otherKey, j); err != nil {
			return false, err
		}
		if !await(10*time.Second, func() bool { return s.fleet.runsOf(lasting) == 4 }) {
			return false, fmt.Errorf("the lasting job does not start")
		}
	}
	time.Sleep(visible)
	does := behavior{StepsMs: []int64{firstStep.Milliseconds(), secondStep.Milliseconds()}, Needs: halfTask}
	j := newJob(does, step{Count: 1, EstimateMs: firstStep.Milliseconds()})
	next := j.Steps[0]
	next.EstimateMs, next.After = secondStep.Milliseconds(), []int{0}
	j.Steps = append(j.Steps, next)
	if err := s.submit(specPrefix+stepped, apiKey, j); err != nil {
		return false, err
	}
	if !await(reclaimBound, func() bool { return s.fleet.startsOf(stepped) == 1 }) {
		return false, fmt.Errorf("the first job does not start either")
	}
	if !await(10*time.Second, func() bool { return s.fleet.startsOf(stepped) == 2 }) {
		return false, fmt.Errorf("the second step of the first job does not start")
	}
	time.Sleep(visible)
	one := newJob(behavior{WorkMs: firstStep.Milliseconds(), Needs: halfTask}, step{Count: 1, EstimateMs: firstStep.Milliseconds()})
	if err := s.submit(specPrefix+single, apiKey, one); err != nil {
		return false, err
	}
	accepted := time.Now()
	if await(reclaimBound, func() bool { return s.fleet.startsOf(single) > 0 }) {
		s.record.Add("the second job has begun after %.2f s", time.Since(accepted).Seconds())
		return false, nil
	}
	s.record.Add("BROKEN (RECLAIM): the second job has not begun within %s", reclaimBound)
	await(watchTime, func() bool { return s.fleet.startsOf(single) > 0 })
	s.call(s.vms[0], http.MethodGet, specPrefix+single, apiKey, nil)
	s.record.Add("the second job: %d starts %.0f s after its acknowledgement; the first one has %d run", s.fleet.startsOf(single),
		time.Since(accepted).Seconds(), s.fleet.runsOf(stepped))
	return true, nil
}
