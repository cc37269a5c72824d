package allowance

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/peer"
	"ibisline/internal/verdict"
)

// Keeper serves the journal of an instance with a disk to the homes. It is a
// kernel service.
type Keeper struct {
	journal *journal.Journal
	listed  func() bool
	logger  log.Interface
	retry   time.Duration
}

// NewKeeper registers the methods of a journal with mux. Listed reports whether the
// platform's list of daemons names this one: homes must be able to learn of every
// journal that is in use.
func NewKeeper(j *journal.Journal, listed func() bool, mux peer.Mux, logger log.Interface) *Keeper {
	k := &Keeper{journal: j, listed: listed, logger: logger, retry: diskRetry}
	mux.Handle(methodFence, k.serveFence)
	mux.Handle(methodAppend, k.serveAppend)
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

// usable reports whether homes may write here. A journal that was in use before has
// been listed.
func (k *Keeper) usable() bool { return k.journal.Used() || k.listed() }

func (k *Keeper) serveFence(_ context.Context, s peer.Stream) error {
	var f journal.Fence
	if err := s.Recv(&f); err != nil {
		return err
	}
	if !k.usable() {
		return verdict.Refuse(verdict.Stopping, "the journal is not listed at the platform yet")
	}
	before, covers, err := k.journal.Take(f, time.Now())
	if errors.Is(err, journal.ErrFenced) {
		return s.Send(fenceReply{Held: before})
	}
	if err != nil {
		k.logger.WithError(err).WithField("shard", f.Shard).Error("fence not written")
		return err
	}
	return s.Send(fenceReply{Held: f, Before: before, Covers: covers, Born: k.journal.Born()})
}

func (k *Keeper) serveHolder(_ context.Context, s peer.Stream) error {
	var request shardRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	return s.Send(k.journal.Holder(request.Shard))
}

func (k *Keeper) serveAppend(_ context.Context, s peer.Stream) error {
	var request appendRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	err := k.journal.Append(request.Fence, request.Covers)
	if errors.Is(err, journal.ErrFenced) {
		return s.Send(appendReply{Refused: true, Held: k.journal.Holder(request.Fence.Shard)})
	}
	if err != nil {
		k.logger.WithError(err).Error("journal not written")
		return err
	}
	return s.Send(appendReply{})
}
