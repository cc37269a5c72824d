package home

import (
	"fmt"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/member"
	"ibisline/internal/structs"
)

// claimRetryInterval is the delay before the upkeep retries a failed claim.
const claimRetryInterval = time.Second

// claimOwnedShards claims the shards that this daemon is the home of without waiting
// for a request, so that their idle programs end and their KV cache is released.
// It tries at most ClaimsPerRound shards per call.
func (h *Home) claimOwnedShards() {
	h.resetOnMembershipChange()
	left := h.cfg.ClaimsPerRound
	for i := 0; i < h.cfg.Shards && left > 0; i++ {
		id := structs.ShardID(fmt.Sprintf("%s.%d", h.cfg.Region, i))
		if !h.claimable(id) {
			continue
		}
		left--
		h.work.Go(func() { h.claimStored(id) })
	}
}

// resetOnMembershipChange clears the claim results of the previous membership.
func (h *Home) resetOnMembershipChange() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.membershipChanged:
		h.membershipChanged = h.deps.View.Changed()
		clear(h.skipClaimUntil)
	default:
	}
}

// claimable reports whether the upkeep should try to claim the shard now. If so, it
// defers the next attempt by claimRetryInterval.
func (h *Home) claimable(id structs.ShardID) bool {
	if !h.owns(id) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining || h.shards[id] != nil || h.claims[id] != nil {
		return false
	}
	until, skip := h.skipClaimUntil[id]
	if skip && (until.IsZero() || time.Now().Before(until)) {
		return false
	}
	h.skipClaimUntil[id] = time.Now().Add(claimRetryInterval)
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
		h.skipClaimUntil[id] = time.Time{}
		return
	}
	_, _ = h.acquire(h.ctx, id)
}

// Settled reports whether this home holds exactly the stored shards that the membership
// assigns to it. It is false for a short time after each membership change.
func (h *Home) Settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.membershipChanged:
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
		until, skip := h.skipClaimUntil[id]
		stored := !skip || !until.IsZero()
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
