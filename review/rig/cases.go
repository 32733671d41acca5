package main

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// job returns the body of a job of one step.
func job(spec string, step map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": []map[string]any{step}}
}

// playForeignCancel lets a client without a key ask an anonymous queue to cancel an ID. No job with this ID was handed in
// there; a tenant's job in another queue has it.
func playForeignCancel(s *site, trouble bool) (verdict, error) {
	s.configure(map[string]any{"name": "assay", "priority": 0}, map[string]any{"name": "open", "priority": 2, "anonymous": true})
	if err := s.newFleet(3); err != nil {
		return verdict{}, err
	}
	if err := s.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)
	const id, key = "5c0e7a21d94b36f8", "refiner-key"
	// Control of the check itself: the tenant's queue is closed to a caller without its key.
	if status, _ := s.call(s.vms[0], "DELETE", "/assay/"+id, "", nil); status != 401 {
		return verdict{}, fmt.Errorf("a call without a key got %d from the tenant's queue", status)
	}
	if !s.submit("/assay/"+id, key, job("work=6000", map[string]any{
		"count": 2, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimateMs": 6000,
	})) {
		return verdict{}, errors.New("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.call(s.vms[1], "GET", "/open/"+id, "", nil)
		s.call(s.vms[1], "DELETE", "/open/"+id, "", nil)
	}
	const wait = 14 * time.Second
	state := ""
	for begin := time.Now(); time.Since(begin) < wait && state != "complete" && state != "cancelled"; time.Sleep(500 * time.Millisecond) {
		state = s.state("/assay/"+id, key)
	}
	switch state {
	case "complete":
		return verdict{reason: "the tenant's job is complete"}, nil
	case "cancelled":
		return verdict{broken: true, reason: "LOST: the tenant's job is shown as cancelled, and its tenant has not cancelled it"}, nil
	default:
		return verdict{}, fmt.Errorf("the job is shown as %q", state)
	}
}

// playUpkeepHandover lets the platform's service of machines be away while the upkeep of two machines is ordered, and
// stops the leader meanwhile. A job of three tasks that last, of which one may be absent, is handed in then.
func playUpkeepHandover(s *site, trouble bool) (verdict, error) {
	const machines, allowance, outage = 3, 1, 5 * time.Second
	s.configure(map[string]any{"name": "serve", "priority": 1})
	if err := s.newFleet(machines); err != nil {
		return verdict{}, err
	}
	if err := s.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)

	var once sync.Once
	holders := make(chan string, 1)
	s.cloud.onUpkeep = func(holder string) {
		once.Do(func() {
			if trouble {
				s.cloud.mu.Lock()
				s.cloud.silentUntil = time.Now().Add(outage)
				s.cloud.mu.Unlock()
				s.log.Add("cloud: away for %s", outage)
			}
			holders <- holder
		})
	}
	var broken []string
	s.cloud.onBegin = func(m *machine) {
		ending := m.worker.AtWork()
		others := 0
		for _, other := range s.cloud.machines {
			if other != m && s.cloud.states[other.id] == "" {
				others += len(other.worker.AtWork())
			}
		}
		away := machines - len(ending) - others
		s.log.Add("cloud: upkeep of %s begins; it ends %v, which is at work; %d other tasks are at work, %d are away", m.id, ending, others, away)
		if len(ending) > 0 && away >= allowance {
			broken = append(broken, fmt.Sprintf("the upkeep of %s ended %s while %d others of its step were away, missAllowance is %d",
				m.id, strings.Join(ending, " "), away, allowance))
		}
	}
	s.log.Add("operator: wave 1 of m-1 and m-2, maxCount 2")
	s.store.Put("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m-1", "m-2"}, "durationS": 40, "maxCount": 2})
	var holder string
	select {
	case holder = <-holders:
	case <-time.After(10 * time.Second):
		return verdict{}, errors.New("no upkeep was ordered")
	}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		for _, v := range s.vms {
			if v.name == holder {
				v.kill()
				go func() {
					time.Sleep(time.Second)
					_ = v.start()
				}()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if !s.submit("/serve/00000000000000a1", "refiner-key", job("lasts", map[string]any{
		"count": machines, "cpu": 4000, "memMb": 1000, "gpu": 8, "longRunning": true, "missAllowance": allowance,
	})) {
		return verdict{}, errors.New("the job was not accepted")
	}
	time.Sleep(25 * time.Second)
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	if len(s.cloud.done) < 2 {
		return verdict{}, fmt.Errorf("%d upkeeps of 2 have begun", len(s.cloud.done))
	}
	if len(broken) > 0 {
		return verdict{broken: true, reason: "AVAIL: " + strings.Join(broken, "; ")}, nil
	}
	return verdict{reason: "no upkeep ended a task that had to stay"}, nil
}

// playEarlierStart lets one of twelve workers go down and up twice, by turns. Its machine's time of day is 2 s ahead
// from before the first of these starts until before the second one. Then the worker works on without any fault.
func playEarlierStart(s *site, trouble bool) (verdict, error) {
	const (
		workers = 12
		ahead   = 2 * time.Second
		period  = 1400 * time.Millisecond
		tasks   = 8 * workers
		path    = "/assay/00000000000000b1"
		watched = 30 * time.Second
	)
	s.configure(map[string]any{"name": "assay", "priority": 0})
	if err := s.newFleet(workers); err != nil {
		return verdict{}, err
	}
	if err := s.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)
	use := watchUse(s, "")
	m := s.cloud.machines[0]
	for life := range 2 {
		m.front.set(nil)
		m.worker.Crash()
		s.log.Add("%s is down", m.worker.id)
		time.Sleep(period / 2)
		timeOfDay := time.Now()
		if trouble && life == 0 {
			timeOfDay = timeOfDay.Add(ahead)
		}
		old := m.worker
		m.worker = newWorker(old.id, old.zone, old.rack, old.gpus, timeOfDay, s)
		use.watch(m.worker)
		s.addWorker(m.front, old.address, m.worker)
		s.log.Add("%s is up, born %d", m.worker.id, m.worker.born.UnixMilli())
		if life == 0 {
			time.Sleep(period / 2)
		}
	}
	time.Sleep(settle)
	if !s.submit(path, "refiner-key", job("work=2000", map[string]any{
		"count": tasks, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimateMs": 2000,
	})) {
		return verdict{}, errors.New("the job was not accepted")
	}
	s.log.Add("the traffic ends")
	time.Sleep(finish)
	use.begin()
	time.Sleep(watched)
	state := s.state(path, "refiner-key")
	idle, starts := use.result()
	reason := fmt.Sprintf("LOST: %s after its acceptance the job of %d tasks is shown as %q; %d runs have begun, and from %s after the traffic on nothing of it ran for %s",
		finish+watched, tasks, state, starts, finish, idle)
	return verdict{broken: state != "complete" && idle >= unused, reason: reason}, nil
}

// playCapitals hands in jobs whose IDs, of 16 hexadecimal digits each, have capital letters: one alone, and one that differs
// only by them from the ID of another job. Without the disruption all letters are small, and the IDs differ in a digit.
func playCapitals(s *site, trouble bool) (verdict, error) {
	s.configure(map[string]any{"name": "assay", "priority": 0})
	if err := s.newFleet(3); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	started := map[string]bool{}
	for _, m := range s.cloud.machines {
		m.worker.mu.Lock()
		m.worker.onStart = func(r *taskRun) {
			mu.Lock()
			defer mu.Unlock()
			id, _, _ := strings.Cut(r.task, ".")
			started[id] = true
		}
		m.worker.mu.Unlock()
	}
	if err := s.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)
	ids := []string{"a0b1c2d3e4f56789", "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"}
	if trouble {
		ids[0], ids[2] = strings.ToUpper(ids[0]), strings.ToUpper(ids[1])
	}
	for _, id := range ids {
		if !s.submit("/assay/"+id, "refiner-key", job("work=1000", map[string]any{
			"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimateMs": 1000,
		})) {
			return verdict{}, errors.New("a job was not accepted")
		}
	}
	time.Sleep(8 * time.Second)
	states := map[string]string{}
	for _, id := range ids {
		states[id] = s.state("/assay/"+id, "refiner-key")
	}
	mu.Lock()
	defer mu.Unlock()
	var found []string
	for id := range started {
		if states[id] == "" {
			found = append(found, "UNASKED: workers were told to start tasks of "+id+", which no client sent")
		}
	}
	for _, id := range ids {
		if !started[id] && states[id] == "complete" {
			found = append(found, "MIXED: the job "+id+" is shown as complete, and no task of this name was ever started")
		}
	}
	if len(found) > 0 {
		sort.Strings(found)
		return verdict{broken: true, reason: strings.Join(found, "; ")}, nil
	}
	return verdict{reason: "all jobs were started by their names"}, nil
}

// playFlappingWorkers lets four of forty workers go down and up by turns, each once, while a gang that needs all of the
// forty is waiting to be done. No task loses its worker more than once.
func playFlappingWorkers(s *site, trouble bool) (verdict, error) {
	const (
		workers  = 40
		flapping = 4
		period   = 1400 * time.Millisecond
		path     = "/recon/00000000000000c1"
	)
	s.configure(map[string]any{"name": "recon", "priority": 1})
	if err := s.newFleet(workers); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	failed, crashes, most := 0, map[string]int{}, 0
	count := func(r *taskRun, how string) {
		mu.Lock()
		defer mu.Unlock()
		switch how {
		case "failed":
			failed++
		case "crash":
			crashes[r.task]++
			most = max(most, crashes[r.task])
		}
	}
	for _, m := range s.cloud.machines {
		m.worker.mu.Lock()
		m.worker.onEnd = count
		m.worker.mu.Unlock()
	}
	if err := s.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)
	if !s.submit(path, "refiner-key", job(fmt.Sprintf("gang=%d work=4000", workers), map[string]any{
		"count": workers, "cpu": 52000, "memMb": 210000, "gpu": 8, "estimateMs": 4000, "gang": true,
	})) {
		return verdict{}, errors.New("the job was not accepted")
	}
	for i := 0; trouble && i < flapping; i++ {
		m := s.cloud.machines[i*workers/flapping]
		time.Sleep(period / 2)
		m.front.set(nil)
		m.worker.Crash()
		s.log.Add("%s is down", m.worker.id)
		time.Sleep(period / 2)
		old := m.worker
		m.worker = newWorker(old.id, old.zone, old.rack, old.gpus, time.Now(), s)
		m.worker.onEnd = count
		s.addWorker(m.front, old.address, m.worker)
		s.log.Add("%s is up, born %d", m.worker.id, m.worker.born.UnixMilli())
	}
	s.log.Add("all workers stay up from now on")
	state := ""
	for begin := time.Now(); time.Since(begin) < 25*time.Second && state != "complete" && state != "failed"; time.Sleep(time.Second) {
		state = s.state(path, "refiner-key")
	}
	mu.Lock()
	defer mu.Unlock()
	if state != "complete" && state != "failed" {
		return verdict{}, fmt.Errorf("the job is shown as %q", state)
	}
	reason := fmt.Sprintf("the job is shown as %q; %d of its runs have ended failed, maxAttempts is 3; workers crashed under %d of its tasks, at most %d under one",
		state, failed, len(crashes), most)
	return verdict{broken: state == "failed" && failed == 0 && most <= 1, reason: "LOST: " + reason}, nil
}

// playLongTask hands in a job of one task of 10 min, on idle workers without any fault. Its estimate is a rough one: a
// tenth of the duration, or exact without the disruption.
func playLongTask(s *site, trouble bool) (verdict, error) {
	const (
		path    = "/recon/00000000000000d1"
		work    = 600_000
		watched = 75 * time.Second
	)
	s.configure(map[string]any{"name": "recon", "priority": 1})
	if err := s.newFleet(4); err != nil {
		return verdict{}, err
	}
	use := watchUse(s, "")
	if err := s.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)
	estimate := work
	if trouble {
		estimate /= 10
	}
	if !s.submit(path, "refiner-key", job(fmt.Sprintf("work=%d", work), map[string]any{
		"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimateMs": estimate,
	})) {
		return verdict{}, errors.New("the job was not accepted")
	}
	s.log.Add("the traffic ends")
	time.Sleep(finish)
	use.begin()
	time.Sleep(watched)
	state := s.state(path, "refiner-key")
	idle, starts := use.result()
	reason := fmt.Sprintf("LOST: the task of 10 min was started %d times in %s on sound workers; from %s after the traffic on nothing of its job ran for %s; it is shown as %q",
		starts, finish+watched, finish, idle, state)
	return verdict{broken: state != "complete" && idle >= unused, reason: reason}, nil
}

// playLargeBurst hands in many jobs with many small tasks at once, and then one job of a single task of priority 0. The
// tasks of all jobs together need a quarter of the workers. Without the disruption there is one of the large jobs.
func playLargeBurst(s *site, trouble bool) (verdict, error) {
	const (
		workers  = 24
		tasks    = 1300
		burst    = 64
		urgentID = "00000000000000e1"
		urgent   = "/urgent/" + urgentID
		watched  = 60 * time.Second
	)
	s.configure(map[string]any{"name": "urgent", "priority": 0}, map[string]any{"name": "batch", "priority": 2})
	if err := s.newFleet(workers); err != nil {
		return verdict{}, err
	}
	use := watchUse(s, urgentID)
	if err := s.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(settle)
	jobs := burst
	if !trouble {
		jobs = 1
	}
	for i := range jobs {
		if !s.submit(fmt.Sprintf("/batch/%016x", i+1), "refiner-key", job("work=300000", map[string]any{
			"count": tasks, "cpu": 10, "memMb": 10, "estimateMs": 300000,
		})) {
			return verdict{}, errors.New("a large job was not accepted")
		}
	}
	s.log.Add("%d jobs of %d tasks are accepted", jobs, tasks)
	if !s.submit(urgent, "desk-key", job("work=300000", map[string]any{
		"count": 1, "cpu": 4000, "memMb": 1000, "gpu": 1, "estimateMs": 300000,
	})) {
		return verdict{}, errors.New("the urgent job was not accepted")
	}
	s.log.Add("the traffic ends")
	time.Sleep(finish)
	use.begin()
	time.Sleep(watched)
	state := s.state(urgent, "desk-key")
	idle, starts := use.result()
	reason := fmt.Sprintf("LOST: after %d jobs of %d tasks, the job of one task of priority 0 has begun %d times on %d workers within %s, and had nothing running for %s from %s after the traffic on; it is shown as %q",
		jobs, tasks, starts, workers, finish+watched, idle, finish, state)
	return verdict{broken: state != "complete" && idle >= unused, reason: reason}, nil
}
