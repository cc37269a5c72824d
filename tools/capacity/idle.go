package main

import (
	"context"
	"slices"
	"time"

	"ibisline/internal/fake/objects"
)

// idleCost is what the daemons of an idle fleet cost. Figures of daemons are
// means, but for maxRSS.
type idleCost struct {
	daemons int
	// cpu is in percent of one core, rss in MB, bytes in KB sent and received
	// between daemons a second.
	cpu    float64
	rss    float64
	maxRSS float64
	bytes  float64
	// reads and writes are the platform's calls a second of the whole fleet,
	// watches those that wait.
	reads   float64
	writes  float64
	watches int
	// edit is the longest time until an edit was in force at all daemons.
	edit time.Duration
}

// sample is a reading of one daemon's counters.
type sample struct {
	cpuSeconds float64
	rss        float64
	peerBytes  float64
}

// measureFleet watches an idle fleet for a while and then edits an entry.
func measureFleet(ctx context.Context, o options, size int) (idleCost, error) {
	cost := idleCost{daemons: size}
	err := inSite(ctx, o.bin, func(s *site) error {
		if err := s.putEntries(ctx, 1); err != nil {
			return err
		}
		if err := s.addDaemons(ctx, size); err != nil {
			return err
		}
		if err := s.watchIdle(ctx, o.span, &cost); err != nil {
			return err
		}
		for i := range o.edits {
			took, err := s.edit(ctx, float64(2+i%2))
			if err != nil {
				return err
			}
			cost.edit = max(cost.edit, took)
		}
		return nil
	})
	return cost, err
}

// watchIdle reads all counters before and after span.
func (s *site) watchIdle(ctx context.Context, span time.Duration, cost *idleCost) error {
	before, err := s.samples(ctx)
	if err != nil {
		return err
	}
	var counted, after objects.Counts
	if err := s.Counts(ctx, "platform", &counted); err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
	}
	later, err := s.samples(ctx)
	if err != nil {
		return err
	}
	if err := s.Counts(ctx, "platform", &after); err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	cost.takeDaemons(before, later, seconds)
	cost.reads = float64(reads(after)-reads(counted)) / seconds
	cost.writes = float64(after.Puts+after.Deletes-counted.Puts-counted.Deletes) / seconds
	cost.watches = after.Waiting
	return nil
}

// reads are the calls that count as reads, watches included.
func reads(c objects.Counts) int { return c.Gets + c.Lists + c.Watches }

// takeDaemons averages the differences of the daemons' counters.
func (c *idleCost) takeDaemons(before, after []sample, seconds float64) {
	const (
		kilobyte = 1e3
		megabyte = 1e6
		percent  = 100
	)
	count := float64(len(after))
	for i, later := range after {
		c.cpu += (later.cpuSeconds - before[i].cpuSeconds) / seconds * percent / count
		c.bytes += (later.peerBytes - before[i].peerBytes) / seconds / kilobyte / count
		c.rss += later.rss / megabyte / count
	}
	largest := slices.MaxFunc(after, func(a, b sample) int { return int(a.rss - b.rss) })
	c.maxRSS = largest.rss / megabyte
}
