package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is the memory of a VM in bytes, by the settings.
	memoryLimit = 284 << 20
	// memoryInterval is the time between two looks at the memory of the processes.
	memoryInterval = 10 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = time.Second
	// floodSpec is the length of the specs of a flood. Specs have up to 4,000 bytes.
	floodSpec = 3900
	// statusField is the field of a process's status with its resident memory, in kB.
	statusField = "VmRSS:"
)

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == statusField {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// memoryGuard does what the platform does: it kills a process that exceeds the memory of its VM, and starts it again.
type memoryGuard struct {
	site *site
	// peak is the largest memory of a process, kills the number of processes that were killed.
	peak   atomic.Int64
	kills  atomic.Int64
	stop   chan struct{}
	guards sync.WaitGroup
}

// guardMemory starts to watch all VMs.
func (s *site) guardMemory() *memoryGuard {
	g := &memoryGuard{site: s, stop: make(chan struct{})}
	for _, v := range s.vms {
		g.guards.Go(func() { g.watch(v) })
	}
	return g
}

func (g *memoryGuard) watch(v *vmProcess) {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(memoryInterval):
		}
		g.look(v)
	}
}

// look looks at the memory of a VM once.
func (g *memoryGuard) look(v *vmProcess) {
	v.mu.Lock()
	defer v.mu.Unlock()
	bytes := residentBytes(v.command.Process.Pid)
	if bytes > g.peak.Load() {
		g.peak.Store(bytes)
	}
	if bytes <= memoryLimit {
		return
	}
	g.kills.Add(1)
	g.site.record.Add("%s takes %d MiB of its %d MiB: the platform kills it", v.name, bytes>>20, memoryLimit>>20)
	g.site.restart(v, restartDelay)
}

// Close ends the watch and waits for its goroutines.
func (g *memoryGuard) Close() {
	close(g.stop)
	g.guards.Wait()
}

// restart kills the process of a VM and starts it again after a while. The caller holds the lock of the VM.
func (s *site) restart(v *vmProcess, delay time.Duration) {
	_ = v.command.Process.Signal(syscall.SIGKILL)
	<-v.ended
	time.Sleep(delay)
	if err := s.startVM(v); err != nil {
		s.record.Add("%s does not start: %s", v.name, err)
	}
}

// killInTurn kills the processes of the VMs one after the other.
func (s *site) killInTurn() {
	for _, v := range s.vms {
		s.kill(v)
		time.Sleep(visible)
	}
}

// kill kills the process of a VM, and starts it again after a while.
func (s *site) kill(v *vmProcess) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.record.Add("%s is killed", v.name)
	s.restart(v, restartDelay)
}

// playFlood lets clients hand in many jobs of legal size, whose specs take six times their length in JSON. If no process
// has exceeded its memory by then, it kills the processes of the VMs in turn, so that another VM leads. Without the
// disruption, the same clients hand in a few jobs.
func playFlood(s *site, trouble bool) (bool, error) {
	const (
		clients   = 12
		floodTime = 60 * time.Second
		fewJobs   = 100
		watchTime = 20 * time.Second
	)
	if err := s.begin(10); err != nil {
		return false, err
	}
	guard := s.guardMemory()
	defer guard.Close()
	short := newJob(behavior{WorkMs: 500, Needs: smallTask}, step{Count: 1, EstimateMs: 500})
	large := short
	large.Spec = large.Spec[:len(large.Spec)-1] + `,"Text":"` + strings.Repeat("<", floodSpec-len(large.Spec)) + `"}`
	var accepted, refused, number atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(floodTime)
	for c := range clients {
		group.Go(func() {
			for time.Now().Before(end) && (trouble || number.Load() < fewJobs) {
				path := purityPrefix + jobID(int(number.Add(1)))
				if s.quietCall(s.vms[c%vmCount], http.MethodPost, path, apiKey, large).Status == http.StatusOK {
					accepted.Add(1)
					continue
				}
				refused.Add(1)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	s.record.Add("%d jobs of the clients were accepted, %d refused; largest memory until now: %d MiB", accepted.Load(),
		refused.Load(), guard.peak.Load()>>20)
	traffic := time.Now()
	if guard.kills.Load() == 0 {
		s.killInTurn()
	}
	time.Sleep(finishAfter - time.Since(traffic))
	ordinary := jobID(0)
	if err := s.submit(firePrefix+ordinary, otherKey, short); err != nil {
		return false, err
	}
	l := &lossWatch{site: s, id: ordinary, service: serviceName, needs: smallTask}
	await(watchTime, func() bool {
		l.look()
		return s.fleet.doneOf(ordinary)
	})
	answer := s.call(s.vms[0], http.MethodGet, firePrefix+ordinary, otherKey, nil)
	s.record.Add("processes killed for their memory: %d, largest memory: %d MiB", guard.kills.Load(), guard.peak.Load()>>20)
	s.record.Add("the ordinary job: longest time with nothing running and room: %.2f s, %d starts, shown as %q",
		l.longest.Seconds(), s.fleet.startsOf(ordinary), answer.State)
	return l.longest >= lossWindow, nil
}
