package feed

import (
	"context"
	"time"

	"ibisline/internal/peer"
)

// sinceRequest asks a peer for the changes after a revision. Everything is set by
// a daemon that has no listing yet.
type sinceRequest struct {
	After      int64 `msgpack:"a"`
	Everything bool  `msgpack:"e,omitempty"`
}

// sinceReply holds the changes, or with Whole all objects as of the batch's
// revision.
type sinceReply struct {
	Batch batch `msgpack:"b"`
	Whole bool  `msgpack:"w,omitempty"`
}

func (f *Feed) method() string { return "feed." + f.prefix }

// serveSince answers a peer that is behind.
func (f *Feed) serveSince(_ context.Context, s peer.Stream) error {
	var request sinceRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	reply := sinceReply{Batch: f.table.Since(request.After)}
	if request.Everything || !reply.Batch.Complete {
		held, revision, loaded := f.table.Snapshot()
		reply = sinceReply{Batch: batch{Revision: revision, Changes: held}, Whole: loaded}
	}
	return s.Send(reply)
}

// Learn tells the feed that a peer has seen a change of the given version, and knows
// of a listing. If the change is still unknown here after a moment, it is taken from
// that peer.
func (f *Feed) Learn(ctx context.Context, daemon string, mark int64, told Listing) {
	watches := f.watches()
	f.mu.Lock()
	defer f.mu.Unlock()
	if mark <= f.newest {
		// A listing counts only for a daemon that knows all that it showed.
		f.noteTold(told, time.Now().Add(-told.Age))
	}
	if mark <= f.newest || f.pulling {
		return
	}
	f.pulling = true
	wait := f.config.PullAfter
	if f.newest == 0 || !watches {
		wait = 0
	}
	go func() {
		pause(ctx, wait)
		if f.Mark() < mark && ctx.Err() == nil {
			f.pull(ctx, daemon)
		}
		f.mu.Lock()
		f.pulling = false
		f.mu.Unlock()
	}()
}

// noteTold notes a listing that a peer knows of. The way makes its age a little too
// small, and peers tell each other of it again and again. So a listing that is known
// already is never taken for newer than before. The caller holds mu.
func (f *Feed) noteTold(told Listing, asked time.Time) {
	switch {
	case told.Number > f.listing:
		f.listing, f.verified, f.own = told.Number, asked, false
	case told.Number == f.listing && asked.Before(f.verified):
		f.verified = asked
	}
}

// pull takes from a peer what is missing here. The own watch was deaf to it and
// starts anew.
func (f *Feed) pull(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, f.config.PullTimeout)
	defer cancel()
	revision, loaded := f.table.Revision()
	var reply sinceReply
	asked := time.Now()
	err := peer.Call(ctx, f.dialer, daemon, f.method(), sinceRequest{After: revision, Everything: !loaded}, &reply)
	if err != nil {
		f.logger.WithError(err).WithField("peer", daemon).Info("peer did not tell its changes")
		return
	}
	var accepted []Change
	if reply.Whole {
		accepted = f.table.Replace(reply.Batch.Revision, reply.Batch.Changes, nil)
	} else {
		accepted = f.table.Apply(reply.Batch)
	}
	f.note(accepted, daemon, f.fromPeers)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rewatch != nil && len(accepted) > 0 && time.Since(asked) < f.config.PullTimeout {
		f.rewatch()
	}
}
