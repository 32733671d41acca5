// Package worker is a small stand-in for an endpoint that answers requests and runs tasks, for demos and tests.
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

// Payload is the input of stand-in work: how long it takes and whether it fails.
type Payload struct {
	Duration time.Duration `json:",omitempty"`
	Fail     bool          `json:",omitempty"`
	Echo     string        `json:",omitempty"`
}

// JournalEntry is one thing that the worker really ran.
type JournalEntry struct {
	Worker core.Name
	// Request is set for requests, Task for gang members.
	Request string        `json:",omitempty"`
	Task    endpoint.Task `json:",omitzero"`
	Members int           `json:",omitempty"`
	// Accelerators is the number that the task held.
	Accelerators int `json:",omitempty"`
	Began        time.Time
	Ended        time.Time          `json:",omitzero"`
	State        endpoint.TaskState `json:",omitempty"`
}

type task struct {
	report  endpoint.TaskReport
	lease   lease.Lease
	payload Payload
	// remaining is the work left; a checkpoint keeps it.
	remaining    time.Duration
	runningSince time.Time
	changedIn    uint64
	journalIndex int
	timer        *time.Timer
}

// Engine is one worker in memory. It implements the Worker interface of the io module.
type Engine struct {
	mu          sync.Mutex
	self        core.Endpoint
	incarnation uint64
	epoch       endpoint.Epoch
	// version grows with each change of a task; 0 means before all.
	version uint64
	// changed is closed with each change.
	changed chan struct{}
	busy    int
	tasks   map[endpoint.Task]*task
	journal []JournalEntry
	// failing makes everything that starts here fail.
	failing bool
	// checkpoints holds the work left of stopped jobs; shared by all workers like a file store.
	checkpoints *Checkpoints
}

// New returns an idle worker. The incarnation must differ between restarts.
func New(self core.Endpoint, incarnation uint64, checkpoints *Checkpoints) *Engine {
	return &Engine{
		self: self, incarnation: incarnation, version: 1, changed: make(chan struct{}),
		tasks: map[endpoint.Task]*task{}, checkpoints: checkpoints,
	}
}

// SetFailing makes everything that starts here fail, or stops that.
func (e *Engine) SetFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// Crash loses every task at once, as a restart of the worker would.
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

// Journal returns what the worker has run.
func (e *Engine) Journal() []JournalEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]JournalEntry{}, e.journal...)
}

// Run implements Worker.
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

func (e *Engine) freeSlot(entry int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
	e.journal[entry].Ended = time.Now()
	return e.busy
}

// parsePayload reads stand-in work; other bodies are work that takes no time.
func parsePayload(body []byte) Payload {
	var payload Payload
	if bytes.HasPrefix(body, []byte("{")) {
		_ = json.Unmarshal(body, &payload)
	}
	return payload
}
