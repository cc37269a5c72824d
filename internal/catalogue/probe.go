package catalogue

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/platform"
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

// probeOnce reads one object and reports whether that proves that no edit is
// missing here. The read alone proves only that the platform answers; that edits
// arrive follows from a watch that waits there.
func (c *Catalogue) probeOnce(ctx context.Context) bool {
	asked := time.Now()
	if !c.watchReliable(asked) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	_, err := c.store.Get(ctx, probeKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
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
