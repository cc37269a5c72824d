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
	// pollEvery is the resolution of the waits, settleLimit bounds them.
	pollEvery   = 5 * time.Millisecond
	settleLimit = 2 * time.Minute
	// startsAtOnce bounds the daemons that start side by side.
	startsAtOnce = 8
	// writesAtOnce bounds the catalogue entries written side by side.
	writesAtOnce = 16
	// regions and centresPerRegion are those of the target size.
	regions          = 2
	centresPerRegion = 3
	daemonSettings   = "[stop]\nbalancer_delay = \"0s\"\ndrain_limit = \"20s\"\n"
)

// site is a fleet without backend servers.
type site struct {
	*fleet.Fleet
	daemons []string
}

// inSite calls measure with a fleet that has only the platform, and ends it.
func inSite(ctx context.Context, bin string, measure func(s *site) error) error {
	return fleet.WithTempDir("capacity", bin, func(f *fleet.Fleet) error {
		if _, err := f.StartStandIn(ctx, "platform", "objects"); err != nil {
			return err
		}
		return measure(&site{Fleet: f})
	})
}

// addDaemons starts daemons over all data centres and waits until they know
// each other and have settled.
func (s *site) addDaemons(ctx context.Context, count int) error {
	group, started := errgroup.WithContext(ctx)
	group.SetLimit(startsAtOnce)
	for i := range count {
		region := fmt.Sprintf("region-%d", i%regions)
		d := fleet.Daemon{
			Name:       fmt.Sprintf("entry-%d", i),
			Region:     region,
			DataCentre: fmt.Sprintf("%s-%d", region, i/regions%centresPerRegion),
			Platform:   s.Addr("platform"),
			Settings:   daemonSettings,
		}
		s.daemons = append(s.daemons, d.Name)
		group.Go(func() error {
			_, err := s.StartDaemon(started, d)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return s.awaitAll(ctx, "daemons to settle", func(status operator.Status) bool {
		return status.Live == count && status.Settled
	})
}

// awaitAll waits until the status of every daemon satisfies done.
func (s *site) awaitAll(ctx context.Context, what string, done func(operator.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for _, daemon := range s.daemons {
		if err := s.awaitOne(ctx, daemon, done); err != nil {
			return errors.Wrapf(err, "wait for %s at %s", what, daemon)
		}
	}
	return nil
}

// awaitOne polls one daemon.
func (s *site) awaitOne(ctx context.Context, daemon string, done func(operator.Status) bool) error {
	for {
		var status operator.Status
		err := s.GetJSON(ctx, "http://"+s.Addr(daemon)+"/v1/status", &status)
		if err == nil && done(status) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollEvery):
		}
	}
}

// putEntries writes a catalogue of so many entries, one for each of as many owners.
func (s *site) putEntries(ctx context.Context, count int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(writesAtOnce)
	store := s.Store("platform")
	for i := range count {
		group.Go(func() error { return fleet.PutEntry(ctx, store, entry(i, 1)) })
	}
	return group.Wait()
}

// entry is a catalogue entry of usual size.
func entry(number int, share float64) structs.Entry {
	return structs.Entry{
		Name:          fmt.Sprintf("team-%05d-setups", number),
		Owner:         fmt.Sprintf("team-%05d", number),
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

// edit changes an entry and returns the time until it is in force everywhere.
func (s *site) edit(ctx context.Context, share float64) (time.Duration, error) {
	store := s.Store("platform")
	changed := entry(0, share)
	key := structs.CataloguePrefix + changed.Name
	held, err := store.Get(ctx, key)
	if err != nil {
		return 0, errors.Wrap(err, "read entry")
	}
	value, err := json.Marshal(changed)
	if err != nil {
		return 0, errors.Wrap(err, "encode entry")
	}
	version, err := store.Put(ctx, key, value, held.Version)
	if err != nil {
		return 0, errors.Wrap(err, "write entry")
	}
	accepted := time.Now()
	err = s.awaitAll(ctx, "the edit", func(status operator.Status) bool {
		return status.CatalogueRevision >= version
	})
	return time.Since(accepted), err
}
