// Package shape describes the shapes of gangs and blocks: how many members, and how many accelerators for each member.
package shape

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/pkg/errors"
)

// MaxMembers is the maximum number of members in a shape.
const MaxMembers = 1024

// MaxAccelerators is the maximum number of accelerators for each member.
const MaxAccelerators = 64

// ErrShape reports a text that is not a valid shape or that exceeds the limits.
var ErrShape = errors.Errorf("a shape is MEMBERSxACCELERATORS with 1 to %d members and 1 to %d accelerators, as in 2x8",
	MaxMembers, MaxAccelerators)

var pattern = regexp.MustCompile(`^([1-9][0-9]{0,3})x([1-9][0-9]?)$`)

// Shape is the size of a gang or block: the number of its members and the number of accelerators that each member uses
// on a worker of its own.
type Shape struct {
	// Members is between 1 and MaxMembers.
	Members int
	// Accelerators is the number of accelerators for each member, between 1 and MaxAccelerators.
	Accelerators int
}

// Parse parses a shape such as 2x8: 2 members with 8 accelerators each.
func Parse(text string) (Shape, error) {
	parts := pattern.FindStringSubmatch(text)
	if parts == nil {
		return Shape{}, ErrShape
	}
	members, _ := strconv.Atoi(parts[1])
	accelerators, _ := strconv.Atoi(parts[2])
	s := Shape{Members: members, Accelerators: accelerators}
	if !s.Valid() {
		return Shape{}, ErrShape
	}
	return s, nil
}

// Valid reports whether the shape is within the limits.
func (s Shape) Valid() bool {
	return s.Members >= 1 && s.Members <= MaxMembers && s.Accelerators >= 1 && s.Accelerators <= MaxAccelerators
}

// Total returns the number of accelerators of all members together.
func (s Shape) Total() int {
	return s.Members * s.Accelerators
}

// String returns the shape in the form that Parse accepts.
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d", s.Members, s.Accelerators)
}

// MarshalText returns the text of the shape for JSON and INI.
func (s Shape) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText parses the text of the shape from JSON and INI.
func (s *Shape) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}
