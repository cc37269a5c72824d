package main

import (
	"context"
	"slices"
	"time"

	"ibisline/internal/fake/objects"
)

// idleCost is the resource usage of an idle fleet. Values of daemons are means
// over the daemons, except for maxRSSMB.
type idleCost struct {
	daemons int
	// cpuPercent is in percent of one core; peerKBPerSecond counts the bytes sent
	// to and received from other daemons.
	cpuPercent      float64
	meanRSSMB       float64
	maxRSSMB        float64
	peerKBPerSecond float64
	// readsPerSecond and writesPerSecond are the platform calls of the whole
	// fleet, openWatches its waiting watch calls.
	readsPerSecond  float64
	writesPerSecond float64
	openWatches     int
	// maxEditDelay is the longest time until an edit was in force at all daemons.
	maxEditDelay time.Duration
}

// daemonCounters holds the metrics of one daemon at one time.
type daemonCounters struct {
	cpuSeconds float64
	rssBytes   float64
	peerBytes  float64
}

// measureIdleFleet measures an idle fleet of size daemons, then edits a catalogue
// entry o.edits times.
func measureIdleFleet(ctx context.Context, o options, size int) (idleCost, error) {
	cost := idleCost{daemons: size}
	err := withFleet(ctx, o.bin, func(t *testFleet) error {
		if err := t.putEntries(ctx, 1); err != nil {
			return err
		}
		if err := t.addDaemons(ctx, size); err != nil {
			return err
		}
		if err := t.measureIdle(ctx, o.idlePeriod, &cost); err != nil {
			return err
		}
		for i := range o.edits {
			took, err := t.timeEdit(ctx, float64(2+i%2))
			if err != nil {
				return err
			}
			cost.maxEditDelay = max(cost.maxEditDelay, took)
		}
		return nil
	})
	return cost, err
}

// measureIdle reads all counters before and after period and stores the
// differences in cost.
func (t *testFleet) measureIdle(ctx context.Context, period time.Duration, cost *idleCost) error {
	countersBefore, err := t.readCounters(ctx)
	if err != nil {
		return err
	}
	var callsBefore, callsAfter objects.Counts
	if err := t.Counts(ctx, "platform", &callsBefore); err != nil {
		return err
	}
	startedAt := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(period):
	}
	countersAfter, err := t.readCounters(ctx)
	if err != nil {
		return err
	}
	if err := t.Counts(ctx, "platform", &callsAfter); err != nil {
		return err
	}
	seconds := time.Since(startedAt).Seconds()
	cost.addDaemonMeans(countersBefore, countersAfter, seconds)
	cost.readsPerSecond = float64(platformReads(callsAfter)-platformReads(callsBefore)) / seconds
	cost.writesPerSecond = float64(callsAfter.Puts+callsAfter.Deletes-callsBefore.Puts-callsBefore.Deletes) / seconds
	cost.openWatches = callsAfter.Waiting
	return nil
}

// platformReads returns the number of read calls, including watches.
func platformReads(c objects.Counts) int { return c.Gets + c.Lists + c.Watches }

// addDaemonMeans adds the means over the daemons of the counters' differences.
func (c *idleCost) addDaemonMeans(before, after []daemonCounters, seconds float64) {
	const (
		kilobyte = 1e3
		megabyte = 1e6
		percent  = 100
	)
	count := float64(len(after))
	for i, last := range after {
		c.cpuPercent += (last.cpuSeconds - before[i].cpuSeconds) / seconds * percent / count
		c.peerKBPerSecond += (last.peerBytes - before[i].peerBytes) / seconds / kilobyte / count
		c.meanRSSMB += last.rssBytes / megabyte / count
	}
	largest := slices.MaxFunc(after, func(a, b daemonCounters) int { return int(a.rssBytes - b.rssBytes) })
	c.maxRSSMB = largest.rssBytes / megabyte
}
