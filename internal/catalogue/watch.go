package catalogue

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// waiting tracks the watch that waits at the platform. It is safe for concurrent
// use.
type waiting struct {
	mu     sync.Mutex
	since  time.Time
	cancel context.CancelFunc
}

// begin records a new watch and returns its context.
func (w *waiting) begin(ctx context.Context, now time.Time) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = now
	w.cancel = cancel
	return ctx
}

// end records that no watch waits.
func (w *waiting) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.since = time.Time{}
}

// restart ends the waiting watch, if any, so that a new one is sent.
func (w *waiting) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.since.IsZero() {
		w.cancel()
	}
}

// sent returns the time at which the waiting watch was sent, and false when none
// waits.
func (w *waiting) sent() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since, !w.since.IsZero()
}

// watch follows the platform's catalogue until ctx ends. It lists first, and
// again when the platform no longer keeps the position of the watch.
func (c *Catalogue) watch(ctx context.Context) error {
	waits := newRetryWaits()
	list := true
	for ctx.Err() == nil {
		err := c.step(ctx, list)
		list = errors.Is(err, objectapi.ErrCompacted) || (list && err != nil)
		if err == nil {
			waits.Reset()
			continue
		}
		c.logger.WithError(err).Debug("catalogue watch failed")
		pause(ctx, waits.NextBackOff())
	}
	return nil
}

// newRetryWaits returns the waits between failed watches, with jitter.
func newRetryWaits() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = retryWait
	waits.MaxInterval = retryMaxWait
	return waits
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// step does one list or one watch.
func (c *Catalogue) step(ctx context.Context, list bool) error {
	if list {
		return c.list(ctx)
	}
	return c.poll(ctx)
}

// list takes the whole catalogue from the platform.
func (c *Catalogue) list(ctx context.Context) error {
	asked := time.Now()
	objects, revision, err := c.store.List(ctx, structs.CataloguePrefix)
	if err != nil {
		return err
	}
	entries := make([]*structs.Entry, 0, len(objects))
	malformed := map[string]bool{}
	for _, object := range objects {
		c.tail.saw(object.Version)
		entry, err := Decode(object)
		if err != nil {
			c.reject(object, err)
			malformed[nameOf(object.Key)] = true
			continue
		}
		entries = append(entries, &entry)
	}
	_, loaded := c.table.Revision()
	accepted := c.table.Replace(revision, changesOf(entries), malformed)
	c.metrics.fromPlatform.Add(len(accepted))
	c.contact.reached(asked)
	if !loaded {
		c.logger.WithField("revision", revision).WithField("entries", len(entries)).Info("catalogue loaded")
		return nil
	}
	c.spread(batch{Revision: revision, Changes: accepted}, accepted)
	return nil
}

// poll waits for the next changes, applies them and tells the neighbours. The
// answer proves contact only for the moment of asking: it may have waited here
// while this process was paused.
func (c *Catalogue) poll(ctx context.Context) error {
	after := c.Revision()
	asked := time.Now()
	watchCtx := c.waiting.begin(ctx, asked)
	events, revision, err := c.store.Watch(watchCtx, structs.CataloguePrefix, after)
	restarted := watchCtx.Err() != nil
	c.waiting.end()
	if err != nil {
		return err
	}
	c.applyEvents(after, revision, events)
	if !restarted {
		c.contact.reached(asked)
	}
	return nil
}

// applyEvents applies what a watch returned and tells the neighbours.
func (c *Catalogue) applyEvents(after, revision int64, events []objectapi.Event) {
	b := batch{After: after, Revision: revision, Complete: true}
	for _, event := range events {
		c.tail.saw(event.Version)
		change, err := changeOf(event)
		if err != nil {
			c.reject(event.Object, err)
			continue
		}
		b.Changes = append(b.Changes, change)
	}
	accepted := c.table.Apply(b)
	c.metrics.fromPlatform.Add(len(accepted))
	c.spread(b, accepted)
}

// changeOf reads a platform event.
func changeOf(event objectapi.Event) (change, error) {
	c := change{Name: nameOf(event.Key), Version: event.Version}
	if event.Deleted {
		return c, nil
	}
	entry, err := Decode(event.Object)
	if err != nil {
		return change{}, err
	}
	c.Value = &entry
	return c, nil
}

// reject reports a malformed object, which replaces nothing.
func (c *Catalogue) reject(object objectapi.Object, err error) {
	c.metrics.malformed.Inc()
	c.logger.WithError(err).WithField("key", object.Key).WithField("version", object.Version).
		Error("malformed catalogue entry ignored")
}
