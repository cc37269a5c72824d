package dispatch

import (
	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/verdict"
)

// confirmDelisted returns nil if a missing engine has left the platform's list.
// An empty list is an error, because it may not have been read yet.
func (d *Dispatcher) confirmDelisted(engine string) error {
	if len(d.deps.View.Servers()) == 0 {
		return verdict.Refuse(verdict.PlatformDown, "the list of backend servers is not known, engine %s may hold memory", engine)
	}
	return nil
}

// releaseResult maps the error of a KV release. Memory that the engine does not
// hold counts as released.
func releaseResult(err error) error {
	if err == nil || errors.Is(err, backend.ErrNotHeld) {
		return nil
	}
	return verdict.From(err)
}
