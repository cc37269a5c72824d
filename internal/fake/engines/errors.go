package engines

import (
	"ibisline/internal/backend"
	"ibisline/internal/verdict"
)

// Unreachable is the error of an engine that takes no connection: not run.
func Unreachable() error {
	return verdict.Wrap(backend.ErrUnreachable, verdict.NotRun, verdict.BackendFailed, "no connection")
}

// Cut is the error of a connection that broke: may have run.
func Cut() error {
	return verdict.Wrap(backend.ErrTruncated, verdict.MayHaveRun, verdict.BackendFailed, "cut")
}

func leaving() error {
	return verdict.Wrap(backend.ErrLeaving, verdict.MayHaveRun, verdict.NoServer, "leaving")
}

func canceled(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.Canceled, "canceled")
}

func readerGone(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.Canceled, "reader gone")
}

func timedOut(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.BackendTimeout, "no answer in time")
}
