// Package platform is a small stand-in for the platform's key-value service and list, for demos and tests.
package platform

import (
	"reflect"
	"slices"
	"sync"
	"time"

	"auburnstack/io/platform"
	"auburnstack/standin/memstore"
)

// Fault is a way in which the stand-in misbehaves.
type Fault string

// The faults.
const (
	// NoFault answers every call.
	NoFault Fault = "None"
	// Down answers no call.
	Down Fault = "Down"
	// Slow answers late.
	Slow Fault = "Slow"
	// LoseReplies does every write and answers none.
	LoseReplies Fault = "LoseReplies"
)

// slowDelay is the time that Slow adds to each call.
const slowDelay = 400 * time.Millisecond

// callsPerSecond is more than any test or demo makes.
const callsPerSecond = 1e6

// Engine is the service in memory, with a list. It implements the Store interface of the io module.
type Engine struct {
	*platform.Client
	service *memstore.Service

	mu sync.Mutex
	// list is what the service's keys hold.
	list platform.List
}

// New returns an empty service.
func New() *Engine {
	service := memstore.New(1)
	return &Engine{Client: platform.NewClient(service.Client(), callsPerSecond), service: service}
}

// Service returns the key-value service itself.
func (e *Engine) Service() *memstore.Service {
	return e.service
}

// SetFault changes how the service misbehaves.
func (e *Engine) SetFault(fault Fault) {
	switch fault {
	case Down:
		e.service.SetFaults(memstore.Faults{Down: true})
	case Slow:
		e.service.SetFaults(memstore.Faults{Slow: slowDelay})
	case LoseReplies:
		e.service.SetFaults(memstore.Faults{LoseReplies: 1})
	default:
		e.service.SetFaults(memstore.Faults{})
	}
}

// SetList replaces the list of VMs and endpoints.
func (e *Engine) SetList(list platform.List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reflect.DeepEqual(list, e.list) {
		return
	}
	entries, err := platform.EncodeList(list)
	if err != nil {
		// The types of the list always have a JSON form.
		panic(err)
	}
	before, err := platform.EncodeList(e.list)
	if err != nil {
		panic(err)
	}
	for _, key := range e.service.Keys(platform.ListPrefix) {
		if _, kept := entries[key]; !kept {
			e.service.Remove(key)
		}
	}
	for key, value := range entries {
		if !slices.Equal(before[key], value) {
			e.service.Put(key, value)
		}
	}
	e.list = list
}
