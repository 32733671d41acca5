package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is the time for which a machine is down for its upkeep (maintenanceS).
const upkeepTime = 2 * time.Second

// machine is a machine of the platform, with its worker.
type machine struct {
	id     string
	front  *front
	worker *worker
	lives  int
}

// cloud is a stand-in for the platform's service of machines.
type cloud struct {
	site     *site
	mu       sync.Mutex
	machines []*machine
	states   map[string]string
	fences   map[string]int64
	done     map[string]bool
	// silentUntil is the time until which no call is answered or carried out.
	silentUntil time.Time
	// onUpkeep is called with each call for an upkeep, answered or not, without the lock.
	onUpkeep func(holder string)
	// onBegin is called when an upkeep begins, before the worker's tasks end, with the lock.
	onBegin func(m *machine)
	work    sync.WaitGroup
}

func (c *cloud) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.silentUntil)
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/machine-upkeep" && c.onUpkeep != nil {
		c.onUpkeep(r.Header.Get("X-Auburnstack-Duty-Holder"))
	}
	if c.silent() {
		c.site.log.Add("cloud: no answer to %s %s of %q", r.Method, r.URL.Path, r.Header.Get("X-Auburnstack-Duty-Holder"))
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/machines":
		c.list(w)
	case "/machine-upkeep":
		c.upkeep(w, r)
	default:
		reply(w, http.StatusBadRequest, struct{}{})
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	rows := []map[string]any{}
	for _, m := range c.machines {
		row := map[string]any{
			"machineId": m.id, "pool": "svc", "state": "up", "zone": m.worker.zone, "labels": []string{"a", m.worker.rack},
			"capacity": map[string]int64{"cpu": 128000, "memMb": 524288, "gpu": m.worker.gpus}, "id": m.worker.id,
		}
		if state := c.states[m.id]; state != "" {
			row["state"], row["id"] = state, ""
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MachineID string `json:"machineId"`
		Wave      int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	var found *machine
	for _, m := range c.machines {
		if m.id == body.MachineID {
			found = m
		}
	}
	fence, _ := strconv.ParseInt(r.Header.Get("X-Auburnstack-Fencing-Token"), 10, 64)
	key := fmt.Sprintf("%d/%s", body.Wave, body.MachineID)
	status, reason := http.StatusOK, ""
	switch {
	case found == nil:
		status = http.StatusBadRequest
	case fence < c.fences[found.id]:
		status, reason = http.StatusConflict, "fence"
	case c.done[key]:
		c.fences[found.id] = fence
	case c.states[found.id] != "":
		status, reason = http.StatusConflict, "busy"
	default:
		c.fences[found.id] = fence
		c.done[key] = true
		c.begin(found)
	}
	c.site.log.Add("cloud: upkeep of %s for wave %d ordered by %s with token %d: %d %s", body.MachineID, body.Wave,
		r.Header.Get("X-Auburnstack-Duty-Holder"), fence, status, reason)
	reply(w, status, map[string]string{"reason": reason})
}

// begin takes a machine down, and brings it back with a new worker. The caller must hold the lock.
func (c *cloud) begin(m *machine) {
	c.states[m.id] = "upkeep"
	if c.onBegin != nil {
		c.onBegin(m)
	}
	old := m.worker
	m.front.set(nil)
	c.work.Go(func() {
		old.Crash()
		c.site.store.Remove("servers/" + old.id)
		time.Sleep(upkeepTime)
		c.mu.Lock()
		defer c.mu.Unlock()
		m.lives++
		next := newWorker(fmt.Sprintf("%s-life-%d", m.id, m.lives), old.zone, old.rack, old.gpus, time.Now(), c.site)
		next.onStart, next.onEnd = old.onStart, old.onEnd
		m.worker = next
		delete(c.states, m.id)
		c.site.addWorker(m.front, old.address, next)
		c.site.log.Add("cloud: %s is back with worker %s", m.id, next.id)
	})
}
