package main

import (
	"context"
	"time"
)

// startCost is the start time and memory of a daemon by catalogue size.
type startCost struct {
	entries int
	// timeToReady is the time from the start of the process until the daemon
	// accepts requests and has settled.
	timeToReady time.Duration
	// rssMB is the resident memory garbageCollectionDelay after the start.
	rssMB float64
}

// garbageCollectionDelay is the wait before memory is read, so that garbage from
// the start is collected first.
const garbageCollectionDelay = 5 * time.Second

// measureStart starts one daemon with a catalogue of the given size.
func measureStart(ctx context.Context, o options, entries int) (startCost, error) {
	cost := startCost{entries: entries}
	err := withFleet(ctx, o.bin, func(t *testFleet) error {
		if err := t.putEntries(ctx, entries); err != nil {
			return err
		}
		startedAt := time.Now()
		if err := t.addDaemons(ctx, 1); err != nil {
			return err
		}
		cost.timeToReady = time.Since(startedAt)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(garbageCollectionDelay):
		}
		counters, err := t.readCounters(ctx)
		if err != nil {
			return err
		}
		cost.rssMB = counters[0].rssBytes / 1e6
		return nil
	})
	return cost, err
}
