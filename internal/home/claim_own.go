package home

import (
	"fmt"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/member"
	"ibisline/internal/structs"
)

// claimRetry is the wait after a claim of the upkeep that failed.
const claimRetry = time.Second

// claimOwn claims shards that this daemon is the home of without waiting for a
// request, so that their programs end when idle and their engine memory is
// released. It looks at a bounded number of shards a round.
func (h *Home) claimOwn() {
	h.noticeChange()
	left := h.cfg.ClaimRate
	for i := 0; i < h.cfg.Shards && left > 0; i++ {
		id := structs.ShardID(fmt.Sprintf("%s.%d", h.cfg.Region, i))
		if !h.claimable(id) {
			continue
		}
		left--
		h.work.Go(func() { h.claimStored(id) })
	}
}

// noticeChange forgets what was found under a former membership.
func (h *Home) noticeChange() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.changed:
		h.changed = h.deps.View.Changed()
		clear(h.settled)
	default:
	}
}

// claimable reports whether the upkeep should try to claim the shard now, and
// keeps the next rounds from doing the same.
func (h *Home) claimable(id structs.ShardID) bool {
	if !h.owns(id) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining || h.shards[id] != nil || h.claims[id] != nil {
		return false
	}
	until, settled := h.settled[id]
	if settled && (until.IsZero() || time.Now().Before(until)) {
		return false
	}
	h.settled[id] = time.Now().Add(claimRetry)
	return true
}

// claimStored claims the shard if its object exists.
func (h *Home) claimStored(id structs.ShardID) {
	head, err := journal.Read(h.ctx, h.deps.Store, id)
	if err != nil {
		return
	}
	if head.Version == 0 {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.settled[id] = time.Time{}
		return
	}
	_, _ = h.acquire(h.ctx, id)
}

// Settled reports whether this home holds all stored shards that the membership
// gives it, and no others. It is false for a while after each change.
func (h *Home) Settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.changed:
		return false
	default:
	}
	if len(h.claims) > 0 {
		return false
	}
	for id := range h.shards {
		if !h.owns(id) {
			return false
		}
	}
	for i := range h.cfg.Shards {
		id := structs.ShardID(fmt.Sprintf("%s.%d", h.cfg.Region, i))
		absent, known := h.settled[id]
		stored := !known || !absent.IsZero()
		if h.owns(id) && h.shards[id] == nil && stored {
			return false
		}
	}
	return true
}

// owns reports whether the membership names this daemon as the shard's home.
func (h *Home) owns(id structs.ShardID) bool {
	owner, ok := member.Home(h.deps.View, id)
	return ok && owner.Name == h.deps.Self
}
