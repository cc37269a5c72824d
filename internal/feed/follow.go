package feed

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// sourcePlatform is the source of a platform change in logs.
const sourcePlatform = "platform"

// rankCheckInterval is how often a daemon without a watch checks whether its rank
// requires one.
const rankCheckInterval = 250 * time.Millisecond

// follow lists once and then watches as long as the rank of this daemon requires it.
func (f *Feed) follow(ctx context.Context) error {
	backOff := f.newBackoff()
	list := true
	for ctx.Err() == nil {
		if !list && !f.holdsWatch() {
			sleep(ctx, rankCheckInterval)
			continue
		}
		err := f.listOrWatch(ctx, list)
		switch {
		case err == nil:
			list = false
			backOff.Reset()
			continue
		case errors.Is(err, objectapi.ErrCompacted):
			list = true
			f.logger.Info("history is gone, listing again")
			continue
		}
		if ctx.Err() == nil {
			f.recordFailure(err)
		}
		sleep(ctx, backOff.NextBackOff())
	}
	return nil
}

// holdsWatch reports whether the rank of this daemon requires a watch.
func (f *Feed) holdsWatch() bool { return f.config.Rank(f.prefix) < f.config.Watchers }

// relist lists whenever the newest known listing is too old, until ctx is done.
func (f *Feed) relist(ctx context.Context) error {
	for {
		wait := f.untilRelist()
		if wait > 0 {
			sleep(ctx, wait)
		}
		if ctx.Err() != nil {
			return nil
		}
		if wait > 0 {
			continue
		}
		if err := f.list(ctx); err != nil {
			f.recordFailure(err)
			sleep(ctx, f.config.RetryMaxWait)
		}
	}
}

// untilRelist returns the time until this daemon has to list if no other daemon does.
func (f *Feed) untilRelist() time.Duration {
	rank := f.config.Rank(f.prefix)
	if !f.isLoaded() {
		// The first listing is still in progress.
		return rankCheckInterval
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relistAge(rank) - time.Since(f.listedAt)
}

// relistAge returns the age of the newest listing at which the daemon of a rank lists
// again. The daemon that made the newest listing does so early, because the daemons of
// lower rank apparently cannot reach the platform. The caller must hold mu.
func (f *Feed) relistAge(rank int) time.Duration {
	switch {
	case rank == 0:
		return f.config.RelistAfter
	case f.listedHere:
		return f.config.RelistAfter + listedHereSteps*f.config.RelistStep
	default:
		return f.config.RelistAfter + f.config.RelistLag + time.Duration(rank)*f.config.RelistStep
	}
}

// listedHereSteps is the number of RelistSteps by which the daemon of rank 0 precedes
// the daemon that made the newest listing, so that rank 0 takes the listing over again
// once it reaches the platform.
const listedHereSteps = 2

// recordListing records a listing by this daemon that was requested at the given time.
func (f *Feed) recordListing(requestedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listingNumber++
	f.listedAt = requestedAt
	f.listedHere = true
}

// newBackoff returns the exponential backoff with jitter between failed calls.
func (f *Feed) newBackoff() *backoff.ExponentialBackOff {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = f.config.RetryWait
	backOff.MaxInterval = f.config.RetryMaxWait
	return backOff
}

// sleep waits for d or until ctx is done. It returns at once if d is not positive.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// listOrWatch performs one listing or one watch.
func (f *Feed) listOrWatch(ctx context.Context, list bool) error {
	if list {
		return f.list(ctx)
	}
	return f.watchOnce(ctx)
}

// list replaces the copy by a listing of the platform.
func (f *Feed) list(ctx context.Context) error {
	requestedAt := time.Now()
	found, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.recordResponse()
	f.recordListing(requestedAt)
	listed := make([]Change, 0, len(found))
	for _, object := range found {
		listed = append(listed, f.toChange(object, false))
	}
	f.publish(f.table.Replace(revision, listed, nil), sourcePlatform, f.fromPlatform)
	return nil
}

// watchOnce waits for the next changes and applies them.
func (f *Feed) watchOnce(ctx context.Context) error {
	after, _ := f.table.Position()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancelWatch(cancel)
	events, revision, err := f.store.Watch(watchCtx, f.prefix, after)
	f.setCancelWatch(nil)
	if err != nil {
		return err
	}
	if watchCtx.Err() != nil {
		return nil
	}
	f.recordResponse()
	b := batch{After: after, Revision: revision, Complete: true}
	for _, event := range events {
		b.Changes = append(b.Changes, f.toChange(event.Object, event.Deleted))
	}
	f.publish(f.table.Apply(b), sourcePlatform, f.fromPlatform)
	sleep(ctx, f.config.MinWatchInterval)
	return nil
}

func (f *Feed) toChange(object objectapi.Object, removed bool) Change {
	c := Change{Name: strings.TrimPrefix(object.Key, f.prefix), Version: object.Version}
	if !removed {
		value := object.Value
		c.Value = &value
	}
	return c
}

// outageSlack is how much older than RelistAfter the newest listing by any daemon must
// be to conclude that no daemon could reach the platform.
const outageSlack = 1300 * time.Millisecond

func (f *Feed) recordResponse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastResponse = time.Now()
	if f.unreachable || (!f.listedAt.IsZero() && f.lastResponse.Sub(f.listedAt) > f.config.RelistAfter+outageSlack) {
		f.unreachable = false
		f.reachableSince = f.lastResponse
		f.logger.Info("platform regained")
	}
}

func (f *Feed) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.unreachable {
		f.unreachable = true
		f.logger.WithError(err).Warn("platform lost")
	}
}

func (f *Feed) setCancelWatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}
