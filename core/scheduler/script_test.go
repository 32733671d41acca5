package scheduler

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/shape"
	"auburnstack/core/table"
)

var update = flag.Bool("update", false, "write the output of the sessions to the .golden files")

// TestSessions runs each testdata/*.session file and compares the output byte for byte with the .golden file beside it.
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

// sessionRunner runs one session: each line is a command, and the output repeats it, followed by the decisions that it
// causes.
type sessionRunner struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Time
	out       strings.Builder
	// pools holds, by pool name, the pool's section of the pools table.
	pools map[string]string
	// routes holds, by kind, the section of the routes table of account A.
	routes    map[string]string
	domainOut bool
	revision  table.Revision
	jobs      map[job.ID]Job
	workers   map[string]endpoint.Endpoint
}

func runSession(t *testing.T, text string) string {
	settings := DefaultSettings()
	settings.MoveAfter = 0
	p := &sessionRunner{
		t: t, scheduler: New("North", settings), now: time.Unix(0, 0), pools: map[string]string{},
		routes: map[string]string{},
		jobs:   map[job.ID]Job{}, workers: map[string]endpoint.Endpoint{},
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fmt.Fprintln(&p.out, "> "+line)
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
			p.runCommand(words)
		}
	}
	return p.out.String()
}

func (p *sessionRunner) runCommand(words []string) {
	switch words[0] {
	case "worker":
		p.addWorkers(words[1], words[2], words[3:])
	case "submit":
		p.submit(words[1], words[2], words[3], words[4:])
	case "end":
		p.scheduler.Ended(job.ID(words[1]))
	case "stopped":
		p.scheduler.Ended(job.ID(words[1]))
		p.scheduler.Submit(p.jobs[job.ID(words[1])])
	case "cancel":
		p.scheduler.Cancel(job.ID(words[1]))
	case "lose":
		p.scheduler.WorkerLost(endpoint.Name(words[1]))
	case "leave":
		p.scheduler.WorkerLeaving(endpoint.Name(words[1]))
	case "return":
		p.scheduler.AddWorker(p.workers[words[1]])
	case "fail":
		p.fail(words[1], words[2])
	case "wait":
		duration, err := time.ParseDuration(words[1])
		qt.Assert(p.t, err, qt.IsNil)
		p.now = p.now.Add(duration)
	case "show":
		p.show()
	default:
		p.runTableCommand(words)
	}
	for _, action := range p.scheduler.Decide(p.now) {
		p.print(action)
	}
}

// runTableCommand runs the commands that edit the tables.
func (p *sessionRunner) runTableCommand(words []string) {
	switch words[0] {
	case "pool":
		p.addPool(words[1:])
	case "route":
		p.routes[words[1]] = fmt.Sprintf("[Route.%s]\nClientAccount = A\nKind = %s\nClass = %s\nPool = %s\nDeadline = 1s\n",
			words[1], words[1], words[2], words[3])
		p.updateTables()
	case "unroute":
		delete(p.routes, words[1])
		p.updateTables()
	case "domain":
		p.domainOut = words[1] == "Out"
		p.updateTables()
	default:
		p.t.Fatalf("unknown command %v", words)
	}
}

// addPool adds or replaces a pool with the given name, shape and count. Its account and its failure domain may follow: an
// account of the pool's name and North are the defaults.
func (p *sessionRunner) addPool(words []string) {
	owner, home := words[0], "North"
	if len(words) > 3 {
		owner = words[3]
	}
	if len(words) > 4 {
		home = words[4]
	}
	p.pools[words[0]] = fmt.Sprintf("[Pool.%s]\nClientAccount = %s\nShape = %s\nCount = %s\nFailureDomains = %s\n",
		words[0], owner, words[1], words[2], home)
	p.updateTables()
}

func (p *sessionRunner) addWorkers(rack, accelerators string, names []string) {
	count, err := strconv.Atoi(accelerators)
	qt.Assert(p.t, err, qt.IsNil)
	for _, name := range names {
		e := endpoint.Endpoint{
			Name: endpoint.Name(name), FailureDomain: "North", Rack: endpoint.Rack(rack), Accelerators: count,
		}
		p.workers[name] = e
		p.scheduler.AddWorker(e)
	}
}

func (p *sessionRunner) updateTables() {
	text := ""
	for _, row := range p.pools {
		text += row
	}
	routes := ""
	for _, row := range p.routes {
		routes += row
	}
	if p.domainOut {
		text += "[FailureDomain.North]\nState = Out\n"
	}
	p.revision++
	tables, err := table.Parse(p.revision, routes, text)
	qt.Assert(p.t, err, qt.IsNil)
	p.scheduler.SetTables(tables, p.now)
}

func (p *sessionRunner) submit(id, name, shapeText string, classAndAvoided []string) {
	class, err := route.ParseClass(classAndAvoided[0])
	qt.Assert(p.t, err, qt.IsNil)
	wanted, err := shape.Parse(shapeText)
	qt.Assert(p.t, err, qt.IsNil)
	j := Job{ID: job.ID(id), Pool: pool.Name(name), Class: class, Shape: wanted, Submitted: p.now}
	for _, avoided := range classAndAvoided[1:] {
		if kind, routed := strings.CutPrefix(avoided, "kind="); routed {
			j.Route = route.Key{ClientAccount: "A", Kind: route.Kind(kind)}
			continue
		}
		j.Avoid = append(j.Avoid, endpoint.Name(avoided))
	}
	p.jobs[j.ID] = j
	p.scheduler.Submit(j)
}

func (p *sessionRunner) fail(worker, id string) {
	if p.scheduler.WorkerFailed(endpoint.Name(worker), job.ID(id), p.now) {
		fmt.Fprintln(&p.out, "quarantine", worker)
	}
}

func (p *sessionRunner) show() {
	summary := p.scheduler.Summary()
	fmt.Fprintf(&p.out, "free %d, largest %d, waiting %d, unbound %d\n",
		summary.Free, summary.LargestFree, summary.Waiting, summary.UnboundBlocks)
	for _, use := range p.scheduler.PoolUses() {
		fmt.Fprintf(&p.out, "%s: %d blocks, %d bound, %d used, %d borrowed\n",
			use.Pool, use.Blocks, use.Bound, use.Used, use.Borrowed)
	}
}

func (p *sessionRunner) print(action Action) {
	switch a := action.(type) {
	case Launch:
		fmt.Fprintf(&p.out, "launch %s %s on %v x%d\n", a.ID, a.Term, a.Workers, a.Accelerators)
	case Stop:
		fmt.Fprintf(&p.out, "stop %s %s\n", a.ID, a.Reason)
	case Move:
		fmt.Fprintf(&p.out, "move %s\n", a.ID)
	}
}
