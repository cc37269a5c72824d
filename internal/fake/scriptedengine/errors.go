package scriptedengine

import (
	"ibisline/internal/backend"
	"ibisline/internal/verdict"
)

// Unreachable returns the error of an engine that accepts no connections: the request
// was not run.
func Unreachable() error {
	return verdict.Wrap(backend.ErrUnreachable, verdict.NotRun, verdict.BackendFailed, "no connection")
}

// Cut returns the error of a connection that broke: the request may have run.
func Cut() error {
	return verdict.Wrap(backend.ErrTruncated, verdict.MayHaveRun, verdict.BackendFailed, "cut")
}

func leaving() error {
	return verdict.Wrap(backend.ErrLeaving, verdict.MayHaveRun, verdict.NoServer, "leaving")
}

func canceled(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.Canceled, "canceled")
}

func emitFailed(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.Canceled, "reader gone")
}

func timedOut(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.BackendTimeout, "no answer in time")
}
