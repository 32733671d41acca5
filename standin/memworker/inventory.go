package memworker

import (
	"context"
	"fmt"
	"sort"
	"time"

	"auburnstack/core/endpoint"
	host "auburnstack/core/machine"
	"auburnstack/core/upkeep"
	"auburnstack/io/inventory"
	"auburnstack/io/runner"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// Inventory lists the hosts of a fleet's workers. It implements inventory.Service.
type Inventory struct {
	fleet *Fleet
	hosts map[host.ID]*hostState
	waves map[upkeep.Number]upkeep.Wave
	// onChange is called after a worker has gone or come.
	onChange func(ended, started endpoint.Name)
}

// hostState is a host with the worker that lives on it.
type hostState struct {
	host.Machine
	fence runner.Fence
	// replacements counts the workers that have lived on the host.
	replacements int
	completed    map[upkeep.Number]bool
}

// NewInventory returns the hosts of a fleet: one for each worker. The function is called without locks held after an
// upkeep has ended one worker (come is empty), and when another has come in its place (gone is empty).
func NewInventory(fleet *Fleet, onChange func(ended, started endpoint.Name)) *Inventory {
	i := &Inventory{
		fleet: fleet, hosts: map[host.ID]*hostState{}, waves: map[upkeep.Number]upkeep.Wave{}, onChange: onChange,
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for name, w := range fleet.workers {
		id := host.ID("machine-of-" + name)
		i.hosts[id] = &hostState{completed: map[upkeep.Number]bool{}, Machine: host.Machine{
			ID: id, Pool: w.info.Service, State: host.Up, FailureDomain: w.info.FailureDomain, Worker: name,
		}}
	}
	return i
}

// SetWave lets the inventory know a wave.
func (i *Inventory) SetWave(wave upkeep.Wave) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	i.waves[wave.Number] = wave
}

// Completed tells whether all machines of a wave have had their upkeep.
func (i *Inventory) Completed(number upkeep.Number) bool {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	for _, id := range i.waves[number].Machines {
		if !i.hosts[id].completed[number] {
			return false
		}
	}
	return true
}

// List implements inventory.Service.
func (i *Inventory) List(context.Context) ([]host.Machine, error) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	var list []host.Machine
	for _, h := range i.hosts {
		list = append(list, h.Machine)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list, nil
}

// Maintain implements inventory.Service.
func (i *Inventory) Maintain(_ context.Context, order inventory.Order) error {
	ended, err := i.beginUpkeep(order)
	if err == nil && ended != "" {
		i.onChange(ended, "")
		time.AfterFunc(upkeepTime, func() { i.onChange("", i.finishUpkeep(order.Machine)) })
	}
	return err
}

func (i *Inventory) beginUpkeep(order inventory.Order) (endpoint.Name, error) {
	f := i.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	h := i.hosts[order.Machine]
	switch {
	case h == nil:
		return "", inventory.ErrImpossible
	case order.Fence < h.fence:
		return "", inventory.ErrFenced
	case h.completed[order.Wave]:
		return "", nil
	case h.State != host.Up:
		return "", inventory.ErrBusy
	}
	h.fence = order.Fence
	down := 0
	for _, id := range i.waves[order.Wave].Machines {
		if i.hosts[id].State == host.InUpkeep {
			down++
		}
	}
	if down >= i.waves[order.Wave].MaxDown {
		f.recordViolation("upkeep of %s while %d are down", order.Machine, down)
	}
	w := f.workers[h.Worker]
	for task, r := range w.runs {
		w.checkAbsence(task, r)
	}
	w.kill()
	w.crashed = true
	ended := h.Worker
	h.completed[order.Wave], h.State, h.Worker = true, host.InUpkeep, ""
	h.replacements++
	return ended, nil
}

// finishUpkeep lets another worker live on a host.
func (i *Inventory) finishUpkeep(id host.ID) endpoint.Name {
	i.fleet.mu.Lock()
	h := i.hosts[id]
	info := i.fleet.workers[endpoint.Name(id[len("machine-of-"):])].info
	info.Name = endpoint.Name(fmt.Sprintf("%s-%d", info.Name, h.replacements))
	i.fleet.mu.Unlock()
	i.fleet.Add(info)
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	h.State, h.Worker = host.Up, info.Name
	return info.Name
}
