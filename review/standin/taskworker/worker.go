// Package taskworker is a stand-in for the workers that run tasks. It carries out orders as PROTOCOL.md says, keeps no
// capacity limit of its own (admissionCheck is false), and records what has run.
package taskworker

import (
	"fmt"
	"sync"
	"time"
)

// Plan tells how the tasks of a job behave.
type Plan struct {
	// Work returns the duration of a task; 0 for a task that lasts until it is stopped.
	Work func(task string) time.Duration
	// Saves is set if the tasks save their progress every saveInterval of work.
	Saves bool
}

// saveInterval is the time of work from one checkpoint to the next.
const saveInterval = time.Second

// startup is the time after which a task that lasts is at work.
const startup = 300 * time.Millisecond

// Event is something that a worker has done.
type Event struct {
	At     time.Time
	Worker string
	// What is start, done, stopped, lapsed, crash or born.
	What string
	Task string
	Run  int64
	// Spec is that of a start.
	Spec string
	// Number is that of an end. Acknowledged is the time at which lastSeen reached it, zero if it never did.
	// LeaseLapsed is set if the worker's lease lapsed between the two.
	Number       int64
	Acknowledged time.Time
	LeaseLapsed  bool
}

// String returns the event without its time, for the record.
func (e *Event) String() string {
	switch e.What {
	case "crash", "born":
		return fmt.Sprintf("%s %s", e.Worker, e.What)
	case "start":
		return fmt.Sprintf("%s starts %s run %d", e.Worker, e.Task, e.Run)
	default:
		return fmt.Sprintf("%s ends %s run %d %s, end %d", e.Worker, e.Task, e.Run, e.What, e.Number)
	}
}

// run is a task at work.
type run struct {
	task    string
	id      int64
	started time.Time
	work    time.Duration
	saves   bool
	timer   *time.Timer
}

// checkpoint returns the newest checkpoint, or an empty text if there is none.
func (r *run) checkpoint() string {
	saved := time.Since(r.started) / saveInterval
	if !r.saves || saved == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", int64(saved))
}

func (r *run) percent() int {
	age := time.Since(r.started)
	if r.work == 0 {
		return min(int(100*age/startup), 100)
	}
	return min(int(100*age/r.work), 99)
}

type runKey struct {
	task string
	id   int64
}

// Worker is one worker. It is safe for concurrent use.
type Worker struct {
	ID, Service, Zone, Rack string
	// Address is the address of the worker's HTTP interface.
	Address string
	plan    func(task string) Plan
	// onEvent is called with each event, in order.
	onEvent func(*Event)

	mu sync.Mutex
	// born is the start of this life; bornMs is what the worker says of it by the time of day of its machine.
	born   time.Time
	bornMs int64
	fence  int64
	until  int64
	lapse  *time.Timer
	runs   map[runKey]*run
	// settled holds the highest run of each task that was stopped or has ended here.
	settled map[string]int64
	ends    []*Event
	lastEnd int64
	// changed is closed and replaced when a run ends and when the worker's condition changes.
	changed  chan struct{}
	down     bool
	cut      bool
	sequence int64
}

// New returns a worker that is up. The function plan returns the plan for a task.
func New(id, service, zone, rack string, plan func(task string) Plan, onEvent func(*Event)) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Rack: rack, plan: plan, onEvent: onEvent,
		changed: make(chan struct{})}
	w.begin(time.Now().UnixMilli())
	return w
}

// begin starts a life.
func (w *Worker) begin(bornMs int64) {
	w.born, w.bornMs = time.Now(), bornMs
	w.fence, w.until, w.lastEnd, w.sequence = 0, 0, 0, 0
	w.runs, w.settled, w.ends = map[runKey]*run{}, map[string]int64{}, nil
	w.down = false
	w.notify()
}

// Crash ends the worker's process: everything that runs there ends.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.stopTimer()
	}
	w.runs = map[runKey]*run{}
	w.down = true
	w.onEvent(&Event{At: time.Now(), Worker: w.ID, What: "crash"})
	w.notify()
}

// Restart starts the worker again, under its id. It says that it was born at the given Unix millisecond.
func (w *Worker) Restart(bornMs int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin(bornMs)
	w.onEvent(&Event{At: time.Now(), Worker: w.ID, What: "born"})
}

// SetCut cuts the worker off from all VMs, or connects it again.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.notify()
}

// Running returns the number of runs of a task whose name begins with prefix.
func (w *Worker) Running(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for key := range w.runs {
		if len(key.task) >= len(prefix) && key.task[:len(prefix)] == prefix {
			count++
		}
	}
	return count
}

// Unacknowledged returns the number of ends that the worker still lists.
func (w *Worker) Unacknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// clock returns the worker's own clock in milliseconds.
func (w *Worker) clock() int64 {
	return time.Since(w.born).Milliseconds()
}

// renew extends the lease up to the given time of the worker's clock, at most by holdMax.
func (w *Worker) renew(until int64) {
	until = min(until, w.clock()+holdMax.Milliseconds())
	if until <= w.until {
		return
	}
	w.until = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Duration(until-w.clock())*time.Millisecond, w.checkLease)
}

// checkLease ends everything if the lease is over.
func (w *Worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.clock() < w.until {
		return
	}
	for _, e := range w.ends {
		e.LeaseLapsed = true
	}
	for key := range w.runs {
		w.end(key, "lapsed")
	}
}

func (r *run) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// end ends a run and lists its end.
func (w *Worker) end(key runKey, how string) {
	r, found := w.runs[key]
	if !found {
		return
	}
	r.stopTimer()
	delete(w.runs, key)
	w.settled[key.task] = max(w.settled[key.task], key.id)
	w.lastEnd++
	e := &Event{At: time.Now(), Worker: w.ID, What: how, Task: key.task, Run: key.id, Number: w.lastEnd}
	w.ends = append(w.ends, e)
	w.onEvent(e)
	w.notify()
}

// start begins a run.
func (w *Worker) start(task string, id int64, spec string) {
	plan := w.plan(task)
	r := &run{task: task, id: id, started: time.Now(), work: plan.Work(task), saves: plan.Saves}
	key := runKey{task, id}
	w.runs[key] = r
	w.onEvent(&Event{At: r.started, Worker: w.ID, What: "start", Task: task, Run: id, Spec: spec})
	if r.work > 0 {
		r.timer = time.AfterFunc(r.work, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[key] == r {
				w.end(key, "done")
			}
		})
	}
}

// acknowledge forgets the ends up to a number.
func (w *Worker) acknowledge(lastSeen int64) {
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.Number > lastSeen {
			kept = append(kept, e)
		} else {
			e.Acknowledged = time.Now()
		}
	}
	w.ends = kept
}

// Life returns the beginning of the worker's life in Unix nanoseconds, and false while the worker is down.
func (w *Worker) Life() (int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born.UnixNano(), !w.down
}
