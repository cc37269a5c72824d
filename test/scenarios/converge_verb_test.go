package scenarios

import (
	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/operator"
)

// converge is "converge DAEMON...". It waits until these daemons, and no others, are
// live members in each other's view and hold their assigned shards.
func converge(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	return s.wait(func() error {
		for _, daemon := range raw {
			if err := s.converged(daemon, len(raw)); err != nil {
				return err
			}
		}
		return nil
	})
}

// converged fails unless a daemon sees the given number of live daemons and reports
// that its shards are settled.
func (s *scriptEnv) converged(daemon string, live int) error {
	var status operator.Status
	if err := s.fleet.GetJSON(s.ctx, "http://"+s.fleet.Addr(daemon)+"/v1/status", &status); err != nil {
		return err
	}
	if status.Live != live || !status.Settled {
		return errors.Errorf("%s sees %d live daemons, want %d; settled: %v", daemon, status.Live, live, status.Settled)
	}
	return nil
}
