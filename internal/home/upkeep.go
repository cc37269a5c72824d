package home

import (
	"maps"
	"slices"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
)

// upkeep claims shards and notices lost ones, ends programs whose time is over,
// and sends release orders to engines.
func (h *Home) upkeep() {
	h.claimOwn()
	for _, sh := range h.held() {
		sh.press(time.Now(), h.cfg.HandoverBusy, h.cfg.HandoverBusy)
		h.endIdle(sh)
		h.release(sh)
		h.purge(sh)
		h.collect(sh)
		h.check(sh, time.Now())
		sh.trim(time.Now())
	}
}

// keepIdle is how long the history of an idle program stays in memory.
const keepIdle = 30 * time.Second

// trim frees what idle programs hold in memory and can be read back.
func (sh *shard) trim(now time.Time) {
	sh.mu.Lock()
	programs := slices.Collect(maps.Values(sh.programs))
	sh.mu.Unlock()
	for _, p := range programs {
		p.trim(now)
	}
}

// trim frees the history and the last answer of an idle program.
func (p *program) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastUsed) < keepIdle || (p.run != nil && !p.run.settled) {
		return
	}
	p.run = nil
	p.history, p.loaded = nil, false
}

// collectInterval is the time between two looks for unused segments.
const collectInterval = 10 * time.Second

// collect lets the journal delete unused segments, once in a while.
func (h *Home) collect(sh *shard) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.collecting || time.Since(sh.collected) < collectInterval {
		return
	}
	sh.collecting = true
	h.work.Go(func() {
		if err := sh.journal.CollectGarbage(sh.ctx); err != nil {
			h.log.WithField("shard", string(sh.id)).WithError(err).Debug("segments not collected")
		}
		sh.mu.Lock()
		defer sh.mu.Unlock()
		sh.collecting = false
		sh.collected = time.Now()
	})
}

// endIdle ends programs that are idle beyond their entry's limit, and those of
// retired entries that have nothing under way.
func (h *Home) endIdle(sh *shard) {
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
		if ok && h.over(sh, id, entry) {
			_, _ = h.endTree(sh, id)
		}
	}
}

// over reports whether the program's time is over.
func (h *Home) over(sh *shard, id string, entry structs.Entry) bool {
	p, err := sh.program(id)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.run != nil && !p.run.settled) || len(p.orders) > 0 {
		p.lastUsed = time.Now()
		return false
	}
	idle := time.Duration(entry.IdleSeconds) * time.Second
	return entry.Retired || (idle > 0 && time.Since(p.lastUsed) > idle)
}

// purge removes the records of programs that ended long ago and hold no engine
// memory.
func (h *Home) purge(sh *shard) {
	oldest := time.Now().Add(-h.cfg.KeepEnded).Unix()
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

// hasChild reports whether a program under id is on record.
func hasChild(s *journal.State, id string) bool {
	for _, p := range s.Programs {
		if p.Parent == id {
			return true
		}
	}
	return false
}
