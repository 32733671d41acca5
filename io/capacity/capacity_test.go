// Package capacity_test measures the costs per unit that docs/CAPACITY.md multiplies.
package capacity_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	core "auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/table"
	"auburnstack/io/endpoint"
	"auburnstack/io/peer/peerpb"
	"auburnstack/standin/worker"
)

// BenchmarkCapacityExchange measures one exchange over loopback that renews the leases of 25 tasks running on one
// endpoint. A VM's keeper sends such exchanges.
func BenchmarkCapacityExchange(b *testing.B) {
	engine := worker.New(core.Endpoint{Name: "w", Accelerators: 25}, 1, worker.NewCheckpoints())
	server := httptest.NewServer(worker.NewHandler(engine))
	defer server.Close()
	client := endpoint.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 1)
	defer client.Close()
	ctx := context.Background()
	var tasks []endpoint.Task
	for i := range 25 {
		task := endpoint.Task{Job: job.ID(fmt.Sprintf("Account:job-%d", i)), Attempt: 1}
		_ = client.Reserve(ctx, endpoint.Reserve{Epoch: 1, Task: task, Accelerators: 1, Lease: time.Hour})
		_ = client.Start(ctx, endpoint.Start{Epoch: 1, Task: task, Payload: []byte(`{"Duration":3600000000000}`), Lease: time.Hour})
		tasks = append(tasks, task)
	}
	report, err := client.Exchange(ctx, endpoint.Exchange{Epoch: 1, Confirm: tasks})
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range b.N {
		if _, err := client.Exchange(ctx, endpoint.Exchange{Epoch: 1, Lease: time.Hour, Since: report.Version}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCapacityMessages reports the sizes of the messages between VMs in bytes.
func BenchmarkCapacityMessages(b *testing.B) {
	member := &peerpb.Member{
		Name: "entry-0123", FailureDomain: "Domain-07", PeerAddress: "10.11.12.13:7100",
		OperatorAddress: "10.11.12.13:7200", Counter: 1 << 20, Revision: 1 << 20,
	}
	heartbeat := &peerpb.Heartbeat{Self: member, FreshMillis: 900, Revision: 1 << 20, Clock: 1 << 60}
	for range 8 {
		heartbeat.Others = append(heartbeat.Others, member)
	}
	for range 11 {
		heartbeat.Summaries = append(heartbeat.Summaries, &peerpb.Summary{
			FailureDomain: "Domain-07", Scheduler: "entry-0123", Accelerators: 1818, Free: 300, Waiting: 100,
			Running: 40000, LargestFree: 40, Version: 1 << 41,
		})
	}
	order := &peerpb.Order{Scheduler: "entry-0123", Epoch: 100, Assignment: 1 << 63, Seen: 1 << 20}
	news := &peerpb.News{Assignment: 1 << 63, Clock: 1 << 60}
	change := &peerpb.WorkerNews{Number: 1 << 20, Worker: "Domain-07-00123", Incarnation: 1 << 60}
	change.Tasks = append(change.Tasks, &peerpb.TaskNews{
		Task: &peerpb.Task{Job: "Account:job-0001234", Attempt: 1}, State: "Finished", Accelerators: 1,
		Members: []string{"Domain-07-00123"}, Term: "Borrowed",
	})
	for range b.N {
		_ = proto.Size(heartbeat)
	}
	b.ReportMetric(float64(proto.Size(heartbeat)), "heartbeat-bytes")
	b.ReportMetric(float64(proto.Size(order)+proto.Size(news)), "order+news-bytes")
	b.ReportMetric(float64(proto.Size(change)), "task-news-bytes")
}

// BenchmarkCapacityEdit measures how long it takes to apply a one-row edit to tables with 1,100 pools and 3,300 routes.
func BenchmarkCapacityEdit(b *testing.B) {
	routes, pools := "", ""
	for i := range 1100 {
		pools += fmt.Sprintf("[Pool.P%04d]\nClientAccount = A%04d\nShape = 1x1\nCount = 18\nFailureDomains = D0, D1\n", i, i)
		for k := range 3 {
			routes += fmt.Sprintf("[Route.R%04d-%d]\nClientAccount = A%04d\nKind = K%d\nClass = Long\nPool = P%04d\n", i, k, i, k, i)
		}
	}
	before, err := table.Parse(1, routes, pools)
	if err != nil {
		b.Fatal(err)
	}
	after, err := table.Parse(2, routes, pools+"[FailureDomain.D1]\nState = Out\n")
	if err != nil {
		b.Fatal(err)
	}
	edit := table.Diff("e", before, after)
	b.ResetTimer()
	for range b.N {
		if _, err := before.Apply(edit); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(routes)+len(pools)), "tables-bytes")
}
