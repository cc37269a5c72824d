package objectcache

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/timers"
)

// sourcePlatform is the source of a platform change in logs.
const sourcePlatform = "platform"

// rankCheckInterval is how often a daemon without a watch checks whether its rank
// requires one.
const rankCheckInterval = 250 * time.Millisecond

// awaitPeer waits for the copy of a peer. It returns once one has arrived, or this daemon has to list by
// itself.
func (c *Cache) awaitPeer(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil && !c.isLoaded() && !c.holdsWatch() {
		wait := c.config.FirstListDelay
		if c.config.Joined() {
			wait += time.Duration(c.config.Rank(c.prefix)) * c.config.FirstListStep
		}
		if time.Since(started) >= wait {
			return
		}
		timers.Sleep(ctx, firstListPoll)
	}
}

// firstListPoll is how often a daemon without a copy checks whether it has to list.
const firstListPoll = 20 * time.Millisecond

// follow lists once, unless a peer supplies its copy, and then watches as long as the rank of this
// daemon requires it.
func (c *Cache) follow(ctx context.Context) error {
	backOff := c.newBackoff()
	c.awaitPeer(ctx)
	list := !c.isLoaded()
	for ctx.Err() == nil {
		if !list && !c.holdsWatch() {
			timers.Sleep(ctx, rankCheckInterval)
			continue
		}
		err := c.listOrWatch(ctx, list)
		switch {
		case err == nil:
			list = false
			backOff.Reset()
			continue
		case errors.Is(err, objectapi.ErrCompacted):
			list = true
			c.logger.Info("history is gone, listing again")
			continue
		}
		if ctx.Err() == nil {
			c.recordFailure(err)
		}
		timers.Sleep(ctx, backOff.NextBackOff())
		if list {
			c.awaitPeer(ctx)
			list = !c.isLoaded()
		}
	}
	return nil
}

// holdsWatch reports whether the rank of this daemon requires a watch.
func (c *Cache) holdsWatch() bool {
	return c.config.Joined() && c.config.Rank(c.prefix) < c.config.Watchers
}

// relist lists whenever the newest known listing is too old, until ctx is done.
func (c *Cache) relist(ctx context.Context) error {
	for {
		wait := c.untilRelist()
		if wait > 0 {
			timers.Sleep(ctx, wait)
		}
		if ctx.Err() != nil {
			return nil
		}
		if wait > 0 {
			continue
		}
		if err := c.list(ctx); err != nil {
			c.recordFailure(err)
			timers.Sleep(ctx, c.config.RetryMaxWait)
		}
	}
}

// untilRelist returns the time until this daemon has to list if no other daemon does.
func (c *Cache) untilRelist() time.Duration {
	rank := c.config.Rank(c.prefix)
	if !c.isLoaded() || !c.config.Joined() {
		// The first listing is still in progress, or another daemon may list.
		return rankCheckInterval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relistAge(rank) - time.Since(c.listedAt)
}

// relistAge returns the age of the newest listing at which the daemon of a rank lists
// again. The daemon that made the newest listing does so early, because the daemons of
// lower rank apparently cannot reach the platform. The caller must hold mu.
func (c *Cache) relistAge(rank int) time.Duration {
	switch {
	case rank == 0:
		return c.config.RelistAfter
	case c.listedHere:
		return c.config.RelistAfter + listedHereSteps*c.config.RelistStep
	default:
		return c.config.RelistAfter + c.config.RelistLag + time.Duration(rank)*c.config.RelistStep
	}
}

// listedHereSteps is the number of RelistSteps by which the daemon of rank 0 precedes
// the daemon that made the newest listing, so that rank 0 takes the listing over again
// once it reaches the platform.
const listedHereSteps = 2

// recordListing records a listing by this daemon that was requested at the given time.
func (c *Cache) recordListing(requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listingNumber++
	c.listedAt = requestedAt
	c.listedHere = true
}

// newBackoff returns the exponential backoff with jitter between failed calls.
func (c *Cache) newBackoff() *backoff.ExponentialBackOff {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = c.config.RetryWait
	backOff.MaxInterval = c.config.RetryMaxWait
	return backOff
}

// listOrWatch performs one listing or one watch.
func (c *Cache) listOrWatch(ctx context.Context, list bool) error {
	if list {
		return c.list(ctx)
	}
	return c.watchOnce(ctx)
}

// list replaces the copy by a listing of the platform.
func (c *Cache) list(ctx context.Context) error {
	requestedAt, current := time.Now(), c.config.Clock()
	found, revision, err := c.store.List(ctx, c.prefix)
	if err != nil {
		return err
	}
	c.recordResponse()
	listed := make([]Change, 0, len(found))
	for _, object := range found {
		listed = append(listed, c.toChange(object, false))
	}
	c.publish(c.table.Replace(revision, listed, nil), sourcePlatform, c.fromPlatform)
	// Only now, as what this listing has changed is missing from the one before.
	c.recordListing(requestedAt)
	c.ProveCurrent(current, 0)
	return nil
}

// watchOnce waits for the next changes and applies them.
func (c *Cache) watchOnce(ctx context.Context) error {
	after, _ := c.table.Revision()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancelWatch(cancel)
	events, revision, err := c.store.Watch(watchCtx, c.prefix, after)
	c.setCancelWatch(nil)
	if err != nil {
		return err
	}
	if watchCtx.Err() != nil {
		return nil
	}
	c.recordResponse()
	b := batch{After: after, Revision: revision, Complete: true}
	for _, event := range events {
		b.Changes = append(b.Changes, c.toChange(event.Object, event.Deleted))
	}
	c.publish(c.table.Apply(b), sourcePlatform, c.fromPlatform)
	timers.Sleep(ctx, c.config.MinWatchInterval)
	return nil
}

func (c *Cache) toChange(object objectapi.Object, removed bool) Change {
	change := Change{Name: strings.TrimPrefix(object.Key, c.prefix), Version: object.Version}
	if !removed {
		value := object.Value
		if c.config.Transform != nil {
			value = c.config.Transform(value)
		}
		change.Value = &value
	}
	return change
}

// outageSlack is how much older than RelistAfter the newest listing by any daemon must
// be to conclude that no daemon could reach the platform.
const outageSlack = 1300 * time.Millisecond

// recordResponse records a successful response of the platform, and the end of an outage
// if there was one: a call of this daemon failed, or the newest listing is so old that no
// daemon reached the platform.
func (c *Cache) recordResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse = time.Now()
	if c.unreachable || (!c.listedAt.IsZero() && c.lastResponse.Sub(c.listedAt) > c.config.RelistAfter+outageSlack) {
		c.unreachable = false
		c.reachableSince = c.lastResponse
		c.logger.Info("platform regained")
	}
}

// recordFailure records a failed call as the start of a platform outage, unless one has
// started already.
func (c *Cache) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unreachable {
		c.unreachable = true
		c.logger.WithError(err).Warn("platform lost")
	}
}

func (c *Cache) setCancelWatch(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWatch = cancel
}
