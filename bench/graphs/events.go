package main

import (
	"time"
)

// event is a callback that the simulation runs at a virtual time. Events of the same time run in the order of sequence.
type event struct {
	at       time.Time
	sequence int
	callback func()
}

type events []*event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
