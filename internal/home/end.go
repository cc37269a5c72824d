package home

import (
	"context"
	"maps"
	"slices"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// End implements Service. It ends the program and its sub-agents, cancels their
// turns under way, and is idempotent.
func (h *Home) End(ctx context.Context, id string) error {
	sh, _, err := h.enter(ctx, id)
	if err != nil {
		return err
	}
	seq, err := h.endTree(sh, id)
	if err != nil {
		return refuseUpdate(err, "end of the program")
	}
	if err := sh.journal.Try(ctx, seq); err != nil {
		return refuseCommit(err, "end of the program")
	}
	return nil
}

// endTree marks a program and those below it as ended. The engines that hold
// their KV memory stay on record until each confirmed its release.
func (h *Home) endTree(sh *shard, id string) (int64, error) {
	var ended []string
	seq, err := sh.journal.Update(func(s *journal.State) error {
		if _, ok := s.Programs[id]; !ok {
			return verdict.Refuse(verdict.UnknownProgram, "no program %s", id)
		}
		for other, p := range s.Programs {
			if !p.Ended && below(s, other, id) {
				p = s.Edit(other)
				p.Ended = true
				p.EndedAt = time.Now().Unix()
				ended = append(ended, other)
			}
		}
		return nil
	})
	for _, other := range ended {
		sh.cancelRun(other)
	}
	return seq, err
}

// below reports whether id is top or one of the programs under it.
func below(s *journal.State, id, top string) bool {
	for range maxDepth + 1 {
		if id == top {
			return true
		}
		p, ok := s.Programs[id]
		if !ok || p.Parent == "" {
			return false
		}
		id = p.Parent
	}
	return false
}

// cancelRun ends the turn under way of an ended program.
func (sh *shard) cancelRun(id string) {
	p, err := sh.program(id)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil && !p.run.settled {
		p.run.cancel()
	}
}

// upkeep claims shards, ends programs whose time is over, and sends release
// orders to engines.
func (h *Home) upkeep() {
	h.claimOwn()
	for _, sh := range h.held() {
		sh.press(time.Now(), h.cfg.HandoverBusy, h.cfg.HandoverBusy)
		h.endIdle(sh)
		h.release(sh)
		h.purge(sh)
		h.collect(sh)
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
		if err := sh.journal.Collect(sh.ctx); err != nil {
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

// release sends a release order to each engine that may hold KV memory of an
// ended program, unless one is under way.
func (h *Home) release(sh *shard) {
	for id, engines := range h.owed(sh) {
		p, err := sh.program(id)
		if err != nil {
			continue
		}
		for _, engine := range engines {
			h.sendRelease(sh, p, engine)
		}
	}
}

// owed lists the engines that have not confirmed a release, by ended program.
// A program that may have run at an unknown engine owes one to every engine.
func (h *Home) owed(sh *shard) map[string][]string {
	owed := map[string][]string{}
	_, _ = sh.journal.UpdateIf(func(s *journal.State) bool {
		changed := false
		for id, p := range s.Programs {
			if !p.Ended {
				continue
			}
			if p.AnyEngine {
				h.addAllEngines(s.Edit(id))
				changed = true
			}
			if len(p.Engines) > 0 {
				owed[id] = append([]string(nil), p.Engines...)
			}
		}
		return changed
	})
	return owed
}

// addAllEngines notes every engine of the platform's list.
func (h *Home) addAllEngines(p *journal.Program) {
	for _, server := range h.deps.View.Servers() {
		if server.Kind == structs.KindEngine {
			p.AddEngine(server.Name)
		}
	}
	p.AnyEngine = false
}

// sendRelease sends one release order and notes its confirmation.
func (h *Home) sendRelease(sh *shard, p *program, engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.releases[engine] || (p.run != nil && !p.run.settled) {
		return
	}
	p.releases[engine] = true
	h.work.Go(func() {
		err := h.deps.Router.Forget(sh.ctx, engine, p.id)
		if err == nil {
			h.counts.releases.Inc()
			_, _ = sh.journal.Update(func(s *journal.State) error {
				if record := s.Edit(p.id); record != nil {
					record.DropEngine(engine)
				}
				return nil
			})
		}
		p.mu.Lock()
		delete(p.releases, engine)
		p.mu.Unlock()
	})
}

// purge removes the records of programs that ended long ago and hold no engine
// memory.
func (h *Home) purge(sh *shard) {
	oldest := time.Now().Add(-h.cfg.KeepEnded).Unix()
	var gone []string
	_, _ = sh.journal.UpdateIf(func(s *journal.State) bool {
		for id, p := range s.Programs {
			if p.Ended && p.EndedAt < oldest && len(p.Engines) == 0 && !p.AnyEngine && !hasChild(s, id) {
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
