package planner

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

var update = flag.Bool("update", false, "write the output of the sessions to the .golden files")

// TestSessions runs each testdata/*.session script and compares every decision with the .golden file of the same name,
// byte for byte.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			got := runSession(t, string(text))
			golden := strings.TrimSuffix(file, ".session") + ".golden"
			if *update {
				qt.Assert(t, os.WriteFile(golden, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}

// testSettings returns the settings that all tests of the planner use.
func testSettings() Settings {
	return Settings{
		LeaseLimit: 10 * time.Second, RegistrationInterval: 1500 * time.Millisecond, StopTime: 400 * time.Millisecond, RemoteFactor: 3,
		EarlyStart: 250 * time.Millisecond, RetainFinal: time.Minute,
	}
}

// testPolicy returns a policy with an urgent, a long, a batch and an advised queue, and two accounts with a guarantee.
func testPolicy() *policy.Policy {
	return &policy.Policy{
		Version: 1,
		Queues: []policy.Queue{
			{Name: "urgent", Service: "assay", MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
			{Name: "long", Service: "assay", Priority: 1, MaxAttempts: 2, Stretch: 3, Target: time.Second},
			{Name: "batch", Service: "assay", Priority: 2, MaxAttempts: 2, Stretch: 3, Target: 3 * time.Second},
			{
				Name: "advised", Service: "assay", Priority: 2, MaxAttempts: 2, Stretch: 3, Target: 3 * time.Second,
				Advice: &policy.Advice{Decision: 100 * time.Millisecond, Period: 10 * time.Millisecond, Validity: 3 * time.Second},
			},
		},
		Accounts: []policy.Account{{Name: "gold", Guaranteed: 16}, {Name: "silver", Guaranteed: 8}},
	}
}

// scriptRunner runs the commands of a session script, one per line, and writes each command with the decisions that
// follow it to out.
type scriptRunner struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	out     strings.Builder
	workers map[string]*roster.Worker
	policy  *policy.Policy
	// learns is set if speeds are learned.
	learns bool
	// running holds, for each worker, the start order of each task that runs there.
	running map[endpoint.Name]map[graph.TaskID]Start
	// percent and reading hold, for each task, the values of RunningTask.Percent and RunningTask.Reading that its
	// worker reports.
	percent map[graph.TaskID]int
	reading map[graph.TaskID]float64
	// question is the planner's last question to the adviser.
	question Consult
	// rejectTicket makes the worker reject the ticket of the next start order.
	rejectTicket bool
	stored       map[graph.ID]storedParts
	jobs         map[graph.ID]*graph.Job
	// formerQueues holds the settings of removed queues that were stored last.
	formerQueues []FormerQueue
	// storeDown is set while no change can be stored.
	storeDown bool
}

func runSession(t *testing.T, text string) string {
	p := &scriptRunner{
		t: t, now: time.Unix(1000, 0), workers: map[string]*roster.Worker{}, policy: testPolicy(),
		running: map[endpoint.Name]map[graph.TaskID]Start{}, percent: map[graph.TaskID]int{}, reading: map[graph.TaskID]float64{},
		stored: map[graph.ID]storedParts{}, jobs: map[graph.ID]*graph.Job{},
	}
	p.planner = New(testSettings(), p.policy)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fmt.Fprintln(&p.out, "> "+line)
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
			p.runCommand(words)
			p.decide()
		}
	}
	return p.out.String()
}

// runCommand runs one command.
func (p *scriptRunner) runCommand(words []string) {
	switch words[0] {
	case "worker":
		p.addWorker(words[1], words[2], words[3], words[4:])
	case "drain":
		p.workers[words[1]].State = roster.Draining
		if len(words) > 2 {
			p.workers[words[1]].Remaining = p.duration(words[2])
		}
		p.setWorkers()
	case "reborn":
		p.reborn(words[1], words[2:])
	case "out":
		next := *p.policy
		next.Out = []domain.Name{domain.Name(words[1])}
		p.planner.SetPolicy(&next)
	case "job":
		p.submit(words[1:])
	case "cancel":
		p.planner.Cancel(graph.ID(words[1]), p.now)
	case "after":
		p.sleep(words[1])
	case "end":
		p.end(words[1], words[2], words[3])
	case "observe":
		p.observe(endpoint.Name(words[1]), nil)
	case "silent":
		p.planner.Unanswered(endpoint.Name(words[1]), p.now)
	case "progress":
		p.percent[p.task(words[1])] = p.number(words[2])
	case "takeover":
		p.takeover()
	case "crash":
		p.crash(endpoint.Name(words[1]))
	default:
		p.runServingCommand(words)
	}
}

// runServingCommand runs the commands for learned speeds, tail latency, retired workers and advised queues.
func (p *scriptRunner) runServingCommand(words []string) {
	switch words[0] {
	case "learn":
		p.learns = true
		p.replacePlanner()
	case "tail":
		p.reading[p.task(words[1])] = float64(p.number(words[2]))
	case "retire":
		p.planner.Retire(endpoint.Name(words[1]), true)
	case "advise":
		p.advise(words[1:])
	case "refuse-ticket":
		p.rejectTicket = true
	default:
		p.runCapacityCommand(words)
	}
}

// runCapacityCommand runs the commands for workers whose capacity changes and for a store that is down.
func (p *scriptRunner) runCapacityCommand(words []string) {
	switch words[0] {
	case "capacity":
		p.changeCapacity(words[1], words[2:])
	case "store":
		p.storeDown = words[1] == "down"
	case "queue":
		p.changeQueue(words[1], words[2:])
	case "accepting":
		fmt.Fprintln(&p.out, words[1], p.planner.Accepts(endpoint.Name(words[1])))
	default:
		p.t.Fatalf("unknown command %q", words[0])
	}
}

// changeCapacity registers a worker with another number of accelerators, or with a single other resource: cpu=4000.
func (p *scriptRunner) changeCapacity(name string, words []string) {
	capacity := &p.workers[name].Capacity
	for _, word := range words {
		if cpu, single := strings.CutPrefix(word, "cpu="); single {
			capacity.CPU = int64(p.number(cpu))
			continue
		}
		n := int64(p.number(word))
		*capacity = resources.Amounts{CPU: 1000 * n, Memory: 1000 * n, Accelerators: n}
	}
	p.setWorkers()
}

// changeQueue puts a policy in force in which a queue has other settings, or which lacks the queue.
func (p *scriptRunner) changeQueue(name string, settings []string) {
	next := *p.policy
	next.Queues = slices.Clone(p.policy.Queues)
	i := slices.IndexFunc(next.Queues, func(q policy.Queue) bool { return q.Name == name })
	if i < 0 {
		i = len(next.Queues)
		next.Queues = append(next.Queues, policy.Queue{Name: name})
	}
	for _, word := range settings {
		setting, value, _ := strings.Cut(word, "=")
		switch setting {
		case "removed":
			next.Queues = slices.Delete(next.Queues, i, i+1)
		case "service":
			next.Queues[i].Service = value
		case "priority":
			next.Queues[i].Priority = p.number(value)
		case "attempts":
			next.Queues[i].MaxAttempts = p.number(value)
		case "advised":
			next.Queues[i].Advice = &policy.Advice{Validity: p.duration(value)}
		case "free":
			next.Queues[i].Advice = nil
		default:
			p.t.Fatalf("unknown setting %q", word)
		}
	}
	p.policy = &next
	p.planner.SetPolicy(p.policy)
}

// reborn restarts a worker and registers it, as a worker of another kind if words contains one.
func (p *scriptRunner) reborn(name string, words []string) {
	w := p.workers[name]
	w.Incarnation++
	if len(words) > 0 {
		w.Labels = []string{words[0], string(w.Rack)}
	}
	p.running[endpoint.Name(name)] = map[graph.TaskID]Start{}
	p.setWorkers()
}

func (p *scriptRunner) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	qt.Assert(p.t, err, qt.IsNil)
	return d
}

func (p *scriptRunner) number(word string) int {
	n, err := strconv.Atoi(word)
	qt.Assert(p.t, err, qt.IsNil)
	return n
}

func (p *scriptRunner) task(word string) graph.TaskID {
	task, err := graph.ParseTaskID(word)
	qt.Assert(p.t, err, qt.IsNil)
	return task
}

// addWorker adds a worker to the service "assay", or to the one that words contains.
func (p *scriptRunner) addWorker(name, rack, accelerators string, words []string) {
	n := int64(p.number(accelerators))
	service := "assay"
	if len(words) > 0 {
		service = words[0]
	}
	p.workers[name] = &roster.Worker{
		Name: endpoint.Name(name), Service: service, FailureDomain: domain.Name(rack[:1]), Incarnation: 1,
		Capacity: resources.Amounts{CPU: 1000 * n, Memory: 1000 * n, Accelerators: n}, Rack: endpoint.Rack(rack),
		Labels: []string{"a", rack},
	}
	p.running[endpoint.Name(name)] = map[graph.TaskID]Start{}
	p.setWorkers()
	p.observe(endpoint.Name(name), nil)
}

func (p *scriptRunner) setWorkers() {
	var list []roster.Worker
	for _, w := range p.workers {
		list = append(list, *w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	p.planner.SetWorkers(list, p.now)
}

// submit submits a job. The words are: ID, queue, account, TASKSxACCELERATORS for a step, and then options of that step
// such as gang, rack, checkpoints, after=0 or spread=1.
func (p *scriptRunner) submit(words []string) {
	job := &graph.Job{ID: graph.ID(words[0]), Queue: words[1], ClientAccount: account.Name(words[2]), Accepted: p.now}
	job.AcceptedBy, _ = policy.NewQueueIndex(p.policy).Find(policy.Address{}, job.Queue)
	for _, word := range words[3:] {
		if tasks, accelerators, isStep := strings.Cut(word, "x"); isStep && !strings.Contains(word, "=") && word != "max" {
			n := int64(p.number(accelerators))
			job.Steps = append(job.Steps, graph.Step{
				Tasks: p.number(tasks), Estimate: 2 * time.Second,
				Needs: resources.Amounts{CPU: 1000 * n, Memory: 1000 * n, Accelerators: n}, AbsenceLimit: -1,
			})
			continue
		}
		p.option(&job.Steps[len(job.Steps)-1], word)
	}
	p.jobs[job.ID] = job
	p.planner.Submit(job, p.now)
}

func (p *scriptRunner) option(step *graph.Step, word string) {
	name, value, _ := strings.Cut(word, "=")
	switch name {
	case "gang":
		step.Gang = true
	case "rack":
		step.SameRack = true
	case "checkpoints":
		step.Checkpoints = true
	case "after":
		step.After = append(step.After, p.number(value))
	case "spread":
		step.SpreadLimit = p.number(value)
	case "long-running":
		step.LongRunning = true
	case "fills":
		step.Fills = true
	case "tail-target":
		step.TailTarget = time.Duration(p.number(value)) * time.Millisecond
	case "absent":
		step.AbsenceLimit = p.number(value)
	case "label":
		step.Label = value
	case "estimate":
		step.Estimate = p.duration(value)
	case "data":
		step.DataRack = value
	case "cpu":
		step.Needs.CPU = int64(p.number(value))
	default:
		p.t.Fatalf("unknown option %q", word)
	}
}

// sleep advances the time in steps of 100 ms. No heartbeat renews a lease meanwhile.
func (p *scriptRunner) sleep(word string) {
	d := p.duration(word)
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		p.now = p.now.Add(min(step, d))
		p.planner.Tick()
		p.observePaced()
		p.decide()
	}
}

// observePaced reports the state of each worker for which Paced returns true.
func (p *scriptRunner) observePaced() {
	for _, name := range slices.Sorted(maps.Keys(p.running)) {
		if p.planner.Paced(name) {
			p.observe(name, nil)
		}
	}
}

// advise answers the last question with a ticket for each of the given workers.
func (p *scriptRunner) advise(permitted []string) {
	var tickets []Ticket
	for _, name := range permitted {
		tickets = append(tickets, Ticket{Worker: endpoint.Name(name), Text: "ticket-" + name})
	}
	p.planner.ConsultAnswered(p.question, tickets, p.validity(), true, p.now)
}

// validity returns the time for which tickets are valid.
func (p *scriptRunner) validity() time.Duration {
	for _, q := range p.policy.Queues {
		if q.Advice != nil {
			return q.Advice.Validity
		}
	}
	return 0
}

// end ends a running task in the given way and reports it. A checkpoint of "-" stands for none.
func (p *scriptRunner) end(task, how, checkpoint string) {
	kinds := map[string]EndKind{
		"done": EndDone, "failed": EndFailed, "stopped": EndStopped, "broken": EndGangBroken, "lapsed": EndLeaseExpired, "alone": EndGangIncomplete,
	}
	id := p.task(task)
	for name, runs := range p.running {
		start, runsHere := runs[id]
		if !runsHere {
			continue
		}
		delete(runs, id)
		if checkpoint == "-" {
			checkpoint = ""
		}
		p.observe(name, []EndedRun{{Task: id, Run: start.Run, Kind: kinds[how], Checkpoint: checkpoint}})
		return
	}
	p.t.Fatalf("%s does not run after\n%s", task, p.out.String())
}

// observe reports the running tasks of a worker and the given ended runs.
func (p *scriptRunner) observe(name endpoint.Name, ends []EndedRun) {
	o := Observation{Worker: name, Incarnation: p.workers[string(name)].Incarnation, Sent: p.now, Ended: ends,
		Clock: p.now.Sub(time.Unix(0, 0))}
	for id, start := range p.running[name] {
		o.Runs = append(o.Runs, RunningTask{Task: id, Run: start.Run, Percent: p.percent[id], Reading: p.reading[id]})
	}
	sort.Slice(o.Runs, func(i, j int) bool { return o.Runs[i].Task.String() < o.Runs[j].Task.String() })
	p.planner.SetResponsive(name, true)
	p.planner.Observe(o, p.now)
}

// crash ends all runs on a worker, which stops answering.
func (p *scriptRunner) crash(name endpoint.Name) {
	p.running[name] = map[graph.TaskID]Start{}
	p.planner.Unanswered(name, p.now)
}

// takeover replaces the planner with a new one that knows only the stored progress.
func (p *scriptRunner) takeover() {
	p.replacePlanner()
	p.planner.RestoreQueues(p.formerQueues)
	var ids []string
	for id := range p.jobs {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	p.setWorkers()
	for _, id := range ids {
		job := p.jobs[graph.ID(id)]
		if progress, begun := p.stored[job.ID]; begun {
			p.planner.Restore(job, progress.whole(), p.now)
		} else {
			p.planner.Submit(job, p.now)
		}
	}
}

// decide carries out decisions until there are none left. Changes are stored and orders are answered at once.
func (p *scriptRunner) decide() {
	for {
		actions := p.planner.Plan(p.now)
		var changes []Change
		if !p.storeDown {
			changes = p.planner.TakeChanges(100)
			p.formerQueues = p.planner.FormerQueues()
		}
		for _, c := range changes {
			p.stored[c.Progress.ID] = withPart(p.stored[c.Progress.ID], c.Progress)
			if c.Progress.State.Final() {
				fmt.Fprintf(&p.out, "%s is %s %s\n", c.Progress.ID, c.Progress.State, c.Progress.Reason)
			}
			p.planner.Stored(c, p.now)
		}
		for _, action := range actions {
			p.carryOut(action)
		}
		if len(actions) == 0 && len(changes) == 0 {
			return
		}
	}
}

func (p *scriptRunner) carryOut(action Action) {
	switch a := action.(type) {
	case Start:
		fmt.Fprintf(&p.out, "start %s run %d on %s %s\n", a.Task, a.Run, a.Worker, a.Checkpoint+a.Ticket+a.Speeds.describe())
		if p.rejectTicket {
			p.rejectTicket = false
			p.planner.StartAnswered(a, NotPermitted, p.now)
			return
		}
		p.running[a.Worker][a.Task] = a
		p.planner.StartAnswered(a, Accepted, p.now)
	case Stop:
		fmt.Fprintf(&p.out, "stop %s run %d on %s %s\n", a.Task, a.Run, a.Worker, a.Reason)
		p.planner.StopAnswered(a, p.now)
	case Pace:
		fmt.Fprintf(&p.out, "pace %s run %d on %s %d\n", a.Task, a.Run, a.Worker, a.Percent)
	case Consult:
		fmt.Fprintf(&p.out, "consult %s about %v\n", a.Step, a.Workers)
		p.question = a
	}
}
