package main

import (
	"github.com/pkg/errors"
)

// Exit codes of the program.
const (
	exitFailed       = 1
	exitConflict     = 3
	exitNotRun       = 4
	exitUnknown      = 5
	exitInvalidInput = 6
	exitNotInForce   = 7
	exitChecksFailed = 8
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code  int
	cause string
}

// Error returns the text of the cause.
func (e *exitError) Error() string {
	return e.cause
}

// exitCode returns the exit code of an error, or exitFailed if the error has none.
func exitCode(err error) int {
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}
