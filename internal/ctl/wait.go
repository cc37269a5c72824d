package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"ibisline/internal/operator"
)

// pollInterval is the interval between two queries of all daemons while waiting.
const pollInterval = 200 * time.Millisecond

// waitInForce waits until all live daemons have a revision in force. When the
// command times out first, the error names the daemons that do not.
func (c *command) waitInForce(ctx context.Context, revision int64) error {
	var missing []string
	for {
		lagging, err := c.laggingDaemons(ctx, revision)
		if err == nil && len(lagging) == 0 {
			c.out.printLine("in force at all live daemons")
			return nil
		}
		if ctx.Err() == nil {
			missing = lagging
		}
		if err != nil && ctx.Err() == nil {
			missing = []string{err.Error()}
		}
		select {
		case <-ctx.Done():
			return newFailure(ExitNotInForce, "the edit was accepted as version %d, but is not in force at: %s",
				revision, strings.Join(missing, ", "))
		case <-time.After(pollInterval):
		}
	}
}

// laggingDaemons describes the live daemons that do not have a revision in force.
func (c *command) laggingDaemons(ctx context.Context, revision int64) ([]string, error) {
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, reply := range queryAll[operator.Status](ctx, c.daemons, instances, pathStatus) {
		switch {
		case reply.err != nil:
			names = append(names, reply.daemon.Name+" (no answer)")
		case reply.value.CatalogueRevision < revision:
			names = append(names, fmt.Sprintf("%s (revision %d)", reply.daemon.Name, reply.value.CatalogueRevision))
		}
	}
	return names, nil
}
