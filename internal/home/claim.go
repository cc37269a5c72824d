package home

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/journal"
	"ibisline/internal/member"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// claim is a claim in progress, shared by the requests that wait for it.
type claim struct {
	done  chan struct{}
	shard *shard
	err   error
}

// acquire returns the held shard. It claims the shard first if the membership names
// this daemon as its home.
func (h *Home) acquire(ctx context.Context, id structs.ShardID) (*shard, error) {
	select {
	case <-h.started:
	default:
		return nil, notHome("daemon is starting")
	}
	c, held, err := h.joinClaim(id)
	if held != nil || err != nil {
		return held, err
	}
	select {
	case <-c.done:
		return c.shard, c.err
	case <-ctx.Done():
		return nil, notHome("shard %s is being claimed", id)
	}
}

// joinClaim returns the held shard or the claim in progress, and starts a claim if
// there is neither.
func (h *Home) joinClaim(id structs.ShardID) (*claim, *shard, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sh, ok := h.shards[id]; ok && !sh.journal.Lost() {
		return nil, sh, nil
	}
	if c, ok := h.claims[id]; ok {
		return c, nil, nil
	}
	if h.draining || h.ctx.Err() != nil {
		return nil, nil, notHome("daemon is stopping")
	}
	owner, ok := member.Home(h.deps.View, id)
	if !ok || owner.Name != h.deps.Self {
		return nil, nil, notHome("home of shard %s is %q", id, owner.Name)
	}
	c := &claim{done: make(chan struct{})}
	h.claims[id] = c
	h.work.Go(func() { h.runClaim(id, c) })
	return c, nil, nil
}

// runClaim claims the shard and publishes the result to the waiting requests.
func (h *Home) runClaim(id structs.ShardID, c *claim) {
	held, err := h.claimShard(h.ctx, id)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		c.shard = h.startShard(id, held)
		h.shards[id] = c.shard
	}
	c.err = err
	delete(h.claims, id)
	close(c.done)
}

// claimShard reads the shard object, asks a live holder to hand the shard over, and
// claims it. The claim is a conditional write on the version that was read, so a
// concurrent write of a former holder is either part of the claimed state or fails.
func (h *Home) claimShard(ctx context.Context, id structs.ShardID) (*journal.Shard, error) {
	head, err := journal.Read(ctx, h.deps.Store, id)
	if err != nil {
		return nil, refuseClaim(err)
	}
	switch h.requestHandover(ctx, id, head.State.Home) {
	case holderBusy:
		return nil, notHome("shard %s is being handed over", id)
	case holderReleased:
		head, err = journal.Read(ctx, h.deps.Store, id)
		if err != nil {
			return nil, refuseClaim(err)
		}
	case holderGone:
	}
	held, err := journal.Claim(ctx, h.deps.Store, head, h.deps.Self, h.cfg.Journal)
	if err != nil {
		return nil, refuseClaim(err)
	}
	h.counts.claims.Inc()
	h.log.WithField("shard", string(id)).WithField("epoch", head.State.Epoch).Info("shard claimed")
	return held, nil
}

// refuseClaim converts a claim error into a refusal. The verdict is NotRun, because
// nothing is sent before a shard is held.
func refuseClaim(err error) error {
	if errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrUnknown) {
		return verdict.Wrap(err, verdict.NotRun, verdict.PlatformDown, "shard cannot be claimed").RetryIn(retrySoon)
	}
	if errors.Is(err, journal.ErrLost) {
		return notHome("another daemon claimed the shard")
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.Internal, "shard cannot be claimed").RetryIn(retryLater)
}

// startShard starts the commit loop of a claimed shard.
func (h *Home) startShard(id structs.ShardID, held *journal.Shard) *shard {
	ctx, cancel := context.WithCancel(h.ctx)
	sh := &shard{
		id:       id,
		journal:  held,
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		meters:   map[string]*treeMeters{},
		programs: map[string]*program{},
	}
	h.work.Go(func() {
		defer close(sh.done)
		defer h.removeShard(sh)
		defer cancel()
		_ = held.Run(ctx)
	})
	return sh
}

// removeShard removes a shard that is no longer held.
func (h *Home) removeShard(sh *shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shards[sh.id] == sh {
		delete(h.shards, sh.id)
	}
	h.counts.drops.Inc()
	h.log.WithField("shard", string(sh.id)).Info("shard dropped")
}

// heldShards returns the shards that are currently held.
func (h *Home) heldShards() []*shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*shard
	for _, sh := range h.shards {
		list = append(list, sh)
	}
	return list
}
