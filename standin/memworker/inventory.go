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

// upkeepTime is the time for which a host is down during its upkeep.
const upkeepTime = 2 * time.Second

// Inventory manages the hosts of a fleet's workers. It implements inventory.Service.
type Inventory struct {
	fleet *Fleet
	hosts map[host.ID]*hostState
	waves map[upkeep.Number]upkeep.Wave
	// onChange is called when the upkeep of a host has ended a worker, and when a replacement has started.
	onChange func(ended, started endpoint.Name)
}

// hostState is a host and the worker that runs on it.
type hostState struct {
	host.Machine
	// fence is the fencing token of the last order that began an upkeep. Orders with a lower token are rejected.
	fence runner.Fence
	// replacements is the number of times that the worker of the host has been replaced. The name of a new worker
	// contains this number.
	replacements int
	// begun holds the numbers of the waves, groups of hosts for upkeep, in which the upkeep of the host has begun.
	begun map[upkeep.Number]bool
}

// NewInventory returns an inventory with one host for each worker of the fleet. It calls onChange without holding a
// lock. When an upkeep begins, the parameter ended names the worker that was ended and the parameter started is empty.
// When an upkeep ends, started names the replacement and ended is empty.
func NewInventory(fleet *Fleet, onChange func(ended, started endpoint.Name)) *Inventory {
	i := &Inventory{
		fleet: fleet, hosts: map[host.ID]*hostState{}, waves: map[upkeep.Number]upkeep.Wave{}, onChange: onChange,
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for name, w := range fleet.workers {
		id := host.ID("machine-of-" + name)
		i.hosts[id] = &hostState{begun: map[upkeep.Number]bool{}, Machine: host.Machine{
			ID: id, Pool: w.info.Service, State: host.Up, FailureDomain: w.info.FailureDomain, Worker: name,
		}}
	}
	return i
}

// SetWave adds a wave, a group of hosts for upkeep, or replaces the wave with the same number.
func (i *Inventory) SetWave(wave upkeep.Wave) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	i.waves[wave.Number] = wave
}

// Begun reports whether the upkeep of every host of a wave, a group of hosts for upkeep, has begun.
func (i *Inventory) Begun(number upkeep.Number) bool {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	for _, id := range i.waves[number].Machines {
		if !i.hosts[id].begun[number] {
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

// beginUpkeep ends the worker of a host and returns its name. The name is empty if the upkeep of the host in this wave
// has already begun. beginUpkeep records a violation if the largest allowed number of hosts of the wave is already
// down.
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
	case h.begun[order.Wave]:
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
	h.begun[order.Wave], h.State, h.Worker = true, host.InUpkeep, ""
	h.replacements++
	return ended, nil
}

// finishUpkeep starts a new worker on a host and returns its name.
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
