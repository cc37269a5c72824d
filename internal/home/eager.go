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
	budget := h.cfg.ClaimRate
	for i := 0; i < h.cfg.Shards && budget > 0; i++ {
		id := structs.ShardID(fmt.Sprintf("%s.%d", h.cfg.Region, i))
		if !h.claimable(id) {
			continue
		}
		budget--
		h.work.Go(func() { h.claimStored(id) })
	}
}

// noticeChange forgets what was found under a former membership.
func (h *Home) noticeChange() {
	select {
	case <-h.changed:
		h.changed = h.deps.View.Changed()
		h.mu.Lock()
		defer h.mu.Unlock()
		clear(h.settled)
	default:
	}
}

// claimable reports whether the upkeep should try to claim the shard now, and
// keeps the next rounds from doing the same.
func (h *Home) claimable(id structs.ShardID) bool {
	owner, ok := member.Home(h.deps.View, id)
	if !ok || owner.Name != h.deps.Self {
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
