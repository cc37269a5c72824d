package home

import (
	"context"
	"sync"

	"ibisline/internal/verdict"
)

// call orders something that must not be repeated, with repeats by the caller
// and sometimes at two homes at once.
func (c *caller) call(key string) {
	twins := 1
	if c.rng.IntN(4) == 0 {
		twins = 2
		c.sim.mu.Lock()
		c.sim.facts(c.id + "/" + key).twins = true
		c.sim.mu.Unlock()
	}
	var both sync.WaitGroup
	for range twins {
		twin := newCaller(c.sim, c.id, c.parent, c.rng.Int64())
		both.Go(func() { twin.callUntilKnown(key) })
	}
	both.Wait()
}

func (c *caller) callUntilKnown(key string) {
	unsure := 0
	for range patience {
		err := c.attempt(func(ctx context.Context, d *daemon, id string) error {
			r := callRequest(c.id, key)
			r.RequestID = id
			reply, err := d.Call(ctx, r)
			if err == nil && string(reply.Body) != "done "+key {
				c.sim.violate("whole answers: call %s got %q", key, reply.Body)
			}
			return err
		})
		c.noteCall(key, err)
		switch {
		case err == nil:
			return
		case verdict.HasReason(err, verdict.BudgetSpent), verdict.HasReason(err, verdict.ProgramEnded), verdict.HasReason(err, verdict.UnknownProgram):
			return
		case !verdict.Is(err, verdict.NotRun):
			unsure++
		}
		if unsure > 12 {
			return
		}
		c.backoff()
	}
}

func (c *caller) noteCall(key string, err error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	facts := c.sim.facts(c.id + "/" + key)
	c.sim.total.Calls++
	c.sim.checkWithdrawn(c.id+"/"+key, facts, err)
	facts.attempts++
	switch {
	case err == nil:
		facts.ran++
	case verdict.Is(err, verdict.NotRun):
		facts.notRun++
	}
}
