package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/fake/fleet"
	"ibisline/internal/operator"
	"ibisline/internal/structs"
)

const (
	// pollInterval is the resolution of measured delays, settleTimeout the bound
	// of each wait.
	pollInterval  = 5 * time.Millisecond
	settleTimeout = 2 * time.Minute
	// maxParallelStarts bounds the daemons that start concurrently.
	maxParallelStarts = 8
	// maxParallelWrites bounds the catalogue entries written concurrently.
	maxParallelWrites = 16
	// regions and dataCentresPerRegion are those of the target deployment.
	regions              = 2
	dataCentresPerRegion = 3
	// daemonSettings shortens the planned stop, as there is no load balancer.
	daemonSettings = "[stop]\nbalancer_delay = \"0s\"\ndrain_limit = \"20s\"\n"
)

// testFleet is the fleet under measurement. It starts without backend servers.
type testFleet struct {
	*fleet.Fleet
	daemons []string
}

// withFleet calls measure with a fleet that consists of the platform only, and
// stops the fleet afterwards.
func withFleet(ctx context.Context, bin string, measure func(t *testFleet) error) error {
	return fleet.WithTempDir("capacity", bin, func(f *fleet.Fleet) error {
		if _, err := f.StartStandIn(ctx, "platform", "objects"); err != nil {
			return err
		}
		return measure(&testFleet{Fleet: f})
	})
}

// addDaemons starts daemons, spread over all data centres, and waits until each
// counts all others as live and reports itself as settled.
func (t *testFleet) addDaemons(ctx context.Context, count int) error {
	group, startCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelStarts)
	for i := range count {
		region := fmt.Sprintf("region-%d", i%regions)
		d := fleet.Daemon{
			Name:       fmt.Sprintf("entry-%d", i),
			Region:     region,
			DataCentre: fmt.Sprintf("%s-%d", region, i/regions%dataCentresPerRegion),
			Platform:   t.Addr("platform"),
			Settings:   daemonSettings,
		}
		t.daemons = append(t.daemons, d.Name)
		group.Go(func() error {
			_, err := t.StartDaemon(startCtx, d)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return t.awaitStatus(ctx, "daemons to settle", func(status operator.Status) bool {
		return status.Live == count && status.Settled
	})
}

// awaitStatus waits until the status of every daemon satisfies done.
func (t *testFleet) awaitStatus(ctx context.Context, what string, done func(operator.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, daemon := range t.daemons {
		if err := t.awaitDaemonStatus(ctx, daemon, done); err != nil {
			return errors.Wrapf(err, "wait for %s at %s", what, daemon)
		}
	}
	return nil
}

// awaitDaemonStatus polls one daemon until its status satisfies done.
func (t *testFleet) awaitDaemonStatus(ctx context.Context, daemon string, done func(operator.Status) bool) error {
	for {
		var status operator.Status
		err := t.GetJSON(ctx, "http://"+t.Addr(daemon)+"/v1/status", &status)
		if err == nil && done(status) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// putEntries writes count catalogue entries, each of another owner.
func (t *testFleet) putEntries(ctx context.Context, count int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelWrites)
	store := t.Store("platform")
	for i := range count {
		group.Go(func() error { return fleet.PutEntry(ctx, store, catalogueEntry(i, 1)) })
	}
	return group.Wait()
}

// catalogueEntry returns a catalogue entry of typical size.
func catalogueEntry(index int, share float64) structs.Entry {
	return structs.Entry{
		Name:          fmt.Sprintf("team-%05d-setups", index),
		Owner:         fmt.Sprintf("team-%05d", index),
		Class:         "standard",
		Share:         share,
		MaxConcurrent: 20,
		MaxQueued:     100,
		BudgetTokens:  2_000_000,
		BudgetTurns:   300,
		IdleSeconds:   3600,
		Author:        "operator",
		Reason:        "agreed share",
	}
}

// timeEdit edits a catalogue entry and returns the time from the platform's
// acknowledgement until all daemons have applied the edit.
func (t *testFleet) timeEdit(ctx context.Context, share float64) (time.Duration, error) {
	store := t.Store("platform")
	changed := catalogueEntry(0, share)
	key := structs.CataloguePrefix + changed.Name
	stored, err := store.Get(ctx, key)
	if err != nil {
		return 0, errors.Wrap(err, "read entry")
	}
	value, err := json.Marshal(changed)
	if err != nil {
		return 0, errors.Wrap(err, "encode entry")
	}
	version, err := store.Put(ctx, key, value, stored.Version)
	if err != nil {
		return 0, errors.Wrap(err, "write entry")
	}
	acceptedAt := time.Now()
	err = t.awaitStatus(ctx, "edit", func(status operator.Status) bool {
		return status.CatalogueRevision >= version
	})
	return time.Since(acceptedAt), err
}
