package catalogue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// probeKey is read to see whether the platform answers; it need not exist.
const probeKey = structs.CataloguePrefix

// settleTime is the time after which a watch that was sent and has not returned
// is taken to have nothing to report.
const settleTime = 250 * time.Millisecond

// probe asks the platform for a sign of life whenever the newest proof of
// contact, from here or from a peer, has become old.
func (c *Catalogue) probe(ctx context.Context) error {
	for ctx.Err() == nil {
		age, _ := c.contact.ages(time.Now())
		if wait := c.config.ProbeAfter - age; age >= 0 && wait > 0 {
			pause(ctx, wait+c.jitter())
			continue
		}
		if !c.probeOnce(ctx) {
			pause(ctx, settleTime+c.jitter())
		}
	}
	return nil
}

// jitter spreads the probes of the daemons.
func (c *Catalogue) jitter() time.Duration {
	return time.Duration(rand.Int64N(int64(c.config.ProbeAfter/4) + 1))
}

// tail is the newest event of the catalogue that this daemon has seen from the
// platform. It is safe for concurrent use.
type tail struct {
	mu      sync.Mutex
	version int64
	lost    int64
}

// saw records the version of an event or object.
func (t *tail) saw(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, version)
}

// lose records that the platform no longer keeps the events up to a version.
func (t *tail) lose(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = max(t.lost, version)
}

// newest returns the version of the newest event, and false when there is none
// that the platform may still keep.
func (t *tail) newest() (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.version > t.lost
}

// probeOnce asks the platform for news in the cheapest way that proves that no
// edit is missing here, and reports whether it got the proof.
func (c *Catalogue) probeOnce(ctx context.Context) bool {
	if _, loaded := c.table.Revision(); !loaded {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	err := c.probeTail(ctx)
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

// errNoTail means that a watch from the newest event cannot prove anything.
var errNoTail = errors.New("no answer from the newest event on")

// probeTail watches from just before the newest event. The platform answers at
// once with that event and all later ones.
func (c *Catalogue) probeTail(ctx context.Context) error {
	newest, ok := c.tail.newest()
	if !ok {
		return errNoTail
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout/2)
	defer cancel()
	asked := time.Now()
	events, revision, err := c.store.Watch(ctx, structs.CataloguePrefix, newest-1)
	if errors.Is(err, objectapi.ErrCompacted) {
		c.tail.lose(newest)
		return errNoTail
	}
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return errNoTail
	}
	c.applyEvents(newest-1, revision, events)
	c.contact.reached(asked)
	return nil
}

// probeWatch reads one object. The read alone proves only that the platform
// answers; that edits arrive follows from a watch that waits there.
func (c *Catalogue) probeWatch(ctx context.Context) bool {
	asked := time.Now()
	if !c.watchReliable(asked) {
		return false
	}
	_, err := c.store.Get(ctx, probeKey)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return false
	}
	c.contact.reached(asked)
	return true
}

// watchReliable reports whether the waiting watch would have brought any edit by
// now. After a gap in the contact, as when this process was paused, the watch may
// have been answered long ago without the answer having been read; it is sent
// again, and trusted once it had the time to return.
func (c *Catalogue) watchReliable(now time.Time) bool {
	sent, ok := c.waiting.sent()
	if !ok {
		return false
	}
	if c.contact.isFresh(now) {
		return true
	}
	age := now.Sub(sent)
	if age > c.config.StaleAfter {
		c.waiting.restart()
		return false
	}
	return age >= settleTime
}
