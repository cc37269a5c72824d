package feed

import (
	"context"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
)

// fromPlatform names the source of a change in logs.
const sourcePlatform = "platform"

// watchPoll is the time between two looks of a daemon that holds no watch at whether
// it should.
const watchPoll = 250 * time.Millisecond

// follow lists once, and then watches while this daemon is one of those that do.
func (f *Feed) follow(ctx context.Context) error {
	waits := f.newWaits()
	list := true
	for ctx.Err() == nil {
		if !list && !f.watches() {
			pause(ctx, watchPoll)
			continue
		}
		err := f.step(ctx, list)
		switch {
		case err == nil:
			list = false
			waits.Reset()
			continue
		case errors.Is(err, objectapi.ErrCompacted):
			list = true
			f.logger.Info("history is gone, listing again")
			continue
		}
		if ctx.Err() == nil {
			f.markLost(err)
		}
		pause(ctx, waits.NextBackOff())
	}
	return nil
}

// watches reports whether this daemon holds a watch.
func (f *Feed) watches() bool { return f.config.Rank(f.prefix) < f.config.Watchers }

// verify lists whenever the newest listing known is too old, until ctx ends.
func (f *Feed) verify(ctx context.Context) error {
	for {
		wait := f.untilDue()
		if wait > 0 {
			pause(ctx, wait)
		}
		if ctx.Err() != nil {
			return nil
		}
		if wait > 0 {
			continue
		}
		if err := f.list(ctx); err != nil {
			f.markLost(err)
			pause(ctx, f.config.RetryMaxWait)
		}
	}
}

// untilDue is the time until this daemon has to list, if no other one does.
func (f *Feed) untilDue() time.Duration {
	rank := f.config.Rank(f.prefix)
	if !f.isLoaded() {
		// The first listing is under way.
		return watchPoll
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.patience(rank) - time.Since(f.verified)
}

// patience is the age of the newest listing at which the daemon of a rank lists. One
// whose listing was the last goes on soon, as those before it seem not to reach the
// platform. The caller holds mu.
func (f *Feed) patience(rank int) time.Duration {
	switch {
	case rank == 0:
		return f.config.VerifyAfter
	case f.own:
		return f.config.VerifyAfter + ownSteps*f.config.VerifyStep
	default:
		return f.config.VerifyAfter + f.config.VerifyLag + time.Duration(rank)*f.config.VerifyStep
	}
}

// ownSteps is the start that the first daemon by rank gets, so that it takes over
// again from one that has listed in its place.
const ownSteps = 2

// noteVerified notes an own listing that was asked for at the given time.
func (f *Feed) noteVerified(asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listing++
	f.verified = asked
	f.own = true
}

// newWaits returns the waits between failed calls, with jitter.
func (f *Feed) newWaits() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = f.config.RetryWait
	waits.MaxInterval = f.config.RetryMaxWait
	return waits
}

// pause waits for d, not at all if that is over, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
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

// step does one listing or one watch.
func (f *Feed) step(ctx context.Context, list bool) error {
	if list {
		return f.list(ctx)
	}
	return f.poll(ctx)
}

// list takes all objects from the platform.
func (f *Feed) list(ctx context.Context) error {
	asked := time.Now()
	found, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.markAnswered()
	f.noteVerified(asked)
	listed := make([]Change, 0, len(found))
	for _, object := range found {
		listed = append(listed, f.changeOf(object, false))
	}
	f.note(f.table.Replace(revision, listed, nil), sourcePlatform, f.fromPlatform)
	return nil
}

// poll waits for the next changes.
func (f *Feed) poll(ctx context.Context) error {
	after, _ := f.table.Revision()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setRewatch(cancel)
	events, revision, err := f.store.Watch(watchCtx, f.prefix, after)
	f.setRewatch(nil)
	if err != nil {
		return err
	}
	if watchCtx.Err() != nil {
		return nil
	}
	f.markAnswered()
	b := batch{After: after, Revision: revision, Complete: true}
	for _, event := range events {
		b.Changes = append(b.Changes, f.changeOf(event.Object, event.Deleted))
	}
	f.note(f.table.Apply(b), sourcePlatform, f.fromPlatform)
	pause(ctx, f.config.Coalesce)
	return nil
}

func (f *Feed) changeOf(object objectapi.Object, removed bool) Change {
	c := Change{Name: strings.TrimPrefix(object.Key, f.prefix), Version: object.Version}
	if !removed {
		value := object.Value
		c.Value = &value
	}
	return c
}

// outageSlack is how much older than it should be the newest listing by any daemon is
// when the platform was out of reach for all of them.
const outageSlack = 1300 * time.Millisecond

func (f *Feed) markAnswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = time.Now()
	if f.lost || (!f.verified.IsZero() && f.answered.Sub(f.verified) > f.config.VerifyAfter+outageSlack) {
		f.lost = false
		f.regained = f.answered
		f.logger.Info("platform regained")
	}
}

func (f *Feed) markLost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.lost = true
		f.logger.WithError(err).Warn("platform lost")
	}
}

func (f *Feed) setRewatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rewatch = cancel
}
