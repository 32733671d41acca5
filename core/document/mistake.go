package document

import (
	"fmt"
	"strings"
)

// Mistake is one error in an INI text.
type Mistake struct {
	Source  string
	Section string
	// Key is the key in the section; empty if the mistake concerns the whole section.
	Key string
	// Line is the line number, counted from 1; 0 if unknown.
	Line    int
	Message string
}

// String returns the mistake as one line for operators.
func (m Mistake) String() string {
	position := m.Source
	if m.Line > 0 {
		position = fmt.Sprintf("%s:%d", position, m.Line)
	}
	if m.Section != "" {
		position += " [" + m.Section + "]"
	}
	if m.Key != "" {
		position += " " + m.Key
	}
	return position + ": " + m.Message
}

// Mistakes is an error that holds all mistakes found by one check.
type Mistakes []Mistake

// Error returns one line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// ErrorOrNil returns the mistakes as an error, or nil if there are none.
func (m Mistakes) ErrorOrNil() error {
	if len(m) == 0 {
		return nil
	}
	return m
}
