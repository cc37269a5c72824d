package scenarios

import (
	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/operator"
)

// converge is "converge DAEMON ...": it waits until these daemons, and no
// others, count each other as live and hold the shards that they should.
func converge(_ *testscript.TestScript, w *world, raw []string) error {
	return w.wait(func() error {
		for _, daemon := range raw {
			if err := w.converged(daemon, len(raw)); err != nil {
				return err
			}
		}
		return nil
	})
}

// converged fails until a daemon sees so many live daemons and is settled.
func (w *world) converged(daemon string, live int) error {
	var status operator.Status
	if err := w.fleet.GetJSON(w.ctx, "http://"+w.fleet.Addr(daemon)+"/v1/status", &status); err != nil {
		return err
	}
	if status.Live != live || !status.Settled {
		return errors.Errorf("%s sees %d live daemons, want %d; settled: %v", daemon, status.Live, live, status.Settled)
	}
	return nil
}
