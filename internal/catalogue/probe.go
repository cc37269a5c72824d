package catalogue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
)

// probeKey is read to check whether the platform answers. The object need not exist.
const probeKey = structs.CataloguePrefix

// watchSettleTime is the time after which a pending watch is assumed to have no
// events to return.
const watchSettleTime = 250 * time.Millisecond

// runProbes probes the platform whenever the newest proof of contact, from this
// daemon or a peer, is older than Config.ProbeAfter. It returns when ctx ends.
func (c *Catalogue) runProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		age, _ := c.contact.ages(time.Now())
		if wait := c.config.ProbeAfter - age; age >= 0 && wait > 0 {
			timers.Sleep(ctx, wait+c.jitter())
			continue
		}
		if !c.probeOnce(ctx) {
			timers.Sleep(ctx, watchSettleTime+c.jitter())
		}
	}
	return nil
}

// jitter returns a random delay of up to a quarter of Config.ProbeAfter, so that the
// daemons do not probe at the same time.
func (c *Catalogue) jitter() time.Duration {
	return time.Duration(rand.Int64N(int64(c.config.ProbeAfter/4) + 1))
}

// newestEvent is the version of the newest catalogue event that this daemon received
// from the platform. It is safe for concurrent use.
type newestEvent struct {
	mu        sync.Mutex
	version   int64
	compacted int64 // events up to this version are compacted
}

// observe records the version of an event or object.
func (e *newestEvent) observe(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = max(e.version, version)
}

// markCompacted records that the platform has compacted the events up to a version.
func (e *newestEvent) markCompacted(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.compacted = max(e.compacted, version)
}

// retained returns the version of the newest event, and false if it is compacted or
// there is none.
func (e *newestEvent) retained() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.version > e.compacted
}

// probeOnce performs the cheapest platform request that proves that no edit is
// missing locally, and reports whether it got the proof.
func (c *Catalogue) probeOnce(ctx context.Context) bool {
	if _, loaded := c.table.Revision(); !loaded {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	err := c.probeNewestEvent(ctx)
	switch {
	case err == nil:
		return true
	case errors.Is(err, objectapi.ErrUnavailable):
		return false
	case c.table.Size() <= c.config.ListLimit:
		return c.list(ctx) == nil
	default:
		return c.probeWatch(ctx)
	}
}

// errProbeInconclusive is returned when a watch from the newest event on proves nothing.
var errProbeInconclusive = errors.New("probe catalogue: platform did not return the newest event")

// probeNewestEvent watches from just before the newest event. The platform responds
// immediately with that event and all later ones.
func (c *Catalogue) probeNewestEvent(ctx context.Context) error {
	newest, ok := c.newestEvent.retained()
	if !ok {
		return errProbeInconclusive
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout/2)
	defer cancel()
	requestedAt := time.Now()
	events, revision, err := c.store.Watch(ctx, structs.CataloguePrefix, newest-1)
	if errors.Is(err, objectapi.ErrCompacted) {
		c.newestEvent.markCompacted(newest)
		return errProbeInconclusive
	}
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return errProbeInconclusive
	}
	c.applyEvents(newest-1, revision, events)
	c.contact.recordPlatform(requestedAt)
	return nil
}

// probeWatch reads one object. The read alone proves only that the platform answers;
// the pending watch proves that no edit was missed.
func (c *Catalogue) probeWatch(ctx context.Context) bool {
	requestedAt := time.Now()
	if !c.watchReliable(requestedAt) {
		return false
	}
	_, err := c.store.Get(ctx, probeKey)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return false
	}
	c.contact.recordPlatform(requestedAt)
	return true
}

// watchReliable reports whether the pending watch would have returned any edit by
// now. After a gap in contact, for example a pause of this process, the platform may
// have answered the watch long ago without the response having been read. The watch is
// then sent again, and is trusted after watchSettleTime.
func (c *Catalogue) watchReliable(now time.Time) bool {
	sent, ok := c.pendingWatch.sentAt()
	if !ok {
		return false
	}
	if c.contact.platformFresh(now) {
		return true
	}
	age := now.Sub(sent)
	if age > c.config.StaleAfter {
		c.pendingWatch.restart()
		return false
	}
	return age >= watchSettleTime
}
