package tokenbudget

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"ibisline/internal/peer"
	"ibisline/internal/timers"
	"ibisline/internal/tokenbudget/journal"
)

// Keeper serves the journal of an instance with a disk to the homes. It is a kernel service.
type Keeper struct {
	journal *journal.Journal
	logger  log.Interface
	retry   time.Duration
}

// NewKeeper returns the keeper of a journal and registers its methods with mux.
func NewKeeper(j *journal.Journal, mux peer.Mux, logger log.Interface) *Keeper {
	k := &Keeper{journal: j, logger: logger, retry: diskRetry}
	mux.Handle(methodFence, k.serveFence)
	mux.Handle(methodExtend, k.serveExtend)
	mux.Handle(methodHolder, k.serveHolder)
	return k
}

// diskRetry is the time between two attempts to write to a failed disk.
const diskRetry = time.Second

// Run retries a failed disk until ctx ends, then closes the journal.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := timers.NewTicker(k.retry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return k.journal.Close()
		case <-ticker.C:
		}
		if err := k.journal.Retry(); err != nil {
			k.logger.WithError(err).Error("journal not written")
		}
	}
}

func (k *Keeper) serveFence(_ context.Context, s peer.Stream) error {
	var request fenceRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	f := request.Fence
	previous, replica, err := k.journal.Fence(f, request.Known, time.Now())
	if errors.Is(err, journal.ErrFenced) {
		return s.Send(fenceReply{Held: previous})
	}
	if err != nil {
		k.logger.WithError(err).WithField("shard", f.Shard).Error("fence not written")
		return err
	}
	return s.Send(fenceReply{Held: f, Previous: previous, Journal: k.journal.ID(), Replica: replica})
}

func (k *Keeper) serveHolder(_ context.Context, s peer.Stream) error {
	var request shardRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	fence, replica := k.journal.Holder(request.Shard)
	return s.Send(holderReply{Fence: fence, Replica: replica, Journal: k.journal.ID()})
}

func (k *Keeper) serveExtend(_ context.Context, s peer.Stream) error {
	var replica journal.Replica
	if err := s.Recv(&replica); err != nil {
		return err
	}
	err := k.journal.Append(replica)
	if errors.Is(err, journal.ErrFenced) {
		held, _ := k.journal.Holder(replica.Fence.Shard)
		return s.Send(extendReply{Refused: true, Held: held})
	}
	if err != nil {
		k.logger.WithError(err).WithField("shard", replica.Fence.Shard).Error("replica not written to disk")
		return err
	}
	return s.Send(extendReply{Journal: k.journal.ID()})
}
