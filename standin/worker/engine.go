// Package worker simulates an endpoint that answers requests and runs tasks, for demos and tests.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	core "auburnstack/core/endpoint"
	"auburnstack/core/lease"
	"auburnstack/io/endpoint"
)

// Payload describes simulated work: how long it takes and whether it fails.
type Payload struct {
	Duration time.Duration `json:",omitempty"`
	Fail     bool          `json:",omitempty"`
	Echo     string        `json:",omitempty"`
}

// JournalEntry records one request or task that the worker ran.
type JournalEntry struct {
	Worker core.Name
	// Request is the ID of a request. It is empty for a member of a gang, for which the field Task is set.
	Request string        `json:",omitempty"`
	Task    endpoint.Task `json:",omitzero"`
	Members int           `json:",omitempty"`
	// Accelerators is the number of accelerators that the task held.
	Accelerators int `json:",omitempty"`
	Began        time.Time
	Ended        time.Time          `json:",omitzero"`
	State        endpoint.TaskState `json:",omitempty"`
}

// task is a task that the worker holds. The worker also holds ended tasks until their end is acknowledged.
type task struct {
	report  endpoint.TaskReport
	lease   lease.Lease
	payload Payload
	// remaining is the duration of the work that remains when the task starts, according to the checkpoint of its job.
	remaining time.Duration
	// runningSince is the time at which the task began to run, after its whole gang was confirmed as started.
	runningSince time.Time
	// changedVersion is the value of Engine.version at the last change of the task.
	changedVersion uint64
	// journalIndex is the index of the task's entry in Engine.journal.
	journalIndex int
	timer        *time.Timer
}

// Engine is one simulated worker in memory. It implements the interface Worker of package io/endpoint.
type Engine struct {
	mu          sync.Mutex
	self        core.Endpoint
	incarnation uint64
	epoch       endpoint.Epoch
	// version grows with each change of a task, and each report carries it. The version 0 is lower than the version of
	// any change.
	version uint64
	// changed is a channel that is closed and replaced by a new one at each change of a task.
	changed chan struct{}
	// busy is the number of request slots in use.
	busy    int
	tasks   map[endpoint.Task]*task
	journal []JournalEntry
	// failing makes all requests that start on this worker and all tasks that finish on this worker fail.
	failing bool
	// checkpoints holds the remaining work of stopped jobs. All workers share it.
	checkpoints *Checkpoints
}

// New returns an idle worker. The parameter incarnation is a number that must change with each restart of the worker.
func New(self core.Endpoint, incarnation uint64, checkpoints *Checkpoints) *Engine {
	return &Engine{
		self: self, incarnation: incarnation, version: 1, changed: make(chan struct{}),
		tasks: map[endpoint.Task]*task{}, checkpoints: checkpoints,
	}
}

// SetFailing sets whether all requests that start on this worker and all tasks that finish on this worker fail.
func (e *Engine) SetFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// Crash discards all tasks without saving checkpoints, as a restart of the worker would.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.tasks {
		if !t.report.State.Ended() {
			e.interrupt(t, false)
		}
	}
	e.tasks = map[endpoint.Task]*task{}
	e.incarnation++
	e.version = 1
}

// Journal returns the requests and tasks that the worker has run.
func (e *Engine) Journal() []JournalEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]JournalEntry{}, e.journal...)
}

// Run implements the interface Worker of package io/endpoint.
func (e *Engine) Run(ctx context.Context, run endpoint.Run) (endpoint.RunReply, error) {
	entry, failing, ok := e.takeSlot(run)
	if !ok {
		return endpoint.RunReply{}, endpoint.ErrRefused
	}
	payload := parsePayload(run.Body)
	select {
	case <-time.After(payload.Duration):
	case <-ctx.Done():
	}
	busy := e.freeSlot(entry)
	if failing || payload.Fail {
		return endpoint.RunReply{}, endpoint.ErrFailed
	}
	return endpoint.RunReply{Body: append([]byte("answer to "), run.Body...), Busy: busy}, nil
}

// takeSlot occupies a request slot and adds the request to the journal. It returns the index of the entry and whether
// the worker fails its work; ok is false if no slot is free.
func (e *Engine) takeSlot(run endpoint.Run) (entry int, failing, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy >= e.self.Slots {
		return 0, false, false
	}
	e.busy++
	e.journal = append(e.journal, JournalEntry{Worker: e.self.Name, Request: string(run.Request), Began: time.Now()})
	return len(e.journal) - 1, e.failing, true
}

// freeSlot releases a request slot, records the end of the request and returns the number of slots in use.
func (e *Engine) freeSlot(entry int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
	e.journal[entry].Ended = time.Now()
	return e.busy
}

// parsePayload decodes the description of simulated work. A body that is not a JSON object describes work that takes no
// time.
func parsePayload(body []byte) Payload {
	var payload Payload
	if bytes.HasPrefix(body, []byte("{")) {
		_ = json.Unmarshal(body, &payload)
	}
	return payload
}
