package peer

import (
	"net/netip"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/scheduler"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	worker "auburnstack/io/endpoint"
	"auburnstack/io/peer/peerpb"
)

func toMember(m Member) *peerpb.Member {
	return &peerpb.Member{
		Name:            string(m.Name),
		FailureDomain:   string(m.FailureDomain),
		PeerAddress:     m.PeerAddress.String(),
		OperatorAddress: m.OperatorAddress.String(),
		Leaving:         m.Leaving,
		Counter:         m.Counter,
		Revision:        uint64(m.Revision),
	}
}

// fromMember converts a message to a Member. An address that cannot be parsed stays invalid, so that calls to it fail.
func fromMember(m *peerpb.Member) Member {
	peerAddress, _ := netip.ParseAddrPort(m.GetPeerAddress())
	operatorAddress, _ := netip.ParseAddrPort(m.GetOperatorAddress())
	return Member{
		VM: vm.VM{
			Name:            vm.Name(m.GetName()),
			FailureDomain:   domain.Name(m.GetFailureDomain()),
			PeerAddress:     peerAddress,
			OperatorAddress: operatorAddress,
			Leaving:         m.GetLeaving(),
		},
		Counter:  m.GetCounter(),
		Revision: table.Revision(m.GetRevision()),
	}
}

func toSummary(s Summary) *peerpb.Summary {
	return &peerpb.Summary{
		FailureDomain: string(s.FailureDomain),
		Scheduler:     string(s.Scheduler),
		Accelerators:  uint32(s.Accelerators),
		Free:          uint32(max(s.Free, 0)),
		Waiting:       uint32(s.Waiting),
		Running:       uint32(s.Running),
		UnboundBlocks: uint32(s.UnboundBlocks),
		LargestFree:   uint32(s.LargestFree),
		Version:       s.Version,
	}
}

func fromSummary(s *peerpb.Summary) Summary {
	return Summary{
		Summary: scheduler.Summary{
			FailureDomain: domain.Name(s.GetFailureDomain()),
			Accelerators:  int(s.GetAccelerators()),
			Free:          int(s.GetFree()),
			Waiting:       int(s.GetWaiting()),
			Running:       int(s.GetRunning()),
			UnboundBlocks: int(s.GetUnboundBlocks()),
			LargestFree:   int(s.GetLargestFree()),
		},
		Scheduler: vm.Name(s.GetScheduler()),
		Version:   s.GetVersion(),
	}
}

func toHeartbeat(h Heartbeat) *peerpb.Heartbeat {
	message := &peerpb.Heartbeat{
		Self:        toMember(h.Self),
		FreshMillis: h.Fresh.Milliseconds(),
		Revision:    uint64(h.Revision),
		Clock:       uint64(h.Clock),
	}
	for _, other := range h.Others {
		message.Others = append(message.Others, toMember(other))
	}
	for _, summary := range h.Summaries {
		message.Summaries = append(message.Summaries, toSummary(summary))
	}
	return message
}

func fromHeartbeat(h *peerpb.Heartbeat) Heartbeat {
	heartbeat := Heartbeat{
		Self:     fromMember(h.GetSelf()),
		Fresh:    time.Duration(h.GetFreshMillis()) * time.Millisecond,
		Revision: table.Revision(h.GetRevision()),
		Clock:    timeline.Stamp(h.GetClock()),
	}
	for _, other := range h.GetOthers() {
		heartbeat.Others = append(heartbeat.Others, fromMember(other))
	}
	for _, summary := range h.GetSummaries() {
		heartbeat.Summaries = append(heartbeat.Summaries, fromSummary(summary))
	}
	return heartbeat
}

func toTask(t worker.Task) *peerpb.Task {
	return &peerpb.Task{Job: string(t.Job), Attempt: uint32(t.Attempt)}
}

func fromTask(t *peerpb.Task) worker.Task {
	return worker.Task{Job: job.ID(t.GetJob()), Attempt: job.Attempt(t.GetAttempt())}
}

func toOrder(o Order) *peerpb.Order {
	message := &peerpb.Order{
		Scheduler:  string(o.Scheduler),
		Epoch:      uint64(o.Epoch),
		Assignment: o.Assignment,
		HasWorkers: o.HasWorkers,
		Seen:       o.Acknowledged,
	}
	for _, name := range o.Workers {
		message.Workers = append(message.Workers, string(name))
	}
	for _, task := range o.Withhold {
		message.Withhold = append(message.Withhold, toTask(task))
	}
	return message
}

func fromOrder(o *peerpb.Order) Order {
	order := Order{
		Scheduler:    vm.Name(o.GetScheduler()),
		Epoch:        worker.Epoch(o.GetEpoch()),
		Assignment:   o.GetAssignment(),
		HasWorkers:   o.GetHasWorkers(),
		Acknowledged: o.GetSeen(),
	}
	for _, name := range o.GetWorkers() {
		order.Workers = append(order.Workers, endpoint.Name(name))
	}
	for _, task := range o.GetWithhold() {
		order.Withhold = append(order.Withhold, fromTask(task))
	}
	return order
}

func toKeepReply(n KeepReply) *peerpb.News {
	message := &peerpb.News{Assignment: n.Assignment, StaleEpoch: n.StaleEpoch, Clock: uint64(n.Clock)}
	for _, w := range n.Workers {
		message.Workers = append(message.Workers, toWorkerUpdate(w))
	}
	return message
}

func toWorkerUpdate(w WorkerUpdate) *peerpb.WorkerNews {
	message := &peerpb.WorkerNews{
		Number: w.Sequence, Worker: string(w.Worker), Lost: w.Lost, LapsesMillis: w.LeasesEndIn.Milliseconds(),
		Incarnation: w.Incarnation, Whole: w.Complete,
	}
	for _, task := range w.Tasks {
		members := make([]string, 0, len(task.Members))
		for _, name := range task.Members {
			members = append(members, string(name))
		}
		message.Tasks = append(message.Tasks, &peerpb.TaskNews{
			Task: toTask(task.Task), State: string(task.State), Accelerators: uint32(task.Accelerators),
			Members: members, Term: task.Term, Result: task.Result,
		})
	}
	return message
}

func fromKeepReply(n *peerpb.News) KeepReply {
	reply := KeepReply{
		Assignment: n.GetAssignment(), StaleEpoch: n.GetStaleEpoch(), Clock: timeline.Stamp(n.GetClock()),
	}
	for _, w := range n.GetWorkers() {
		reply.Workers = append(reply.Workers, fromWorkerUpdate(w))
	}
	return reply
}

func fromWorkerUpdate(w *peerpb.WorkerNews) WorkerUpdate {
	update := WorkerUpdate{
		Sequence: w.GetNumber(), Worker: endpoint.Name(w.GetWorker()), Lost: w.GetLost(),
		LeasesEndIn: time.Duration(w.GetLapsesMillis()) * time.Millisecond,
		Incarnation: w.GetIncarnation(), Complete: w.GetWhole(),
	}
	for _, task := range w.GetTasks() {
		report := worker.TaskReport{
			Task: fromTask(task.GetTask()), State: worker.TaskState(task.GetState()),
			Accelerators: int(task.GetAccelerators()), Term: task.GetTerm(), Result: task.GetResult(),
		}
		for _, name := range task.GetMembers() {
			report.Members = append(report.Members, endpoint.Name(name))
		}
		update.Tasks = append(update.Tasks, report)
	}
	return update
}
