package site

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/standin/memstore"
	"auburnstack/standin/memworker"
)

// completionTimeout is the time within which all accepted jobs must finish after the last fault. It covers the lease on
// a worker that does not answer (10.35 s), the takeover by another leader, and the work of the tasks.
const completionTimeout = 40 * time.Second

// TestFaultMatrix injects the faults of each row of testdata/faults.txt into a site that runs gangs and independent
// tasks. It guards against lost jobs, tasks that run twice at a time or again after they have finished, workers that are
// assigned more than their capacity, tasks that crash one worker after another, and tasks that start late after their
// worker has left. All accepted jobs without such tasks must finish after the last fault.
func TestFaultMatrix(t *testing.T) {
	file, err := os.Open("testdata/faults.txt")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, faults, _ := strings.Cut(line, ":")
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				passOverKnownRed(t, name)
				synctest.Test(t, func(t *testing.T) { runFaults(t, strings.TrimSpace(faults), seed) })
			})
		}
	}
	qt.Assert(t, lines.Err(), qt.IsNil)
}

// knownRedEnv is the environment variable that makes the tests listed in KNOWN-RED.txt run.
const knownRedEnv = "RUN_KNOWN_RED"

// passOverKnownRed skips a row that KNOWN-RED.txt lists as TestFaultMatrix/NAME, unless knownRedEnv is set.
func passOverKnownRed(t *testing.T, name string) {
	list, err := os.ReadFile("../../KNOWN-RED.txt")
	qt.Assert(t, err, qt.IsNil)
	if slices.Contains(strings.Fields(string(list)), "TestFaultMatrix/"+name) && os.Getenv(knownRedEnv) == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
}

// runFaults submits jobs while it injects the faults of one row, and then checks the results.
func runFaults(t *testing.T, faults string, seed uint64) {
	f := newFleet(t, seed, 4, 8)
	defer f.close()
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, fault := range strings.Split(faults, ";") {
			f.inject(strings.Fields(fault))
		}
	}()
	var urgent, batch []graph.ID
	for range 6 {
		urgent = append(urgent, f.submit(urgentQueue, oneStep(3, true, 4),
			memworker.Plan{Work: 2 * time.Second, Gang: 3}))
		batch = append(batch, f.submit(batchQueue, oneStep(5, false, 1), memworker.Plan{Work: 3 * time.Second}))
		time.Sleep(time.Second)
	}
	<-done
	qt.Check(t, f.awaitAll(urgentQueue, urgent, graph.Complete, completionTimeout), qt.HasLen, 0)
	qt.Check(t, f.awaitAll(batchQueue, batch, graph.Complete, completionTimeout), qt.HasLen, 0)
	for _, id := range urgent {
		qt.Check(t, f.workers.Done(graph.TaskID{Job: id}), qt.IsTrue)
	}
	for _, id := range batch {
		for i := range 5 {
			qt.Check(t, f.workers.Done(graph.TaskID{Job: id, Index: i}), qt.IsTrue)
		}
	}
	f.checkTroubled()
	f.checkNoViolations()
}

// inject carries out one fault, which words names together with its arguments. The name "wait" only makes a pause.
func (f *fleet) inject(words []string) {
	switch words[0] {
	case "wait":
		time.Sleep(f.seconds(words[1]))
	case "kill-leader":
		v := f.awaitLeader()
		f.disrupt(v.name, func() {
			v.kill()
			time.Sleep(f.seconds(words[1]))
			v.restart()
		})
	case "kill-all":
		f.disrupt("", func() {
			for _, v := range f.vms {
				v.kill()
			}
			time.Sleep(f.seconds(words[1]))
			for _, v := range f.vms {
				v.restart()
			}
		})
	case "stop-leader":
		v := f.awaitLeader()
		f.disrupt(v.name, func() {
			v.node.Close()
			v.start()
		})
	case "cut-leader":
		v := f.awaitLeader()
		f.disrupt(v.name, func() {
			v.isolate(true)
			time.Sleep(f.seconds(words[1]))
			v.isolate(false)
		})
	case "refuse-leader":
		v := f.awaitLeader()
		f.disrupt(v.name, func() {
			v.client.SetFaults(memstore.Faults{Refuse: true})
			time.Sleep(f.seconds(words[1]))
			v.client.SetFaults(memstore.Faults{})
		})
	default:
		if !f.injectStore(words) && !f.injectCapacity(words) && !f.injectTrouble(words) {
			f.injectWorkers(words)
		}
	}
}

// injectStore carries out those faults that concern the store. It returns false if the fault is of another kind.
func (f *fleet) injectStore(words []string) bool {
	switch words[0] {
	case "store-down":
		f.disruptStore(memstore.Faults{Down: true}, f.seconds(words[1]))
	case "store-slow":
		f.disruptStore(memstore.Faults{Slow: 240 * time.Millisecond}, f.seconds(words[1]))
	case "slow-link":
		f.store.SetFaults(memstore.Faults{PerItem: 60 * time.Millisecond})
	case "replies-lost":
		f.disruptStore(memstore.Faults{LoseReplies: 0.4}, f.seconds(words[1]))
	case "writes-late":
		f.disruptStore(memstore.Faults{LateWrites: 0.3}, f.seconds(words[1]))
	case "compact":
		f.disrupt("", func() {
			f.store.SetWatchesStalled(true)
			time.Sleep(time.Second)
			f.store.Compact()
			f.store.SetWatchesStalled(false)
		})
	default:
		return false
	}
	return true
}

// injectWorkers carries out those faults that concern workers.
func (f *fleet) injectWorkers(words []string) {
	switch words[0] {
	case "cut-workers":
		for _, name := range f.workerNames[:3] {
			f.workers.SetPartitioned(name, true)
		}
		time.Sleep(f.seconds(words[1]))
		for _, name := range f.workerNames[:3] {
			f.workers.SetPartitioned(name, false)
		}
	case "reborn-workers":
		for _, name := range f.workerNames[:2] {
			f.workers.Restart(name)
			f.register(name)
		}
	case "reborn-behind-cut":
		for _, name := range f.workerNames[:2] {
			f.workers.SetPartitioned(name, true)
			f.workers.Restart(name)
		}
		time.Sleep(f.seconds(words[1]))
		for _, name := range f.workerNames[:2] {
			f.workers.SetPartitioned(name, false)
			f.register(name)
		}
	case "reborn-as":
		f.restartAs(words[1])
	case "crash-worker":
		f.workers.Crash(f.workerNames[0])
		f.store.Remove("servers/" + string(f.workerNames[0]))
	case "hang-worker":
		f.workers.Hang(f.workerNames[1])
	case "fail-worker":
		f.workers.FailAll(f.workerNames[2])
	case "orders-late":
		f.workers.SetLateShare(0.2)
		time.Sleep(f.seconds(words[1]))
		f.workers.SetLateShare(0)
	default:
		f.t.Errorf("unknown fault %q", words[0])
	}
}

// seconds parses the given word as a number of seconds and returns it as a duration.
func (f *fleet) seconds(word string) time.Duration {
	n, err := strconv.ParseFloat(word, 64)
	qt.Check(f.t, err, qt.IsNil)
	return time.Duration(n * float64(time.Second))
}

func (f *fleet) number(word string) int {
	n, err := strconv.Atoi(word)
	qt.Check(f.t, err, qt.IsNil)
	return n
}

// awaitLeader waits until one of the VMs leads, and returns that VM.
func (f *fleet) awaitLeader() *testVM {
	for {
		if v := f.leader(); v != nil {
			return v
		}
		time.Sleep(50 * time.Millisecond)
	}
}
