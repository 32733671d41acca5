package taskworker

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// holdMax is the longest lease.
	holdMax = 10 * time.Second
	// stopTime is the time that a stop takes.
	stopTime = 100 * time.Millisecond
	// maxEnds is the number of ends in one answer to a hold.
	maxEnds = 500
	// capacity of each worker.
	cpu, memMb, gpu = 128000, 524288, 8
)

// order is the body of a call to the worker.
type order struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// Entry returns the value under which the worker registers itself, and false while it can't.
func (w *Worker) Entry() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, false
	}
	w.sequence++
	value, err := json.Marshal(map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": cpu, "memMb": memMb, "gpu": gpu},
		"labels": []string{"a", w.Rack}, "clockMs": w.clock(), "sequence": w.sequence, "born": w.bornMs,
	})
	return value, err == nil
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Auburnstack-Expect-Instance"); expected != "" && expected != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	life := w.born
	w.mu.Unlock()
	w.await(r, life, func() bool { return true })
	status, message := w.carryOut(r, life, &o)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(message)
}

// await waits while the worker is cut off, and then until ready returns true, which it calls with the lock held. It
// closes the connection if the caller has gone or this life of the worker has ended.
func (w *Worker) await(r *http.Request, life time.Time, ready func() bool) {
	for {
		w.mu.Lock()
		gone, pass, changed := w.down || w.born != life, !w.cut && ready(), w.changed
		w.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		if pass {
			return
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (w *Worker) carryOut(r *http.Request, life time.Time, o *order) (int, map[string]any) {
	w.mu.Lock()
	if o.FencingToken < w.fence {
		defer w.mu.Unlock()
		return w.conflict("fence")
	}
	w.fence = o.FencingToken
	switch r.URL.Path {
	case "/run-start":
		defer w.mu.Unlock()
		return w.startRun(o)
	case "/run-stop":
		defer w.mu.Unlock()
		return w.stopRun(o)
	case "/pace":
		defer w.mu.Unlock()
		return http.StatusOK, map[string]any{"clockMs": w.clock()}
	case "/hold":
		w.acknowledge(o.LastSeen)
		w.renew(o.UntilMs)
		w.mu.Unlock()
		deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
		w.await(r, life, func() bool { return len(w.ends) > 0 || !time.Now().Before(deadline) })
		return http.StatusOK, w.report()
	default:
		defer w.mu.Unlock()
		return http.StatusNotFound, nil
	}
}

func (w *Worker) conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason}
}

func (w *Worker) startRun(o *order) (int, map[string]any) {
	if o.UntilMs <= w.clock() {
		return w.conflict("late")
	}
	w.renew(o.UntilMs)
	if o.RunID <= w.settled[o.Task] {
		return w.conflict("old")
	}
	if _, there := w.runs[runKey{o.Task, o.RunID}]; !there {
		w.start(o.Task, o.RunID, o.Spec)
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

func (w *Worker) stopRun(o *order) (int, map[string]any) {
	key := runKey{o.Task, o.RunID}
	if r, there := w.runs[key]; there {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[key] == r {
				w.end(key, "stopped")
			}
		})
	} else {
		w.settled[o.Task] = max(w.settled[o.Task], o.RunID)
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock()}
}

// report returns the answer to a hold.
func (w *Worker) report() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	active, ended := [][]any{}, [][]any{}
	for key, r := range w.runs {
		active = append(active, []any{key.task, key.id, r.checkpoint(), r.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{e.Number, e.Task, e.Run, e.What, ""})
	}
	return map[string]any{"clockMs": w.clock(), "born": w.bornMs, "active": active, "endedRuns": ended}
}
