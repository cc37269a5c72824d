package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"ibisline/internal/operator"
)

// pollEvery is the interval between two rounds of questions while waiting.
const pollEvery = 200 * time.Millisecond

// waitInForce waits until all live daemons have a revision in force. It names the
// daemons that do not when the time of the command is up.
func (c *command) waitInForce(ctx context.Context, revision int64) error {
	var missing []string
	for {
		behind, err := c.behind(ctx, revision)
		if err == nil && len(behind) == 0 {
			c.out.note("in force at all live daemons")
			return nil
		}
		if ctx.Err() == nil {
			missing = behind
		}
		if err != nil && ctx.Err() == nil {
			missing = []string{err.Error()}
		}
		select {
		case <-ctx.Done():
			return failed(ExitNotInForce, "the edit was accepted as version %d, but is not in force at: %s", revision, strings.Join(missing, ", "))
		case <-time.After(pollEvery):
		}
	}
}

// behind describes the live daemons that do not have a revision in force.
func (c *command) behind(ctx context.Context, revision int64) ([]string, error) {
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, a := range askAll[operator.Status](ctx, c.daemons, instances, pathStatus) {
		switch {
		case a.err != nil:
			names = append(names, a.daemon.Name+" (no answer)")
		case a.reply.CatalogueRevision < revision:
			names = append(names, fmt.Sprintf("%s (revision %d)", a.daemon.Name, a.reply.CatalogueRevision))
		}
	}
	return names, nil
}
