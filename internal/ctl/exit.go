package ctl

import (
	"fmt"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// Exit codes of ibisctl.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitNotFound    = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
	ExitNotInForce  = 7
	ExitRefused     = 8
)

// exitHelp describes the exit codes in the help text.
const exitHelp = `Exit codes:
  0  done (and in force everywhere, with --wait)
  1  failed for another reason
  2  wrong arguments or a value that is not allowed; nothing was changed
  3  no such entry, daemon, engine or request; nothing was changed
  4  another operator changed the entry first; nothing was changed
  5  platform or daemons unavailable; nothing was changed
  6  a reply was lost: the edit may have been made, or the engine may have taken the order (may_have_run); check
     before repeating it
  7  the edit was accepted but is not in force at all live daemons
  8  the order was refused; the engine did not receive it (not_run)`

// failure is an error with an exit code.
type failure struct {
	code    int
	message string
}

func (f *failure) Error() string { return f.message }

// usageError returns a failure with ExitUsage, for wrong arguments.
func usageError(format string, args ...any) error {
	return &failure{code: ExitUsage, message: fmt.Sprintf(format, args...)}
}

// newFailure returns a failure with the given exit code.
func newFailure(code int, format string, args ...any) error {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// exitCode maps an error to the exit code of the command.
func exitCode(err error) int {
	var f *failure
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &f):
		return f.code
	case errors.Is(err, objectapi.ErrNotFound):
		return ExitNotFound
	case errors.Is(err, objectapi.ErrConflict):
		return ExitConflict
	case errors.Is(err, objectapi.ErrUnavailable):
		return ExitUnavailable
	case errors.Is(err, objectapi.ErrUnknown):
		return ExitUnknown
	default:
		return ExitFailed
	}
}
