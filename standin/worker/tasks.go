package worker

import (
	"context"
	"time"

	"auburnstack/core/lease"
	"auburnstack/io/endpoint"
)

// Reserve implements Worker.
func (e *Engine) Reserve(_ context.Context, m endpoint.Reserve) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(m.Epoch); err != nil {
		return err
	}
	if known, held := e.tasks[m.Task]; held {
		if known.report.State != endpoint.Reserved {
			return endpoint.ErrNoCapacity
		}
		known.lease = lease.Grant(time.Now(), m.Lease)
		return nil
	}
	if e.freeAccelerators() < m.Accelerators || e.holdsOther(m.Task) {
		return endpoint.ErrNoCapacity
	}
	t := &task{
		report: endpoint.TaskReport{
			Task: m.Task, State: endpoint.Reserved, Accelerators: m.Accelerators, Members: m.Members, Term: m.Term,
		},
		lease: lease.Grant(time.Now(), m.Lease),
	}
	e.tasks[m.Task] = t
	e.touch(t)
	return nil
}

// holdsOther tells whether another attempt of the same job has not ended here.
func (e *Engine) holdsOther(wanted endpoint.Task) bool {
	for key, t := range e.tasks {
		if key.Job == wanted.Job && key != wanted && !t.report.State.Ended() {
			return true
		}
	}
	return false
}

// Start implements Worker.
func (e *Engine) Start(_ context.Context, m endpoint.Start) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(m.Epoch); err != nil {
		return err
	}
	t, held := e.tasks[m.Task]
	if !held || t.report.State.Ended() {
		return endpoint.ErrNoTask
	}
	t.lease = lease.Grant(time.Now(), m.Lease)
	if t.report.State != endpoint.Reserved {
		return nil
	}
	t.payload = parsePayload(m.Payload)
	t.remaining = e.checkpoints.remaining(m.Task.Job, t.payload.Duration)
	t.report.State = endpoint.Started
	e.touch(t)
	return nil
}

// Exchange implements Worker.
func (e *Engine) Exchange(ctx context.Context, m endpoint.Exchange) (endpoint.Report, error) {
	changed, err := e.take(m)
	if err != nil {
		return endpoint.Report{}, err
	}
	if changed != nil {
		select {
		case <-changed:
		case <-time.After(m.Wait):
		case <-ctx.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report(m.Since), nil
}

// take carries out an exchange and returns what to wait on, or nothing when there is news or no time to wait.
func (e *Engine) take(m endpoint.Exchange) (<-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(m.Epoch); err != nil {
		return nil, err
	}
	e.renew(m)
	for _, key := range m.Confirm {
		e.begin(key)
	}
	for _, key := range m.Acknowledge {
		if t, held := e.tasks[key]; held && t.report.State.Ended() {
			delete(e.tasks, key)
		}
	}
	if m.Wait == 0 || e.version != m.Since {
		return nil, nil
	}
	return e.changed, nil
}

// renew lengthens the leases of running tasks that are not withheld. Tasks at the barrier keep their start lease.
func (e *Engine) renew(m endpoint.Exchange) {
	if m.Lease == 0 {
		return
	}
	withheld := map[endpoint.Task]bool{}
	for _, key := range m.Withhold {
		withheld[key] = true
	}
	for key, t := range e.tasks {
		if t.report.State == endpoint.Running && !withheld[key] {
			t.lease = lease.Grant(time.Now(), m.Lease)
		}
	}
}

// begin passes a started task through the barrier.
func (e *Engine) begin(key endpoint.Task) {
	t, held := e.tasks[key]
	if !held || t.report.State != endpoint.Started {
		return
	}
	t.report.State = endpoint.Running
	t.resumed = time.Now()
	t.entry = len(e.journal)
	e.journal = append(e.journal, JournalEntry{
		Worker: e.self.Name, Task: key, Members: len(t.report.Members),
		Accelerators: t.report.Accelerators, Began: time.Now(), State: endpoint.Running,
	})
	t.timer = time.AfterFunc(t.remaining, func() { e.finish(t) })
	e.touch(t)
}

func (e *Engine) finish(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.report.State != endpoint.Running {
		return
	}
	state := endpoint.Finished
	if e.failing || t.payload.Fail {
		state = endpoint.Failed
	}
	t.report.Result = []byte("result of " + string(t.report.Job))
	e.end(t, state)
}

// Stop implements Worker.
func (e *Engine) Stop(_ context.Context, m endpoint.Stop) (endpoint.TaskReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(m.Epoch); err != nil {
		return endpoint.TaskReport{}, err
	}
	t, held := e.tasks[m.Task]
	if !held {
		// The stop is remembered, so that a reservation that arrives later is refused.
		t = &task{report: endpoint.TaskReport{Task: m.Task, State: endpoint.Stopped}}
		e.tasks[m.Task] = t
		e.touch(t)
		return t.report, nil
	}
	if !t.report.State.Ended() {
		e.interrupt(t, m.Checkpoint)
	}
	return t.report, nil
}

func (e *Engine) interrupt(t *task, checkpoint bool) {
	if t.report.State == endpoint.Running {
		t.timer.Stop()
		if checkpoint {
			e.checkpoints.keep(t.report.Job, t.remaining-time.Since(t.resumed))
		}
	}
	e.end(t, endpoint.Stopped)
}

func (e *Engine) end(t *task, state endpoint.TaskState) {
	if t.report.State == endpoint.Running {
		e.journal[t.entry].Ended = time.Now()
		e.journal[t.entry].State = state
	}
	t.report.State = state
	e.touch(t)
}

// admit refuses lower epochs and ends tasks whose lease has lapsed.
func (e *Engine) admit(epoch endpoint.Epoch) error {
	e.lapse()
	if epoch < e.epoch {
		return endpoint.ErrStaleEpoch
	}
	e.epoch = epoch
	return nil
}

// Lapse ends tasks whose lease has lapsed. A server calls it regularly.
func (e *Engine) Lapse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
}

func (e *Engine) lapse() {
	now := time.Now()
	for _, t := range e.tasks {
		if !t.report.State.Ended() && !t.lease.Valid(now) {
			e.interrupt(t, true)
		}
	}
}

func (e *Engine) freeAccelerators() int {
	free := e.self.Accelerators
	for _, t := range e.tasks {
		if !t.report.State.Ended() {
			free -= t.report.Accelerators
		}
	}
	return free
}

func (e *Engine) touch(t *task) {
	e.version++
	t.changed = e.version
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Engine) report(since uint64) endpoint.Report {
	report := endpoint.Report{Version: e.version, Incarnation: e.incarnation, Busy: e.busy}
	for _, t := range e.tasks {
		if t.changed > since {
			report.Tasks = append(report.Tasks, t.report)
		}
	}
	return report
}
