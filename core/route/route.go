// Package route describes routes. A route assigns one kind of work of a client account to a pool, and sets the class
// and the deadline of that work.
package route

import (
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/pool"
)

// Kind names a kind of work, such as SpectralCheck.
type Kind string

// Class is the urgency of work; a lower value is more urgent.
type Class int

// The classes, most urgent first.
const (
	Urgent Class = iota
	Long
	Batch
)

// ErrClass reports a word that is not the name of a class.
var ErrClass = errors.New("a class is Urgent, Long or Batch")

// ParseClass returns the class with the given name: Urgent, Long or Batch. Tables, which hold the operators' settings,
// use the same names.
func ParseClass(word string) (Class, error) {
	for _, class := range []Class{Urgent, Long, Batch} {
		if class.String() == word {
			return class, nil
		}
	}
	return Batch, ErrClass
}

// String returns the name of the class, which ParseClass accepts.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "Urgent"
	case Long:
		return "Long"
	default:
		return "Batch"
	}
}

// MarshalText returns the name of the class for JSON.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText parses the name of a class from JSON.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}

// Key is the key by which a route is looked up.
type Key struct {
	ClientAccount account.Name
	Kind          Kind
}

// Route is one row of the routes table.
type Route struct {
	// Name is the part after "Route." of the section name in the routes table.
	Name string
	Key
	Class Class
	// Pool is the name of a pool in the pools table.
	Pool pool.Name
	// Deadline is the maximum time from the arrival of a request to its answer.
	Deadline time.Duration
	// Idempotent is set if the work may run more than once without harm.
	Idempotent bool
}
