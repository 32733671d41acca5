package document

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// MaxName is the maximum length of a name in bytes.
const MaxName = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*$`)

// Section reads the keys of one row and collects the mistakes found.
type Section struct {
	source string
	row    Row
	values *ini.Section
	// readKeys holds the keys that have been read. Finish reports all others as unknown.
	readKeys map[string]bool
	mistakes Mistakes
}

// Finish adds a mistake for each key that was never read, and returns all mistakes of the section.
func (s *Section) Finish() Mistakes {
	for _, key := range s.values.KeyStrings() {
		if !s.readKeys[key] {
			s.Reject(key, "unknown key")
		}
	}
	return s.mistakes
}

// Reject adds a mistake about a key.
func (s *Section) Reject(key, message string) {
	s.mistakes = append(s.mistakes, Mistake{
		Source: s.source, Section: s.row.Section, Key: key, Line: s.lineOf(key), Message: message,
	})
}

// Has reports whether the key is present, and marks it as read.
func (s *Section) Has(key string) bool {
	s.readKeys[key] = true
	return s.values.HasKey(key)
}

// Text returns the value of a required key, which must not be empty.
func (s *Section) Text(key string) string {
	if !s.Has(key) {
		s.Reject(key, "this key is required")
		return ""
	}
	value := s.values.Key(key).String()
	if value == "" {
		s.Reject(key, "the value is empty")
	}
	return value
}

// TextOr returns the value of an optional key, or fallback if the key is absent.
func (s *Section) TextOr(key, fallback string) string {
	if !s.Has(key) {
		return fallback
	}
	return s.values.Key(key).String()
}

// Name returns the value of a required key, which must be a valid name.
func (s *Section) Name(key string) string {
	value := s.Text(key)
	if value != "" && !ValidName(value) {
		s.Reject(key, fmt.Sprintf("%q is not a name: letters, digits, dot, dash, underscore, at most %d", value, MaxName))
	}
	return value
}

// Names returns the names in the value of a required key, a comma-separated list. It rejects and omits invalid names.
func (s *Section) Names(key string) []string {
	text := s.Text(key)
	if text == "" {
		return nil
	}
	var names []string
	for _, part := range strings.Split(text, ",") {
		name := strings.TrimSpace(part)
		if !ValidName(name) {
			s.Reject(key, fmt.Sprintf("%q is not a name", name))
			continue
		}
		names = append(names, name)
	}
	return names
}

// Int returns an integer from low to high, both included, or fallback if the key is absent or invalid.
func (s *Section) Int(key string, fallback, low, high int) int {
	if !s.Has(key) {
		return fallback
	}
	value, err := s.values.Key(key).Int()
	if err != nil || value < low || value > high {
		s.Reject(key, fmt.Sprintf("%q is not a whole number from %d to %d", s.values.Key(key).String(), low, high))
		return fallback
	}
	return value
}

// Float returns a number from low to high, both included, or fallback if the key is absent or invalid.
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	if !s.Has(key) {
		return fallback
	}
	value, err := s.values.Key(key).Float64()
	if err != nil || value < low || value > high {
		s.Reject(key, fmt.Sprintf("%q is not a number from %g to %g", s.values.Key(key).String(), low, high))
		return fallback
	}
	return value
}

// Bool returns the value of a key that must be true or false, or fallback if the key is absent or invalid.
func (s *Section) Bool(key string, fallback bool) bool {
	if !s.Has(key) {
		return fallback
	}
	switch text := s.values.Key(key).String(); text {
	case "true":
		return true
	case "false":
		return false
	default:
		s.Reject(key, fmt.Sprintf("%q is not true or false", text))
		return fallback
	}
}

// Duration returns a duration from low to high, both included, or fallback if the key is absent or invalid.
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	if !s.Has(key) {
		return fallback
	}
	value, err := time.ParseDuration(s.values.Key(key).String())
	if err != nil || value < low || value > high {
		s.Reject(key, fmt.Sprintf("%q is not a duration from %s to %s", s.values.Key(key).String(), low, high))
		return fallback
	}
	return value
}

// AddrPort returns the value of a required key, which must have the form IP:PORT.
func (s *Section) AddrPort(key string) netip.AddrPort {
	text := s.Text(key)
	if text == "" {
		return netip.AddrPort{}
	}
	value, err := netip.ParseAddrPort(text)
	if err != nil {
		s.Reject(key, fmt.Sprintf("%q is not IP:PORT", text))
	}
	return value
}

// ValidName reports whether a text is a valid name: 1 to MaxName letters, digits, dots, dashes and underscores,
// beginning with a letter or digit.
func ValidName(text string) bool {
	return len(text) <= MaxName && namePattern.MatchString(text)
}

// lineOf returns the line number of a key, or that of the section header if the key is absent.
func (s *Section) lineOf(key string) int {
	for i, line := range strings.Split(s.row.Body, "\n") {
		name, _, found := strings.Cut(line, "=")
		if found && strings.TrimSpace(name) == key {
			return s.row.Line + 1 + i
		}
	}
	return s.row.Line
}
