// Package domain describes failure domains. A failure domain is a set of VMs and endpoints that can fail together, or
// be taken out together by the operators, and that return together.
package domain

import "github.com/pkg/errors"

// Name identifies a failure domain.
type Name string

// State is the state that operators set for a failure domain.
type State int

// The states of a failure domain.
const (
	// In is the state of a failure domain that accepts work.
	In State = iota
	// Out is the state of a failure domain in which no work may start.
	Out
)

// ErrState reports a word that is not the name of a state.
var ErrState = errors.New("a failure domain's state is In or Out")

// ParseState returns the state with the given name, as written in a table.
func ParseState(word string) (State, error) {
	switch word {
	case "In":
		return In, nil
	case "Out":
		return Out, nil
	default:
		return In, ErrState
	}
}

// String returns the name of the state, as written in a table.
func (s State) String() string {
	if s == Out {
		return "Out"
	}
	return "In"
}

// Domain is a failure domain as described in the pools table.
type Domain struct {
	Name  Name
	State State
}
