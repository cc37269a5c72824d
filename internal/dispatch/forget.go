package dispatch

import (
	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/verdict"
)

// confirmGone reports an engine that the platform no longer lists. An empty
// list proves nothing: it may not have been read yet.
func (d *Dispatcher) confirmGone(engine string) error {
	if len(d.deps.View.Servers()) == 0 {
		return verdict.Refuse(verdict.PlatformDown, "the list of backend servers is not known, engine %s may hold memory", engine)
	}
	return nil
}

// forgotten maps the outcome of a release: memory that is not held is released.
func forgotten(err error) error {
	if err == nil || errors.Is(err, backend.ErrNotHeld) {
		return nil
	}
	return verdict.From(err)
}
