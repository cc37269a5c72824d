package home

import (
	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// sendReleases sends a release order to each engine that may hold KV cache of an ended
// program, unless one is already in progress.
func (h *Home) sendReleases(sh *shard) {
	for id, engines := range h.pendingReleases(sh) {
		p, err := sh.program(id)
		if err != nil {
			continue
		}
		for _, engine := range engines {
			h.sendRelease(sh, p, engine)
		}
	}
}

// RecordHolder implements dispatch.HolderRecords. It records that engine may hold KV cache
// of a program with a turn in progress here. The record need not be stored before the
// engine is contacted: a home that takes over the shard without a handover sends
// release orders to every engine.
func (h *Home) RecordHolder(program, engine string) error {
	id, _ := structs.ShardOf(program)
	h.mu.Lock()
	sh := h.shards[id]
	h.mu.Unlock()
	if sh == nil {
		return notHome("shard %s is not held here", id)
	}
	_, err := sh.journal.Update(func(s *journal.State) error {
		record := s.Edit(program)
		if record == nil || record.Ended {
			return verdict.Refuse(verdict.ProgramEnded, "program %s has ended", program)
		}
		record.AddEngine(engine)
		return nil
	})
	return err
}

// pendingReleases returns the engines that have not confirmed a release, by ended
// program. For a program that may have run at an unknown engine, these are all engines.
func (h *Home) pendingReleases(sh *shard) map[string][]string {
	pending := map[string][]string{}
	_, _ = sh.journal.UpdateIf(func(s *journal.State) bool {
		changed := false
		for id, p := range s.Programs {
			if !p.Ended {
				continue
			}
			if p.EnginesIncomplete {
				h.addAllEngines(s.Edit(id))
				changed = true
			}
			if len(p.Engines) > 0 {
				pending[id] = append([]string(nil), p.Engines...)
			}
		}
		return changed
	})
	return pending
}

// addAllEngines records every engine in the platform's server list as a possible
// holder.
func (h *Home) addAllEngines(p *journal.Program) {
	for _, server := range h.deps.View.Servers() {
		if server.Kind == structs.KindEngine {
			p.AddEngine(server.Name)
		}
	}
	p.EnginesIncomplete = false
}

// sendRelease sends one release order and records its confirmation.
func (h *Home) sendRelease(sh *shard, p *program, engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.releases[engine] || (p.run != nil && !p.run.durable) {
		return
	}
	p.releases[engine] = true
	h.work.Go(func() {
		err := h.deps.Router.ReleaseKV(sh.ctx, engine, p.id)
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
