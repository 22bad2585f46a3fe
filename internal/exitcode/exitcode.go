// Package exitcode defines the exit codes of the operators' commands, for scripts.
package exitcode

import (
	"errors"
	"fmt"
)

// The exit codes.
const (
	OK = 0
	// Findings: the input has findings, a difference was found, apply would delete
	// resources without --prune, or --wait timed out.
	Findings = 1
	// Usage: an unknown command, flag or argument, or an unreadable file.
	Usage = 2
	// Refused: an entry refused the call; nothing was changed.
	Refused = 3
	// Unreachable: no entry or store answered, or the outcome is unknown.
	Unreachable = 4
)

// Error is an error with the exit code of the command. If Cause is nil, no error is
// printed.
type Error struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// UsageError returns an error with the code Usage.
func UsageError(err error) error { return &Error{Code: Usage, Cause: err} }

// Of returns the error with its exit code; otherwise for errors that have none.
func Of(err error, otherwise int) *Error {
	var exit *Error
	if errors.As(err, &exit) {
		return exit
	}
	return &Error{Code: otherwise, Cause: err}
}
