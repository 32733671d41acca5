package worker

import (
	"context"
	"time"

	"auburnstack/core/lease"
	"auburnstack/io/endpoint"
)

// Reserve implements the interface Worker of package io/endpoint.
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
	if e.freeAccelerators() < m.Accelerators || e.holdsOtherAttempt(m.Task) {
		return endpoint.ErrNoCapacity
	}
	t := &task{
		report: endpoint.TaskReport{
			Task: m.Task, State: endpoint.Reserved, Accelerators: m.Accelerators, Members: m.Members, Term: m.Term,
		},
		lease: lease.Grant(time.Now(), m.Lease),
	}
	e.tasks[m.Task] = t
	e.markChanged(t)
	return nil
}

// holdsOtherAttempt reports whether the worker holds another attempt of the same job that has not ended.
func (e *Engine) holdsOtherAttempt(wanted endpoint.Task) bool {
	for key, t := range e.tasks {
		if key.Job == wanted.Job && key != wanted && !t.report.State.Ended() {
			return true
		}
	}
	return false
}

// Start implements the interface Worker of package io/endpoint.
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
	e.markChanged(t)
	return nil
}

// Exchange implements the interface Worker of package io/endpoint.
func (e *Engine) Exchange(ctx context.Context, m endpoint.Exchange) (endpoint.Report, error) {
	changed, err := e.applyExchange(m)
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

// applyExchange carries out the orders of an exchange, a message from the scheduler. It returns a channel that is
// closed at the next change of a task, or nil if the reply must not wait.
func (e *Engine) applyExchange(m endpoint.Exchange) (<-chan struct{}, error) {
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

// renew extends the leases of all running tasks, except tasks that the exchange lists in Withhold. A task that waits
// for the start of its whole gang keeps the lease that its start order granted.
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

// begin runs a started task. The task has waited at the start barrier until its whole gang was confirmed as started.
func (e *Engine) begin(key endpoint.Task) {
	t, held := e.tasks[key]
	if !held || t.report.State != endpoint.Started {
		return
	}
	t.report.State = endpoint.Running
	t.runningSince = time.Now()
	t.journalIndex = len(e.journal)
	e.journal = append(e.journal, JournalEntry{
		Worker: e.self.Name, Task: key, Members: len(t.report.Members),
		Accelerators: t.report.Accelerators, Began: time.Now(), State: endpoint.Running,
	})
	t.timer = time.AfterFunc(t.remaining, func() { e.finish(t) })
	e.markChanged(t)
}

// finish ends a task as finished or failed when its work is over.
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

// Stop implements the interface Worker of package io/endpoint.
func (e *Engine) Stop(_ context.Context, m endpoint.Stop) (endpoint.TaskReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(m.Epoch); err != nil {
		return endpoint.TaskReport{}, err
	}
	t, held := e.tasks[m.Task]
	if !held {
		// The record of the stop makes the worker refuse a reservation that arrives later.
		t = &task{report: endpoint.TaskReport{Task: m.Task, State: endpoint.Stopped}}
		e.tasks[m.Task] = t
		e.markChanged(t)
		return t.report, nil
	}
	if !t.report.State.Ended() {
		e.interrupt(t, m.Checkpoint)
	}
	return t.report, nil
}

// interrupt ends a task as stopped. If checkpoint is set, it first saves the remaining work of a running task.
func (e *Engine) interrupt(t *task, checkpoint bool) {
	if t.report.State == endpoint.Running {
		t.timer.Stop()
		if checkpoint {
			e.checkpoints.save(t.report.Job, t.remaining-time.Since(t.runningSince))
		}
	}
	e.end(t, endpoint.Stopped)
}

// end sets the final state of a task and completes its journal entry.
func (e *Engine) end(t *task, state endpoint.TaskState) {
	if t.report.State == endpoint.Running {
		e.journal[t.journalIndex].Ended = time.Now()
		e.journal[t.journalIndex].State = state
	}
	t.report.State = state
	e.markChanged(t)
}

// admit ends the tasks with expired leases and rejects a message whose epoch, the fencing token of the scheduler, is
// lower than the epoch of an earlier message.
func (e *Engine) admit(epoch endpoint.Epoch) error {
	e.expireLeases()
	if epoch < e.epoch {
		return endpoint.ErrStaleEpoch
	}
	e.epoch = epoch
	return nil
}

// ExpireLeases ends the tasks whose lease has expired and saves a checkpoint of the tasks that were running. A server
// calls it periodically.
func (e *Engine) ExpireLeases() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeases()
}

func (e *Engine) expireLeases() {
	now := time.Now()
	for _, t := range e.tasks {
		if !t.report.State.Ended() && !t.lease.Valid(now) {
			e.interrupt(t, true)
		}
	}
}

// freeAccelerators returns the number of accelerators that no task holds.
func (e *Engine) freeAccelerators() int {
	free := e.self.Accelerators
	for _, t := range e.tasks {
		if !t.report.State.Ended() {
			free -= t.report.Accelerators
		}
	}
	return free
}

// markChanged records a change of a task and wakes up the calls of Exchange that wait for a change.
func (e *Engine) markChanged(t *task) {
	e.version++
	t.changedVersion = e.version
	close(e.changed)
	e.changed = make(chan struct{})
}

// report returns the state of the worker and of the tasks that changed after since, the version of an earlier report.
func (e *Engine) report(since uint64) endpoint.Report {
	report := endpoint.Report{Version: e.version, Incarnation: e.incarnation, Busy: e.busy}
	for _, t := range e.tasks {
		if t.changedVersion > since {
			report.Tasks = append(report.Tasks, t.report)
		}
	}
	return report
}
