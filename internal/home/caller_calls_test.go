package home

import (
	"context"
	"sync"

	"ibisline/internal/verdict"
)

// call makes a non-repeatable call, with retries and sometimes with two concurrent
// requests for the same key.
func (c *caller) call(key string) {
	requests := 1
	if c.rng.IntN(4) == 0 {
		requests = 2
		c.sim.mu.Lock()
		c.sim.outcomesOf(c.id + "/" + key).concurrent = true
		c.sim.mu.Unlock()
	}
	var group sync.WaitGroup
	for range requests {
		client := newCaller(c.sim, c.id, c.parent, c.rng.Int64())
		group.Go(func() { client.callUntilKnown(key) })
	}
	group.Wait()
}

func (c *caller) callUntilKnown(key string) {
	mayHaveRun := 0
	for range maxAttempts {
		err := c.attempt(func(ctx context.Context, d *daemon, id string) error {
			r := callRequest(c.id, key)
			r.RequestID = id
			reply, err := d.Call(ctx, r)
			if err == nil && string(reply.Body) != "done "+key {
				c.sim.reportViolation("whole answers: call %s got %q", key, reply.Body)
			}
			return err
		})
		c.recordCall(key, err)
		switch {
		case err == nil:
			return
		case verdict.HasReason(err, verdict.BudgetSpent), verdict.HasReason(err, verdict.ProgramEnded),
			verdict.HasReason(err, verdict.UnknownProgram):
			return
		case !verdict.Is(err, verdict.NotRun):
			mayHaveRun++
		}
		if mayHaveRun > 12 {
			return
		}
		c.backoff()
	}
}

func (c *caller) recordCall(key string, err error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	outcomes := c.sim.outcomesOf(c.id + "/" + key)
	c.sim.total.Calls++
	c.sim.checkWithdrawn(c.id+"/"+key, outcomes, err)
	outcomes.attempts++
	switch {
	case err == nil:
		outcomes.ran++
	case verdict.Is(err, verdict.NotRun):
		outcomes.notRun++
	}
}
