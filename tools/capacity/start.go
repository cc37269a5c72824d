package main

import (
	"context"
	"time"
)

// startCost is what a daemon's start costs with a catalogue of some size.
type startCost struct {
	entries int
	// ready is the time from the start of the process until it takes callers.
	ready time.Duration
	// rss is in MB, some time after the start.
	rss float64
}

// rest is the wait before memory is read, so that the garbage of the start is
// collected.
const rest = 5 * time.Second

// measureStart starts one daemon on a catalogue of so many entries.
func measureStart(ctx context.Context, o options, entries int) (startCost, error) {
	cost := startCost{entries: entries}
	err := inSite(ctx, o.bin, func(s *site) error {
		if err := s.putEntries(ctx, entries); err != nil {
			return err
		}
		begun := time.Now()
		if err := s.addDaemons(ctx, 1); err != nil {
			return err
		}
		cost.ready = time.Since(begun)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(rest):
		}
		read, err := s.samples(ctx)
		if err != nil {
			return err
		}
		cost.rss = read[0].rss / 1e6
		return nil
	})
	return cost, err
}
