package feed

import (
	"context"
	"time"

	"ibisline/internal/peer"
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

func (f *Feed) method() string { return "feed." + f.prefix }

// serveChanges sends a peer the changes that it is missing.
func (f *Feed) serveChanges(_ context.Context, s peer.Stream) error {
	var request changesRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	reply := changesReply{Batch: f.table.Since(request.After)}
	if request.Full || !reply.Batch.Complete {
		held, revision, loaded := f.table.Snapshot()
		reply = changesReply{Batch: batch{Revision: revision, Changes: held}, Full: loaded}
	}
	return s.Send(reply)
}

// HandlePeerState processes the state of a peer: the version of the newest change that it has
// seen, and the newest listing that it knows of. If the change does not arrive through
// the own watch within Config.PullDelay, it is pulled from that peer. A daemon without
// a watch or a listing pulls it at once.
func (f *Feed) HandlePeerState(ctx context.Context, daemon string, version int64, listing Listing) {
	holdsWatch := f.holdsWatch()
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.newest {
		// A listing counts only for a daemon that has all the changes it contained.
		f.mergePeerListing(listing, time.Now().Add(-listing.Age))
	}
	if version <= f.newest || f.pullRunning {
		return
	}
	f.pullRunning = true
	wait := f.config.PullDelay
	if f.newest == 0 || !holdsWatch {
		wait = 0
	}
	go func() {
		sleep(ctx, wait)
		if f.NewestVersion() < version && ctx.Err() == nil {
			f.pull(ctx, daemon)
		}
		f.mu.Lock()
		f.pullRunning = false
		f.mu.Unlock()
	}()
}

// mergePeerListing records a listing reported by a peer. The message delay makes the
// reported age slightly too small, and peers report the same listing repeatedly, so
// the request time of a known listing never moves forward. The caller must hold mu.
func (f *Feed) mergePeerListing(listing Listing, requestedAt time.Time) {
	switch {
	case listing.Number > f.listingNumber:
		f.listingNumber, f.listedAt, f.listedHere = listing.Number, requestedAt, false
	case listing.Number == f.listingNumber && requestedAt.Before(f.listedAt):
		f.listedAt = requestedAt
	}
}

// pull fetches the missing changes from a peer. The own watch has missed them and is
// restarted.
func (f *Feed) pull(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, f.config.PullTimeout)
	defer cancel()
	revision, loaded := f.table.Position()
	var reply changesReply
	startedAt := time.Now()
	err := peer.Call(ctx, f.dialer, daemon, f.method(), changesRequest{After: revision, Full: !loaded}, &reply)
	if err != nil {
		f.logger.WithError(err).WithField("peer", daemon).Info("pulling changes from peer failed")
		return
	}
	var accepted []Change
	if reply.Full {
		accepted = f.table.Replace(reply.Batch.Revision, reply.Batch.Changes, nil)
	} else {
		accepted = f.table.Apply(reply.Batch)
	}
	f.publish(accepted, daemon, f.fromPeers)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil && len(accepted) > 0 && time.Since(startedAt) < f.config.PullTimeout {
		f.cancelWatch()
	}
}
