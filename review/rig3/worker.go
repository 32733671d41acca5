package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease, stopTime the time from a stop order to the end of the run.
	holdMax  = 10 * time.Second
	stopTime = 200 * time.Millisecond
	// beatInterval is the time between two writes of a registration, silenceLimit the time after which the store removes
	// the registration of a silent worker.
	beatInterval = 1500 * time.Millisecond
	silenceLimit = 3 * beatInterval
	// leaseCheck is the time between two checks of a worker's lease and of its runs.
	leaseCheck = 10 * time.Millisecond
	// startupTime is the time after which a task that lasts is at work.
	startupTime = 300 * time.Millisecond
	// checkpointInterval is the work after which a task that saves has a new checkpoint.
	checkpointInterval = time.Second
	// checkpointDigits is the length of a checkpoint, which is the saved work in milliseconds.
	checkpointDigits = 16
)

// needs are the resources that a task takes, or that a worker has.
type needs struct {
	CPU   int64 `json:"cpu"`
	MemMb int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// behavior is what the tasks of a job do. The job's spec carries it.
type behavior struct {
	// WorkMs is the time that a task takes, 0 if it lasts until it is stopped.
	WorkMs int64
	// StepsMs is the same for each step, if the steps differ.
	StepsMs []int64 `json:",omitempty"`
	Needs   needs
	// Saves is set if the task has checkpoints.
	Saves bool `json:",omitempty"`
}

// run is a run of a task on a worker.
type run struct {
	task       string
	number     int64
	does       behavior
	started    time.Time
	saved      time.Duration
	stoppingAt time.Time
}

// work returns the work that the run has done, with what was saved before.
func (r *run) work() time.Duration {
	return r.saved + time.Since(r.started)
}

// checkpoint returns the newest checkpoint, or an empty text.
func (r *run) checkpoint() string {
	if !r.does.Saves || r.work() < checkpointInterval {
		return ""
	}
	text := strconv.FormatInt(r.work().Truncate(checkpointInterval).Milliseconds(), 10)
	return strings.Repeat("0", checkpointDigits-len(text)) + text
}

// percent returns the progress in whole percents.
func (r *run) percent() int64 {
	if r.does.WorkMs == 0 {
		if time.Since(r.started) >= startupTime {
			return 100
		}
		return 0
	}
	return min(r.work().Milliseconds()*100/r.does.WorkMs, 99)
}

// worker is a worker of the platform. It has no admission check: it starts whatever it is told to start.
type worker struct {
	fleet    *fleet
	id       string
	service  string
	rack     string
	kind     string
	capacity needs
	address  string

	// The fields below belong to one life of the worker. The lock of the fleet guards them.
	server    *http.Server
	up        bool
	born      time.Time
	fence     int64
	leaseEnd  time.Time
	runs      map[string]*run
	highest   map[string]int64
	ended     [][]any
	lastEnd   int64
	changed   chan struct{}
	nextBeat  time.Time
	sequences int64
}

// fleet is the set of all workers.
type fleet struct {
	mu      sync.Mutex
	store   *store
	record  *record
	workers []*worker
	// starts counts the starts of each job's tasks. done holds the jobs with a run that has ended as done.
	starts map[string]int
	done   map[string]bool
	// noted holds the tasks with a run that has ended as done, once that end is taken note of. startsAfter counts the starts
	// of such tasks.
	noted       map[string]bool
	startsAfter int
	// onStop is called with the lock held when a stop order arrives for a run.
	onStop func(w *worker, r *run)
}

// newFleet returns a fleet without workers.
func newFleet(s *store, r *record) *fleet {
	f := &fleet{
		store: s, record: r, starts: map[string]int{}, done: map[string]bool{}, noted: map[string]bool{},
		onStop: func(*worker, *run) {},
	}
	go f.tick()
	return f
}

// Add starts a worker.
func (f *fleet) Add(id, service, kind, rack string, capacity needs) error {
	w := &worker{fleet: f, id: id, service: service, kind: kind, rack: rack, capacity: capacity, address: "127.0.0.1:0"}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = append(f.workers, w)
	return w.start()
}

// start begins a life of the worker. The caller holds the lock.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.up, w.born, w.fence, w.leaseEnd = true, time.Now(), 0, time.Time{}
	w.runs, w.highest, w.ended, w.lastEnd = map[string]*run{}, map[string]int64{}, nil, 0
	w.changed, w.nextBeat, w.sequences = make(chan struct{}), time.Time{}, 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handleStart)
	mux.HandleFunc("POST /run-stop", w.handleStop)
	mux.HandleFunc("POST /hold", w.handleHold)
	mux.HandleFunc("POST /pace", w.handlePace)
	mux.HandleFunc("GET /healthz", func(h http.ResponseWriter, _ *http.Request) { h.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: w.expectsThis(mux), ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	w.fleet.record.Add("worker %s starts, born %d", w.id, w.born.UnixMilli())
	return nil
}

// Crash ends the process of a worker: it reports nothing more, and its connections break.
func (f *fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.find(id)
	w.up = false
	w.notify()
	for _, r := range w.sortedRuns() {
		f.record.Add("worker %s crashes under %s run %d", id, r.task, r.number)
	}
	f.record.Add("worker %s is down", id)
	w.runs = map[string]*run{}
	go func(server *http.Server) { _ = server.Close() }(w.server)
}

// Restart starts a worker again under its name and at its address.
func (f *fleet) Restart(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.find(id).start()
}

// find returns a worker by its name. The caller holds the lock.
func (f *fleet) find(id string) *worker {
	for _, w := range f.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// tick writes registrations and ends runs whose time has come, until the process ends.
func (f *fleet) tick() {
	for {
		time.Sleep(leaseCheck)
		f.mu.Lock()
		for _, w := range f.workers {
			if w.up {
				w.expire()
				w.advance()
				w.beat()
			}
		}
		f.mu.Unlock()
	}
}

// beat writes the worker's registration if it is time.
func (w *worker) beat() {
	if time.Now().Before(w.nextBeat) {
		return
	}
	w.nextBeat = time.Now().Add(beatInterval)
	w.sequences++
	value, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": zoneOf(w.rack), "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": w.capacity, "labels": []string{w.kind, w.rack}, "clockMs": w.clock(),
		"sequence": w.sequences, "born": w.born.UnixMilli(),
	})
	if err == nil {
		w.fleet.store.Put("servers/"+w.id, value, silenceLimit)
	}
}

// clock returns the reading of the worker's steady clock in milliseconds.
func (w *worker) clock() int64 {
	return time.Since(w.born).Milliseconds() + 1
}

// expire kills everything if the lease has ended.
func (w *worker) expire() {
	if len(w.runs) == 0 || time.Now().Before(w.leaseEnd) {
		return
	}
	for _, r := range w.sortedRuns() {
		w.finish(r, "lapsed")
	}
}

// advance ends the runs that are done or have been stopped.
func (w *worker) advance() {
	for _, r := range w.sortedRuns() {
		switch {
		case !r.stoppingAt.IsZero() && time.Since(r.stoppingAt) >= stopTime:
			w.finish(r, "stopped")
		case r.stoppingAt.IsZero() && r.does.WorkMs > 0 && r.work().Milliseconds() >= r.does.WorkMs:
			w.finish(r, "done")
		}
	}
}

// finish ends a run and lists its end.
func (w *worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.lastEnd++
	w.fleet.done[jobOf(r.task)] = w.fleet.done[jobOf(r.task)] || how == "done"
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.number, how, r.checkpoint()})
	w.fleet.record.Add("run ends: %s run %d on %s: %s, after %.2f s at %d %%", r.task, r.number, w.id, how,
		time.Since(r.started).Seconds(), r.percent())
	w.notify()
}

// notify wakes the calls that wait for an end.
func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) sortedRuns() []*run {
	var list []*run
	for _, r := range w.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].task < list[b].task })
	return list
}

// used returns the resources that the runs on the worker take. The caller holds the lock.
func (w *worker) used() needs {
	var sum needs
	for _, r := range w.runs {
		sum.CPU += r.does.Needs.CPU
		sum.MemMb += r.does.Needs.MemMb
		sum.GPU += r.does.Needs.GPU
	}
	return sum
}

// expectsThis rejects calls that are meant for another worker.
func (w *worker) expectsThis(next http.Handler) http.Handler {
	return http.HandlerFunc(func(h http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Auburnstack-Expect-Instance"); expected != "" && expected != w.id {
			h.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(h, r)
	})
}

// order is the body of an order to a worker.
type order struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// admit checks the fencing token and answers an outdated one. The caller holds the lock.
func (w *worker) admit(h http.ResponseWriter, o *order) bool {
	if o.FencingToken < w.fence {
		w.answer(h, http.StatusConflict, "fence")
		return false
	}
	w.fence = o.FencingToken
	return true
}

// answer answers an order. The caller holds the lock.
func (w *worker) answer(h http.ResponseWriter, status int, reason string) {
	reply := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		reply["reason"] = reason
	}
	writeJSON(h, status, reply)
}

// abortIfDown closes the connection without an answer if the worker is down. The caller holds the lock.
func (w *worker) abortIfDown() {
	if !w.up {
		panic(http.ErrAbortHandler)
	}
}

// renew extends the lease to a time on the worker's clock. The caller holds the lock.
func (w *worker) renew(untilMs int64) {
	end := w.born.Add(time.Duration(untilMs-1) * time.Millisecond)
	if latest := time.Now().Add(holdMax); end.After(latest) {
		end = latest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) handleStart(h http.ResponseWriter, request *http.Request) {
	var o order
	if !readJSON(h, request, &o) {
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.abortIfDown()
	if !w.admit(h, &o) {
		return
	}
	if o.UntilMs <= w.clock() {
		w.answer(h, http.StatusConflict, "late")
		return
	}
	w.expire()
	w.renew(o.UntilMs)
	if known := w.runs[o.Task]; known != nil && known.number == o.RunID {
		w.answer(h, http.StatusOK, "")
		return
	}
	if o.RunID <= w.highest[o.Task] {
		w.answer(h, http.StatusConflict, "old")
		return
	}
	r := &run{task: o.Task, number: o.RunID, started: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &r.does); err != nil {
		http.Error(h, err.Error(), http.StatusBadRequest)
		return
	}
	if n := stepOf(o.Task); n < len(r.does.StepsMs) {
		r.does.WorkMs = r.does.StepsMs[n]
	}
	saved, _ := strconv.ParseInt(o.Checkpoint, 10, 64)
	r.saved = time.Duration(saved) * time.Millisecond
	f.starts[jobOf(o.Task)]++
	if f.noted[o.Task] {
		f.startsAfter++
		f.record.Add("BROKEN (TWICE): %s starts again on %s, after a run that has ended done and was taken note of", o.Task, w.id)
	}
	w.highest[o.Task] = o.RunID
	w.runs[o.Task] = r
	f.record.Add("run starts: %s run %d on %s (%s)", o.Task, o.RunID, w.id, w.service)
	w.answer(h, http.StatusOK, "")
}

// stepOf returns the number of a task's step.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	n, _ := strconv.Atoi(parts[len(parts)-2])
	return n
}

func (w *worker) handleStop(h http.ResponseWriter, request *http.Request) {
	var o order
	if !readJSON(h, request, &o) {
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.abortIfDown()
	if !w.admit(h, &o) {
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.number == o.RunID && r.stoppingAt.IsZero() {
		f.record.Add("stop order: %s run %d on %s, after %.2f s at %d %%", r.task, r.number, w.id,
			time.Since(r.started).Seconds(), r.percent())
		f.onStop(w, r)
		r.stoppingAt = time.Now()
	}
	w.answer(h, http.StatusOK, "")
}

func (w *worker) handlePace(h http.ResponseWriter, request *http.Request) {
	var o order
	if !readJSON(h, request, &o) {
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.abortIfDown()
	if w.admit(h, &o) {
		w.answer(h, http.StatusOK, "")
	}
}

func (w *worker) handleHold(h http.ResponseWriter, request *http.Request) {
	var o order
	if !readJSON(h, request, &o) {
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.abortIfDown()
	if !w.admit(h, &o) {
		return
	}
	w.expire()
	if o.UntilMs > 0 {
		w.renew(o.UntilMs)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.LastSeen {
		if w.ended[0][3] == "done" {
			f.noted[w.ended[0][1].(string)] = true
		}
		w.ended = w.ended[1:]
	}
	born := w.born
	timer := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0 && w.up; {
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			waiting = false
		}
		f.mu.Lock()
	}
	if w.born != born {
		panic(http.ErrAbortHandler)
	}
	w.abortIfDown()
	active := [][]any{}
	for _, r := range w.sortedRuns() {
		active = append(active, []any{r.task, r.number, r.checkpoint(), r.percent(), 0})
	}
	ended := w.ended[:min(len(w.ended), 500)]
	if ended == nil {
		ended = [][]any{}
	}
	writeJSON(h, http.StatusOK, map[string]any{
		"clockMs": w.clock(), "born": w.born.UnixMilli(), "active": active, "endedRuns": ended,
	})
}

// startsOf returns the number of starts of a job's tasks.
func (f *fleet) startsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[id]
}

// doneOf reports whether a run of the job has ended as done.
func (f *fleet) doneOf(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[id]
}

// atWork returns the number of a job's tasks that are at work and not being stopped. The caller holds the lock.
func (f *fleet) atWork(id string) int {
	count := 0
	for _, w := range f.workers {
		for task, r := range w.runs {
			if jobOf(task) == id && r.percent() == 100 && r.stoppingAt.IsZero() {
				count++
			}
		}
	}
	return count
}
