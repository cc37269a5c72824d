package objectcache

import (
	"context"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/timers"
)

// changesRequest requests the changes after a revision from a peer. Full requests all
// objects; a daemon without a listing sets it.
type changesRequest struct {
	After int64 `msgpack:"a"`
	Full  bool  `msgpack:"e,omitempty"`
}

// changesReply holds the changes, or, if Full is set, all objects as of the revision
// of the batch.
type changesReply struct {
	Batch batch `msgpack:"b"`
	Full  bool  `msgpack:"w,omitempty"`
}

func (c *Cache) method() string { return "feed." + c.prefix }

// serveChanges sends a peer the changes that it is missing.
func (c *Cache) serveChanges(_ context.Context, s peer.Stream) error {
	var request changesRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	reply := changesReply{Batch: c.table.Since(request.After)}
	if request.Full || !reply.Batch.Complete {
		held, revision, loaded := c.table.Snapshot()
		reply = changesReply{Batch: batch{Revision: revision, Changes: held}, Full: loaded}
	}
	return s.Send(reply)
}

// HandlePeerState processes the state of a peer: the version of the newest change that
// it has seen, and the newest listing that it knows of. If the change does not arrive
// through this daemon's watch within Config.PullDelay, it is pulled from that peer. A
// daemon without a watch or a listing pulls it at once.
func (c *Cache) HandlePeerState(ctx context.Context, daemon string, version int64, listing Listing) {
	holdsWatch := c.holdsWatch()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.newest {
		// A listing counts only for a daemon that has all the changes it contained.
		c.mergePeerListing(listing, time.Now().Add(-listing.Age))
	}
	missesListing := !c.isLoaded() && listing.Number > 0
	if (version <= c.newest && !missesListing) || c.pullRunning {
		return
	}
	c.pullRunning = true
	wait := c.config.PullDelay
	if missesListing || !holdsWatch {
		wait = 0
	}
	listedAt := time.Now().Add(-listing.Age)
	go func() {
		timers.Sleep(ctx, wait)
		if (c.NewestVersion() < version || !c.isLoaded()) && ctx.Err() == nil {
			c.pull(ctx, daemon)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pullRunning = false
		if version <= c.newest && c.isLoaded() {
			c.mergePeerListing(listing, listedAt)
		}
	}()
}

// mergePeerListing records a listing reported by a peer. The message delay makes the
// reported age slightly too small, and peers report the same listing repeatedly, so
// the request time of a known listing never moves forward. The caller must hold mu.
func (c *Cache) mergePeerListing(listing Listing, requestedAt time.Time) {
	switch {
	case listing.Number > c.listingNumber:
		c.listingNumber, c.listedAt, c.listedHere = listing.Number, requestedAt, false
	case listing.Number == c.listingNumber && requestedAt.Before(c.listedAt):
		c.listedAt = requestedAt
	}
}

// pull fetches the missing changes from a peer. If there are any, this daemon's watch
// has missed them and is restarted.
func (c *Cache) pull(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, c.config.PullTimeout)
	defer cancel()
	revision, loaded := c.table.Revision()
	var reply changesReply
	startedAt := time.Now()
	err := peer.Call(ctx, c.dialer, daemon, c.method(), changesRequest{After: revision, Full: !loaded}, &reply)
	if err != nil {
		c.logger.WithError(err).WithField("peer", daemon).Info("pulling changes from peer failed")
		return
	}
	var accepted []Change
	if reply.Full {
		accepted = c.table.Replace(reply.Batch.Revision, reply.Batch.Changes, nil)
	} else {
		accepted = c.table.Apply(reply.Batch)
	}
	c.publish(accepted, daemon, c.fromPeers)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelWatch != nil && len(accepted) > 0 && time.Since(startedAt) < c.config.PullTimeout {
		c.cancelWatch()
	}
}
