package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"auburnstack/core/request"
	"auburnstack/io/endpoint"
)

// directConnections is the maximum number of connections that direct calls open to one endpoint.
const directConnections = 4

// DirectPlan is a load that is sent directly to endpoints. The latencies of its calls are compared with the latencies
// of requests through the VMs in the same run.
type DirectPlan struct {
	// Endpoints holds the addresses of the endpoints, which are called in round-robin order. If it is empty, no direct
	// load is sent.
	Endpoints []netip.AddrPort
	// Rate is the number of calls per second.
	Rate float64
	// Time is the duration of the work that an endpoint does for each call.
	Time time.Duration
}

// DirectResult is the result of one direct call.
type DirectResult struct {
	ID       request.ID
	Answered bool
	Sent     time.Time
	Took     time.Duration
}

// directCaller sends calls directly to endpoints, not through a VM.
type directCaller struct {
	plan    DirectPlan
	clients []*endpoint.Client
}

func newDirectCaller(plan DirectPlan) *directCaller {
	d := &directCaller{plan: plan}
	for _, address := range plan.Endpoints {
		d.clients = append(d.clients, endpoint.NewClient(address, directConnections))
	}
	return d
}

// Close closes the idle connections of all clients.
func (d *directCaller) Close() {
	for _, client := range d.clients {
		client.Close()
	}
}

func (d *directCaller) call(ctx context.Context, n int) DirectResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := request.ID(fmt.Sprintf("Direct-%d", n))
	body, _ := json.Marshal(payload{Duration: d.plan.Time, Echo: string(id)})
	result := DirectResult{ID: id, Sent: time.Now()}
	_, err := d.clients[n%len(d.clients)].Run(ctx, endpoint.Run{
		Attempt: request.AttemptID(id), Request: id, Kind: "Direct", Body: body,
	})
	result.Took = time.Since(result.Sent)
	result.Answered = err == nil
	return result
}
