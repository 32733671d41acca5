// Package platform simulates the platform's key-value service, which also holds the list of VMs and endpoints. It is
// meant for demos and tests.
package platform

import (
	"reflect"
	"slices"
	"sync"
	"time"

	"auburnstack/io/platform"
	"auburnstack/standin/memstore"
)

// Fault selects how the simulated service misbehaves.
type Fault string

// Faults of the simulated service.
const (
	// NoFault lets the service work normally.
	NoFault Fault = "None"
	// Down leaves every call unanswered.
	Down Fault = "Down"
	// Slow delays every call by slowDelay.
	Slow Fault = "Slow"
	// LoseReplies carries out every write but sends no reply to it.
	LoseReplies Fault = "LoseReplies"
)

// slowDelay is the time that Slow adds to each call.
const slowDelay = 400 * time.Millisecond

// callsPerSecond is the client's rate limit, in calls per second. No test or demo reaches this limit.
const callsPerSecond = 1e6

// Engine is an in-memory key-value service that holds a list of VMs and endpoints. It implements the interface Store of
// package io/platform.
type Engine struct {
	*platform.Client
	service *memstore.Service

	mu sync.Mutex
	// list holds the VMs and endpoints that are stored in the keys under platform.ListPrefix. SetList replaces it.
	list platform.List
}

// New returns an empty service.
func New() *Engine {
	service := memstore.New(1)
	return &Engine{Client: platform.NewClient(service.Client(), callsPerSecond), service: service}
}

// Service returns the underlying key-value service.
func (e *Engine) Service() *memstore.Service {
	return e.service
}

// SetFault replaces the current fault of the service.
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

// SetList replaces the list of VMs and endpoints. It writes only the keys that change.
func (e *Engine) SetList(list platform.List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reflect.DeepEqual(list, e.list) {
		return
	}
	entries, err := platform.EncodeList(list)
	if err != nil {
		// The types of the list can always be encoded as JSON.
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
