package allowance

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/peer"
)

// Keeper serves the journal of an instance with a disk to the homes. It is a
// kernel service.
type Keeper struct {
	journal *journal.Journal
	logger  log.Interface
	retry   time.Duration
}

// NewKeeper registers the methods of a journal with mux.
func NewKeeper(j *journal.Journal, mux peer.Mux, logger log.Interface) *Keeper {
	k := &Keeper{journal: j, logger: logger, retry: diskRetry}
	mux.Handle(methodFence, k.serveFence)
	mux.Handle(methodExtend, k.serveExtend)
	mux.Handle(methodHolder, k.serveHolder)
	return k
}

// diskRetry is the time between two attempts to write to a disk that has failed.
const diskRetry = time.Second

// Run makes the journal try its disk again after failures, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.retry)
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
	var f journal.Fence
	if err := s.Recv(&f); err != nil {
		return err
	}
	before, bridge, err := k.journal.Fence(f, time.Now())
	if errors.Is(err, journal.ErrFenced) {
		return s.Send(fenceReply{Held: before})
	}
	if err != nil {
		k.logger.WithError(err).WithField("shard", f.Shard).Error("fence not written")
		return err
	}
	return s.Send(fenceReply{Held: f, Before: before, Journal: k.journal.ID(), Bridge: bridge})
}

func (k *Keeper) serveHolder(_ context.Context, s peer.Stream) error {
	var request shardRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	fence, bridge := k.journal.Holder(request.Shard)
	return s.Send(holderReply{Fence: fence, Bridge: bridge, Journal: k.journal.ID()})
}

func (k *Keeper) serveExtend(_ context.Context, s peer.Stream) error {
	var b journal.Replica
	if err := s.Recv(&b); err != nil {
		return err
	}
	err := k.journal.Append(b)
	if errors.Is(err, journal.ErrFenced) {
		held, _ := k.journal.Holder(b.Fence.Shard)
		return s.Send(extendReply{Refused: true, Held: held})
	}
	if err != nil {
		k.logger.WithError(err).WithField("shard", b.Fence.Shard).Error("bridge not written")
		return err
	}
	return s.Send(extendReply{Journal: k.journal.ID()})
}
