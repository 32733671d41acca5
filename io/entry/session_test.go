package entry_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"auburnstack/core/job"
	"auburnstack/core/request"
	"auburnstack/core/route"
	"auburnstack/core/shape"
	"auburnstack/core/table"
	"auburnstack/io/entry"
	"auburnstack/io/jobs"
	"auburnstack/io/load"
	"auburnstack/standin/verify"
)

const routesText = `
[Route.Urgent]
ClientAccount = Desks
Kind = Check
Class = Urgent
Pool = Desks
Deadline = 2s
Idempotent = true

[Route.Once]
ClientAccount = Desks
Kind = Invoice
Class = Urgent
Pool = Desks
Deadline = 4s

[Route.Gang]
ClientAccount = Desks
Kind = Model
Class = Long
Pool = Desks

[Route.Batch]
ClientAccount = Auditors
Kind = Sample
Class = Batch
Pool = Auditors
`

const poolsText = `
[Pool.Desks]
ClientAccount = Desks
Shape = 2x8
Count = 2
FailureDomains = North, East

[Pool.Auditors]
ClientAccount = Auditors
Shape = 1x4
Count = 1
FailureDomains = East, North
`

const eastOut = poolsText + `
[FailureDomain.East]
State = Out
`

// session compresses an hour of a small site's operation into a few minutes: an edit of the tables, mixed work, and a
// failure domain that is taken out by the operators and put back by them.
type session struct {
	fleet      *fleet
	mu         sync.Mutex
	report     load.Report
	calls      sync.WaitGroup
	outWindows []verify.Window
	nodeIndex  int
	// accepted holds the jobs that hangUpAfter has submitted.
	accepted []job.ID
}

// The times at which the parts of a session begin or end, measured from its start.
const (
	workStarts = 5 * time.Second
	domainOut  = 20 * time.Second
	domainBack = 32 * time.Second
	workEnds   = 40 * time.Second
	sessionEnd = 240 * time.Second
)

const (
	// backlog is the number of jobs submitted at once, so that jobs wait in every failure domain.
	backlog = 60
	// longGangDuration is longer than the time for which some members of a gang may run without the others
	// (verify.GraceGang).
	longGangDuration = 14 * time.Second
)

// run runs the whole session and returns the evidence for the checks of package verify.
func (s *session) run() verify.Evidence {
	begin := time.Now()
	s.put(0, poolsText)
	time.Sleep(workStarts - time.Since(begin))
	s.calls.Go(func() { s.sendWork(begin) })
	time.Sleep(domainOut - time.Since(begin))
	window := verify.Window{FailureDomain: "East"}
	if s.put(1, eastOut) {
		window.From = time.Now()
		time.Sleep(domainBack - time.Since(begin))
		window.To = time.Now()
		s.put(2, poolsText)
		s.outWindows = append(s.outWindows, window)
	}
	s.calls.Wait()
	s.waitForJobs(begin)
	return s.evidence()
}

// put edits the pools table and puts routesText into the other one, see putTables.
func (s *session) put(base table.Revision, pools string) bool {
	return s.putTables(base, routesText, pools)
}

// putTables edits the tables through any live VM and retries with the same edit ID until the edit is accepted. It
// returns false if no attempt succeeds.
func (s *session) putTables(base table.Revision, routes, pools string) bool {
	id := table.EditID(fmt.Sprintf("edit-%d", base))
	for range 60 {
		for _, node := range s.liveNodes() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			_, err := node.Follower.Put(ctx, base, id, routes, pools)
			cancel()
			if err == nil {
				return true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// liveNodes returns the nodes that a load balancer would send calls to.
func (s *session) liveNodes() []*entry.Node {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var nodes []*entry.Node
	for _, v := range s.fleet.list.VMs {
		node := s.fleet.nodes[v.Name]
		if node != nil && !s.fleet.dead[string(v.Name)] && s.fleet.paused[string(v.Name)] == nil {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (s *session) nextNode() *entry.Node {
	nodes := s.liveNodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodeIndex++
	return nodes[s.nodeIndex%len(nodes)]
}

func (s *session) sendWork(begin time.Time) {
	for n := range backlog {
		s.calls.Go(func() {
			s.submit("Auditors", "Sample", 1000+n, shape.Shape{Members: 1, Accelerators: 8}, 3*time.Second)
		})
	}
	for n := 0; time.Since(begin) < workEnds; n++ {
		s.calls.Go(func() { s.request("Check", n, false) })
		s.calls.Go(func() { s.request("Invoice", n, true) })
		if n%8 == 0 {
			takes := 4 * time.Second
			if n%16 == 0 {
				takes = longGangDuration
			}
			s.calls.Go(func() { s.submit("Desks", "Model", n, shape.Shape{Members: 2, Accelerators: 8}, takes) })
		}
		if n%2 == 0 {
			s.calls.Go(func() { s.submit("Auditors", "Sample", n, shape.Shape{Members: 1, Accelerators: 2}, 2*time.Second) })
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (s *session) request(kind route.Kind, n int, once bool) {
	id := request.ID(fmt.Sprintf("%s-%d", kind, n))
	body := []byte(fmt.Sprintf(`{"Duration":50000000,"Echo":"%s"}`, id))
	node := s.nextNode()
	found, ok := node.Follower.Current().Route(route.Key{ClientAccount: "Desks", Kind: kind})
	if !ok {
		return
	}
	result := load.RequestResult{ClientAccount: "Desks", ID: id, Kind: kind, OnceOnly: once, Sent: time.Now()}
	outcome := node.Dispatcher.Do(context.Background(), request.Request{
		ID: id, ClientAccount: "Desks", Kind: kind, Class: found.Class, Deadline: time.Now().Add(found.Deadline),
		Idempotent: found.Idempotent, CallerChoseID: true, Body: body,
	})
	switch o := outcome.(type) {
	case request.Answered:
		result.Outcome, result.Wrong = "Answered", string(o.Body) != "answer to "+string(body)
	case request.NotRun:
		result.Outcome, result.Reason = "NotRun", string(o.Reason)
	case request.Unknown:
		result.Outcome, result.Reason = "Unknown", string(o.Reason)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Requests = append(s.report.Requests, result)
}

func (s *session) submit(clientAccount, kind string, n int, wanted shape.Shape, duration time.Duration) {
	submission := jobs.Submission{
		ID: job.ID(fmt.Sprintf("%s-%d", kind, n)), Kind: route.Kind(kind), Shape: wanted,
		Payload: []byte(fmt.Sprintf(`{"Duration":%d}`, duration)),
	}
	result := load.JobResult{ClientAccount: "Desks", ID: submission.ID, Shape: wanted, Sent: time.Now(), Class: kind}
	if clientAccount == "Auditors" {
		result.ClientAccount = "Auditors"
	}
	for range 40 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		_, err := s.nextNode().Jobs.Submit(ctx, result.ClientAccount, submission)
		cancel()
		if err == nil {
			result.Accepted = true
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Jobs = append(s.report.Jobs, result)
}

// waitForJobs reads the records of accepted jobs until all have ended, at most until sessionEnd.
func (s *session) waitForJobs(begin time.Time) {
	for {
		unfinished := 0
		for i := range s.report.Jobs {
			s.readJob(&s.report.Jobs[i])
			if s.report.Jobs[i].Accepted && !s.report.Jobs[i].State.Final() {
				unfinished++
			}
		}
		if unfinished == 0 || time.Since(begin) > sessionEnd {
			return
		}
		time.Sleep(2 * time.Second)
	}
}

func (s *session) readJob(j *load.JobResult) {
	if !j.Accepted || j.State.Final() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	record, err := s.nextNode().Jobs.Status(ctx, j.ClientAccount, j.ID)
	if err != nil {
		return
	}
	j.State = record.State
	if record.State == job.Finished {
		j.Wrong = string(record.Result) != fmt.Sprintf("result of %s:%s", j.ClientAccount, j.ID)
	}
}

func (s *session) evidence() verify.Evidence {
	e := verify.Evidence{Endpoints: s.fleet.list.Endpoints, Report: s.report, OutWindows: s.outWindows}
	for _, w := range s.fleet.list.Endpoints {
		e.Journal = append(e.Journal, s.fleet.workers[w.Name].Journal()...)
		if s.fleet.dead[string(w.Name)] {
			e.LostWorkers = append(e.LostWorkers, w.Name)
		}
	}
	return e
}
