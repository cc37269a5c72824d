package home

import (
	"context"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/verdict"
)

// End ends the program and its sub-agents and cancels their running turns. It is
// idempotent.
func (h *Home) End(ctx context.Context, id string) error {
	sh, _, err := h.findAndTouch(ctx, id)
	if err != nil {
		return err
	}
	seq, err := h.endTree(sh, id)
	if err != nil {
		return refuseUpdate(err, "end of the program")
	}
	if err := sh.journal.WaitUnlessDown(ctx, seq); err != nil {
		return refuseCommit(err, "end of the program")
	}
	return nil
}

// endTree marks a program and all its sub-agents as ended. The engines that hold their
// KV cache stay on record until each has confirmed the release.
func (h *Home) endTree(sh *shard, id string) (int64, error) {
	var ended []string
	seq, err := sh.journal.Update(func(s *journal.State) error {
		if _, ok := s.Programs[id]; !ok {
			return verdict.Refuse(verdict.UnknownProgram, "no program %s", id)
		}
		for other, p := range s.Programs {
			if !p.Ended && inSubtree(s, other, id) {
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

// inSubtree reports whether id is top or one of its descendants.
func inSubtree(s *journal.State, id, top string) bool {
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

// cancelRun cancels the running turn of an ended program.
func (sh *shard) cancelRun(id string) {
	p, err := sh.program(id)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil && !p.run.durable {
		p.run.cancel()
	}
}
