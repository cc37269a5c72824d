package home

import (
	"maps"
	"slices"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
)

// upkeep is the periodic maintenance: it claims shards, detects lost ones, ends expired
// programs, sends release orders and frees unused memory and storage.
func (h *Home) upkeep() {
	h.claimOwnedShards()
	for _, sh := range h.heldShards() {
		sh.updateAdmission(time.Now(), h.cfg.HandoverMaxBusy, h.cfg.HandoverMaxBusy)
		h.endExpired(sh)
		h.sendReleases(sh)
		h.purgeEnded(sh)
		h.collectSegments(sh)
		h.checkHolder(sh, time.Now())
		sh.evictIdle(time.Now())
	}
}

// historyIdleTimeout is how long the history of an idle program stays in memory.
const historyIdleTimeout = 30 * time.Second

// evictIdle evicts the in-memory state of idle programs that can be read back from the
// journal.
func (sh *shard) evictIdle(now time.Time) {
	sh.mu.Lock()
	programs := slices.Collect(maps.Values(sh.programs))
	sh.mu.Unlock()
	for _, p := range programs {
		p.evictIfIdle(now)
	}
}

// evictIfIdle evicts the history and the last answer if the program is idle.
func (p *program) evictIfIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastUsed) < historyIdleTimeout || (p.run != nil && !p.run.durable) {
		return
	}
	p.run = nil
	p.history, p.loaded = nil, false
}

// segmentCollectInterval is the interval between two collections of unused segments.
const segmentCollectInterval = 10 * time.Second

// collectSegments deletes unused segments in the background, at most once per
// segmentCollectInterval.
func (h *Home) collectSegments(sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.collecting || time.Since(sh.collectedAt) < segmentCollectInterval {
		return
	}
	sh.collecting = true
	h.work.Go(func() {
		if err := sh.journal.CollectGarbage(sh.ctx); err != nil {
			h.log.WithField("shard", string(sh.id)).WithError(err).Debug("unused segments not deleted")
		}
		sh.mu.Lock()
		defer sh.mu.Unlock()
		sh.collecting = false
		sh.collectedAt = time.Now()
	})
}

// endExpired ends the programs that are idle for longer than their entry allows, and
// those of retired entries that have no work in progress.
func (h *Home) endExpired(sh *shard) {
	var open []string
	entries := map[string]string{}
	sh.journal.View(func(s *journal.State) {
		for id, p := range s.Programs {
			if !p.Ended {
				open = append(open, id)
				entries[id] = p.Entry
			}
		}
	})
	for _, id := range open {
		entry, ok := h.deps.Catalogue.Entry(entries[id])
		if ok && h.expired(sh, id, entry) {
			_, _ = h.endTree(sh, id)
		}
	}
}

// expired reports whether the program should end: its entry is retired or its idle time
// has passed. A program with work in progress is not expired, and the work counts as
// activity.
func (h *Home) expired(sh *shard, id string, entry structs.Entry) bool {
	p, err := sh.program(id)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.run != nil && !p.run.durable) || len(p.orders) > 0 {
		p.lastUsed = time.Now()
		return false
	}
	idle := time.Duration(entry.IdleSeconds) * time.Second
	return entry.Retired || (idle > 0 && time.Since(p.lastUsed) > idle)
}

// purgeEnded deletes the records of programs that ended more than EndedRetention ago
// and hold no KV cache.
func (h *Home) purgeEnded(sh *shard) {
	oldest := time.Now().Add(-h.cfg.EndedRetention).Unix()
	var gone []string
	_, _ = sh.journal.UpdateIf(func(s *journal.State) bool {
		for id, p := range s.Programs {
			if p.Ended && p.EndedAt < oldest && len(p.Engines) == 0 && !p.EnginesIncomplete && !hasChild(s, id) {
				delete(s.Programs, id)
				gone = append(gone, id)
			}
		}
		return len(gone) > 0
	})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, id := range gone {
		delete(sh.programs, id)
	}
}

// hasChild reports whether a sub-agent of id is on record.
func hasChild(s *journal.State, id string) bool {
	for _, p := range s.Programs {
		if p.Parent == id {
			return true
		}
	}
	return false
}
