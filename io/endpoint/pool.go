package endpoint

import (
	"net/netip"
	"sync"

	"auburnstack/core/endpoint"
)

// Pool holds one client for each endpoint that was requested from it.
type Pool struct {
	// endpoints returns the endpoints on the platform's current list.
	endpoints func() []endpoint.Endpoint

	mu      sync.Mutex
	clients map[endpoint.Name]*pooledClient
}

type pooledClient struct {
	*Client
	address netip.AddrPort
}

// NewPool returns a pool that creates the client for an endpoint when the client is first requested.
func NewPool(endpoints func() []endpoint.Endpoint) *Pool {
	return &Pool{endpoints: endpoints, clients: map[endpoint.Name]*pooledClient{}}
}

// Close closes the idle connections to all endpoints and removes the clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, client := range p.clients {
		client.Close()
		delete(p.clients, name)
	}
}

// Worker returns the client for an endpoint. It replaces the client if the endpoint's address has changed.
func (p *Pool) Worker(target endpoint.Endpoint) Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, open := p.clients[target.Name]
	if open && known.address == target.Address {
		return known
	}
	if open {
		known.Close()
	}
	opened := &pooledClient{Client: NewClient(target.Address, target.Connections), address: target.Address}
	p.clients[target.Name] = opened
	return opened
}

// WorkerByName returns the client for an endpoint. It returns false if the pool has no client for this endpoint yet and
// the platform does not list the endpoint.
func (p *Pool) WorkerByName(name endpoint.Name) (Worker, bool) {
	p.mu.Lock()
	known, open := p.clients[name]
	p.mu.Unlock()
	if open {
		return known, true
	}
	for _, e := range p.endpoints() {
		if e.Name == name {
			return p.Worker(e), true
		}
	}
	return nil, false
}
