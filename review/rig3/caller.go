package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// step is a step of a job, as callers submit it.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemMb         int64  `json:"memMb,omitempty"`
	GPU           int64  `json:"gpu,omitempty"`
	EstimateMs    int64  `json:"estimateMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	MissAllowance *int   `json:"missAllowance,omitempty"`
}

// job is a job as callers submit it.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// newJob returns a job with one step, whose spec tells the workers what its tasks do.
func newJob(does behavior, s step) job {
	spec, _ := json.Marshal(does)
	s.CPU, s.MemMb, s.GPU = does.Needs.CPU, does.Needs.MemMb, does.Needs.GPU
	return job{Spec: string(spec), Steps: []step{s}}
}

// reply is the answer to a call; Status is 0 if there was none.
type reply struct {
	Status int
	State  string `json:"state"`
	text   string
}

// call sends one call of a client to a VM, and records it.
func (s *site) call(v *vmProcess, method, path, key string, message any) reply {
	answer := s.quietCall(v, method, path, key, message)
	if answer.Status == 0 {
		s.record.Add("%s %s at %s: no answer", method, path, v.name)
		return answer
	}
	s.record.Add("%s %s at %s: %d %s", method, path, v.name, answer.Status, answer.text)
	return answer
}

// quietCall sends one call of a client to a VM.
func (s *site) quietCall(v *vmProcess, method, path, key string, message any) reply {
	var body io.Reader
	if message != nil {
		encoded, _ := json.Marshal(message)
		body = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.front+path, body)
	if err != nil {
		return reply{}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Auburnstack-Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	answer := reply{}
	_ = json.Unmarshal(content, &answer)
	answer.Status, answer.text = response.StatusCode, string(bytes.TrimSpace(content))
	return answer
}

// submit hands a job in until it is accepted, at one VM after the other.
func (s *site) submit(path, key string, j job) error {
	end := time.Now().Add(15 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		if s.call(s.vms[i%len(s.vms)], http.MethodPost, path, key, j).Status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%s is not accepted", path)
}

// runsOf returns the number of runs of a job's tasks on all workers.
func (f *fleet) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		for task := range w.runs {
			if jobOf(task) == id {
				count++
			}
		}
	}
	return count
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	return task[:16]
}

// room returns for how many tasks the workers of a service have capacity now, and the largest share of the service's
// capacity of a resource that is in use.
func (f *fleet) room(service, kind string, n needs) (tasks int64, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total, used needs
	for _, w := range f.workers {
		if w.service != service || !w.up {
			continue
		}
		u := w.used()
		total.CPU, total.MemMb, total.GPU = total.CPU+w.capacity.CPU, total.MemMb+w.capacity.MemMb, total.GPU+w.capacity.GPU
		used.CPU, used.MemMb, used.GPU = used.CPU+u.CPU, used.MemMb+u.MemMb, used.GPU+u.GPU
		if kind != "" && w.kind != kind {
			continue
		}
		fits := min(quotient(w.capacity.CPU-u.CPU, n.CPU), quotient(w.capacity.MemMb-u.MemMb, n.MemMb), quotient(w.capacity.GPU-u.GPU, n.GPU))
		tasks += max(fits, 0)
	}
	return tasks, max(ratio(used.CPU, total.CPU), ratio(used.MemMb, total.MemMb), ratio(used.GPU, total.GPU))
}

// quotient returns how often a need fits; a need of 0 fits any number of times.
func quotient(free, need int64) int64 {
	if need == 0 {
		return 1 << 20
	}
	return free / need
}

func ratio(used, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(used) / float64(total)
}
