package home

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/budget"
	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Open implements Service. It is idempotent for the same program identifier.
func (h *Home) Open(ctx context.Context, r structs.OpenRequest) (structs.OpenReply, error) {
	id, ok := structs.ShardOf(r.Program)
	if !ok {
		return structs.OpenReply{}, verdict.Refuse(verdict.BadRequest, "malformed program identifier %q", r.Program)
	}
	sh, err := h.acquire(ctx, id)
	if err != nil {
		return structs.OpenReply{}, err
	}
	entry, err := h.entry(r.Entry)
	if err != nil {
		return structs.OpenReply{}, err
	}
	end, err := sh.begin()
	if err != nil {
		return structs.OpenReply{}, err
	}
	defer end()
	if err := sh.journal.Reserve(programBytes, openShare); err != nil {
		return structs.OpenReply{}, refuseCommit(err, "new program")
	}
	seq, err := sh.grantUpdate(r.Program, func(s *journal.State) error { return h.add(s, r, entry) })
	if err != nil {
		return structs.OpenReply{}, h.confirmed(ctx, sh, refuseUpdate(err, "new program"))
	}
	if err := sh.journal.WaitUnlessDown(ctx, seq); err != nil {
		return structs.OpenReply{}, refuseCommit(err, "new program")
	}
	return structs.OpenReply{Program: r.Program}, nil
}

// programBytes and orderBytes estimate the records of a program and of a call.
const (
	programBytes = 512
	orderBytes   = 512 + inlineBody
)

// openShare is the part of a shard object that programs and calls may fill. The
// rest is for what programs already open have to store.
const openShare = 0.6

// refuseUpdate keeps the refusal of a change that was not made.
func refuseUpdate(err error, what string) error {
	var refusal *verdict.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuseCommit(err, what)
}

// add writes the record of a new program, or does nothing for a known one.
func (h *Home) add(s *journal.State, r structs.OpenRequest, entry structs.Entry) error {
	if known, ok := s.Programs[r.Program]; ok {
		if known.Entry != r.Entry || known.Parent != r.Parent {
			return verdict.Refuse(verdict.BadRequest, "program %s was opened under entry %q", r.Program, known.Entry)
		}
		if known.Ended {
			return verdict.Refuse(verdict.ProgramEnded, "program %s has ended", r.Program)
		}
		return nil
	}
	p := &journal.Program{Entry: entry.Name, Owner: entry.Owner, Parent: r.Parent, Root: r.Program}
	if r.Parent != "" {
		parent, ok := s.Programs[r.Parent]
		if !ok {
			return verdict.Refuse(verdict.UnknownProgram, "no parent program %s in this shard", r.Parent)
		}
		if parent.Ended {
			return verdict.Refuse(verdict.ProgramEnded, "parent program %s has ended", r.Parent)
		}
		if depth(s, r.Parent) >= maxDepth {
			return verdict.Refuse(verdict.BadRequest, "sub-agents are nested deeper than %d", maxDepth)
		}
		p.Root = parent.Root
	} else {
		p.Tokens.Extend(entry.BudgetTokens, 0, 0, h.headroom(entry, 0))
		p.Calls.Extend(entry.BudgetCalls, 0, 0, h.cfg.GrantCalls)
	}
	s.Programs[r.Program] = p
	return nil
}

// depth is the number of programs from the one given up to its root.
func depth(s *journal.State, id string) int {
	n := 0
	for id != "" && n <= maxDepth {
		n++
		id = s.Programs[id].Parent
	}
	return n
}

// headroomShare is the part of a budget that is granted ahead, so that work
// goes on for a while when the platform takes no writes.
const headroomShare = 8

// headroom is what a grant covers beyond the present need, in tokens.
func (h *Home) headroom(entry structs.Entry, need int) int {
	room := max(h.cfg.GrantTokens, 2*need)
	if entry.BudgetTokens != budget.Unlimited {
		room = max(room, entry.BudgetTokens/headroomShare)
	}
	return room
}
