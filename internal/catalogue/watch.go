package catalogue

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
)

// pendingWatch tracks the watch request in progress. It is safe for concurrent use.
type pendingWatch struct {
	mu     sync.Mutex
	since  time.Time
	cancel context.CancelFunc
}

// begin records a new watch request and returns its context.
func (w *pendingWatch) begin(ctx context.Context, now time.Time) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = now
	w.cancel = cancel
	return ctx
}

// end records that no watch request is in progress.
func (w *pendingWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.since = time.Time{}
}

// restart cancels the watch request in progress, if any, so that a new one is sent.
func (w *pendingWatch) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.since.IsZero() {
		w.cancel()
	}
}

// sentAt returns the time at which the watch request in progress was sent, and false
// if there is none.
func (w *pendingWatch) sentAt() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since, !w.since.IsZero()
}

// runWatch watches the catalogue prefix of the platform until ctx ends. It lists the
// prefix first, and again whenever the platform has compacted the watch position.
func (c *Catalogue) runWatch(ctx context.Context) error {
	delays := newRetryBackOff()
	list := true
	for ctx.Err() == nil {
		err := c.listOrPoll(ctx, list)
		list = errors.Is(err, objectapi.ErrCompacted) || (list && err != nil)
		if err == nil {
			delays.Reset()
			continue
		}
		c.logger.WithError(err).Debug("catalogue watch failed")
		timers.Sleep(ctx, delays.NextBackOff())
	}
	return nil
}

// newRetryBackOff returns the backoff between failed watches, with jitter.
func newRetryBackOff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minRetryDelay
	delays.MaxInterval = maxRetryDelay
	return delays
}

// listOrPoll performs one list or one watch request.
func (c *Catalogue) listOrPoll(ctx context.Context, list bool) error {
	if list {
		return c.list(ctx)
	}
	return c.poll(ctx)
}

// list replaces the local copy by a listing of the platform.
func (c *Catalogue) list(ctx context.Context) error {
	requestedAt := time.Now()
	objects, revision, err := c.store.List(ctx, structs.CataloguePrefix)
	if err != nil {
		return err
	}
	entries := make([]*structs.Entry, 0, len(objects))
	malformed := map[string]bool{}
	for _, object := range objects {
		c.newestEvent.observe(object.Version)
		entry, err := Decode(object)
		if err != nil {
			c.rejectMalformed(object, err)
			malformed[nameOf(object.Key)] = true
			continue
		}
		entries = append(entries, &entry)
	}
	_, loaded := c.table.Revision()
	accepted := c.table.Replace(revision, changesOf(entries), malformed)
	c.metrics.fromPlatform.Add(len(accepted))
	c.contact.recordPlatform(requestedAt)
	if !loaded {
		c.logger.WithField("revision", revision).WithField("entries", len(entries)).Info("catalogue loaded")
		return nil
	}
	c.publish(batch{Revision: revision, Changes: accepted}, accepted)
	return nil
}

// poll waits for the next events and applies them. The response proves contact only
// as of the time of the request, because it may have been received long before it was
// read if this process was paused.
func (c *Catalogue) poll(ctx context.Context) error {
	after := c.Revision()
	requestedAt := time.Now()
	watchCtx := c.pendingWatch.begin(ctx, requestedAt)
	events, revision, err := c.store.Watch(watchCtx, structs.CataloguePrefix, after)
	restarted := watchCtx.Err() != nil
	c.pendingWatch.end()
	if err != nil {
		return err
	}
	c.applyEvents(after, revision, events)
	if !restarted {
		c.contact.recordPlatform(requestedAt)
	}
	return nil
}

// applyEvents applies the events of a watch and publishes the accepted changes.
func (c *Catalogue) applyEvents(after, revision int64, events []objectapi.Event) {
	b := batch{After: after, Revision: revision, Complete: true}
	for _, event := range events {
		c.newestEvent.observe(event.Version)
		change, err := changeOf(event)
		if err != nil {
			c.rejectMalformed(event.Object, err)
			continue
		}
		b.Changes = append(b.Changes, change)
	}
	accepted := c.table.Apply(b)
	c.metrics.fromPlatform.Add(len(accepted))
	c.publish(b, accepted)
}

// changeOf converts a platform event to a change.
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

// rejectMalformed logs and counts a malformed object, which is not applied.
func (c *Catalogue) rejectMalformed(object objectapi.Object, err error) {
	c.metrics.malformed.Inc()
	c.logger.WithError(err).WithField("key", object.Key).WithField("version", object.Version).
		Error("malformed catalogue entry ignored")
}
