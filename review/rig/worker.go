package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the interval at which a worker writes its registration.
	heartbeatInterval = 1500 * time.Millisecond
	// gangTimeout is the time for which a task waits for the others of its gang (gangTimeoutMs).
	gangTimeout = 3 * time.Second
	// startupTime is the time after which a task that lasts is at work.
	startupTime = 300 * time.Millisecond
	// maxLease is the longest time without a renewal for which a worker runs tasks (holdMaxMs).
	maxLease = 10 * time.Second
	// taskCheckInterval is the interval at which a worker looks for tasks that are done.
	taskCheckInterval = 20 * time.Millisecond
)

// taskRun is a run of a task on a worker. A run of 0 duration lasts until it is stopped.
type taskRun struct {
	task     string
	number   int64
	began    time.Time
	duration time.Duration
	// gang is nil if the task works alone.
	gang *gang
}

// gang is a run of a gang. Its tasks work from the moment when all of them are present. It ends for all when one ends.
type gang struct {
	mu      sync.Mutex
	size    int
	present map[string]bool
	// complete is when the last task came; zero before. broken is set once a task has ended other than done.
	complete time.Time
	broken   bool
}

// gangs holds the runs of gangs by their job, occurrence, step and run.
type gangs struct {
	mu    sync.Mutex
	known map[string]*gang
}

// join adds a task to its gang, whose size the spec gives as "gang=SIZE", and returns the gang; nil if there is none.
func (g *gangs) join(task string, number int64, spec string) *gang {
	_, text, found := strings.Cut(spec, "gang=")
	if !found {
		return nil
	}
	size, _ := strconv.Atoi(strings.Fields(text)[0])
	g.mu.Lock()
	key := fmt.Sprintf("%s/%d", task[:strings.LastIndexByte(task, '.')], number)
	known := g.known[key]
	if known == nil {
		known = &gang{size: size, present: map[string]bool{}}
		g.known[key] = known
	}
	g.mu.Unlock()
	known.mu.Lock()
	defer known.mu.Unlock()
	known.present[task] = true
	if len(known.present) == size && known.complete.IsZero() {
		known.complete = time.Now()
	}
	return known
}

// breakUp ends the gang for all its tasks.
func (g *gang) breakUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = true
}

// state returns whether the gang is broken, and when all its tasks were present; zero if they are not yet.
func (g *gang) state() (broken bool, complete time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken, g.complete
}

// atWork reports whether a task that lasts has completed its startup.
func (r *taskRun) atWork() bool { return r.duration == 0 && time.Since(r.began) >= startupTime }

// worked returns the time for which the task has worked.
func (r *taskRun) worked() time.Duration {
	if r.gang == nil {
		return time.Since(r.began)
	}
	if _, complete := r.gang.state(); !complete.IsZero() {
		return time.Since(complete)
	}
	return 0
}

func (r *taskRun) percent() int {
	total := r.duration
	if total == 0 {
		total = startupTime
	}
	return min(int(r.worked()*100/total), 100)
}

// worker is a stand-in for one life of a worker.
type worker struct {
	id, zone, rack string
	address        netip.AddrPort
	// born is what the worker says of its start, to the millisecond. started is when its steady clock began.
	born    time.Time
	started time.Time
	gpus    int64
	store   *store
	log     *record
	gangs   *gangs

	mu       sync.Mutex
	fence    int64
	until    int64
	runs     map[string]*taskRun
	ended    [][]any
	number   int64
	finished map[string]int64
	changed  chan struct{}
	sequence int64
	closed   chan struct{}
	isClosed bool
	done     sync.WaitGroup
	// onStart and onEnd are called with the lock held.
	onStart func(r *taskRun)
	onEnd   func(r *taskRun, how string)
}

func newWorker(id, zone, rack string, gpus int64, born time.Time, s *site) *worker {
	return &worker{
		id: id, zone: zone, rack: rack, gpus: gpus, born: born, started: time.Now().Add(-time.Second), store: s.store, log: s.log, gangs: s.gangs,
		runs: map[string]*taskRun{}, finished: map[string]int64{}, changed: make(chan struct{}), closed: make(chan struct{}),
		onStart: func(*taskRun) {}, onEnd: func(*taskRun, string) {},
	}
}

// Begin registers the worker and lets its tasks work.
func (w *worker) Begin() {
	w.register()
	w.done.Go(func() {
		for {
			select {
			case <-w.closed:
				return
			case <-time.After(heartbeatInterval):
				w.register()
			}
		}
	})
	w.done.Go(func() {
		for {
			select {
			case <-w.closed:
				return
			case <-time.After(taskCheckInterval):
				w.endDue()
			}
		}
	})
}

// Crash ends the worker at once, with all that runs on it. Its registration stays.
func (w *worker) Crash() {
	w.mu.Lock()
	if w.isClosed {
		w.mu.Unlock()
		return
	}
	w.isClosed = true
	for _, r := range w.runs {
		if r.gang != nil {
			r.gang.breakUp()
		}
		w.onEnd(r, "crash")
		w.log.Add("worker %s: %s run %d ended with the worker", w.id, r.task, r.number)
	}
	w.runs = map[string]*taskRun{}
	close(w.closed)
	w.mu.Unlock()
	w.done.Wait()
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

func (w *worker) register() {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{
		"service": "svc", "address": w.address.String(), "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": 128000, "memMb": 524288, "gpu": w.gpus},
		"labels": []string{"a", w.rack}, "clockMs": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.store.Put("servers/"+w.id, body)
}

func (w *worker) endDue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		switch {
		case w.clock() > w.until:
			w.end(r, "lapsed")
		case r.duration > 0 && r.worked() >= r.duration:
			w.end(r, "done")
		case r.gang != nil:
			w.endGang(r)
		}
	}
}

// endGang ends a run whose gang is broken or not complete in time. The caller must hold the lock.
func (w *worker) endGang(r *taskRun) {
	broken, complete := r.gang.state()
	switch {
	case broken:
		w.end(r, "broken")
	case complete.IsZero() && time.Since(r.began) >= gangTimeout:
		w.end(r, "alone")
	}
}

// end ends a run. The caller must hold the lock.
func (w *worker) end(r *taskRun, how string) {
	delete(w.runs, r.task)
	if r.gang != nil && how != "done" {
		r.gang.breakUp()
	}
	w.finished[r.task] = max(w.finished[r.task], r.number)
	w.number++
	w.ended = append(w.ended, []any{w.number, r.task, r.number, how, ""})
	w.onEnd(r, how)
	w.log.Add("worker %s: %s run %d ended %s as number %d", w.id, r.task, r.number, how, w.number)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extend moves the end of the lease; it never shortens.
func (w *worker) extend(untilMs int64) {
	w.until = max(w.until, min(untilMs, w.clock()+maxLease.Milliseconds()))
}

// order is the body of a call to a worker.
type order struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if expected := r.Header.Get("X-Auburnstack-Expect-Instance"); expected != "" && expected != w.id {
		reply(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.FencingToken
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, o)
	case "/run-stop":
		if known := w.runs[o.Task]; known != nil && known.number == o.RunID {
			w.end(known, "stopped")
		}
		w.finished[o.Task] = max(w.finished[o.Task], o.RunID)
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(rw, r, o)
	default:
		w.answer(rw, http.StatusOK, map[string]any{})
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	reply(rw, status, body)
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	known := w.runs[o.Task]
	switch {
	case known != nil && known.number == o.RunID:
		w.extend(o.UntilMs)
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	case known != nil || o.RunID <= w.finished[o.Task]:
		w.extend(o.UntilMs)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case o.UntilMs <= w.clock():
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(o.UntilMs)
	began := &taskRun{task: o.Task, number: o.RunID, began: time.Now(), duration: durationOf(o.Spec)}
	began.gang = w.gangs.join(o.Task, o.RunID, o.Spec)
	w.runs[o.Task] = began
	w.onStart(began)
	w.log.Add("worker %s (born %d): started %s run %d, fencing token %d", w.id, w.born.UnixMilli(), o.Task, o.RunID, o.FencingToken)
	w.answer(rw, http.StatusOK, map[string]any{})
}

// durationOf returns the duration of a task, which the spec of its job gives as "work=MS"; 0 for tasks that last.
func durationOf(spec string) time.Duration {
	_, text, _ := strings.Cut(spec, "work=")
	text, _, _ = strings.Cut(text, " ")
	ms, _ := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond
}

// hold answers with the lists of runs. It waits for an end without the lock.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e[0].(int64) > o.LastSeen {
			kept = append(kept, e)
		} else {
			w.log.Add("worker %s: end number %d of %s run %d taken note of", w.id, e[0], e[1], e[2])
		}
	}
	w.ended = kept
	if len(w.ended) == 0 && o.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-w.closed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		w.mu.Lock()
		if w.isClosed {
			panic(http.ErrAbortHandler)
		}
	}
	active := [][]any{}
	for _, known := range w.runs {
		active = append(active, []any{known.task, known.number, "", known.percent(), 0})
	}
	ended := append([][]any{}, w.ended...)
	w.answer(rw, http.StatusOK, map[string]any{"active": active, "endedRuns": ended})
}

// AtWork returns the tasks that last and are at work on the worker.
func (w *worker) AtWork() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for _, r := range w.runs {
		if r.atWork() {
			tasks = append(tasks, r.task)
		}
	}
	return tasks
}
