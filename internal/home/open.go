package home

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/budget"
	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Open creates a program. It is idempotent for the same program identifier.
func (h *Home) Open(ctx context.Context, r structs.OpenRequest) (structs.OpenReply, error) {
	id, ok := structs.ShardOf(r.Program)
	if !ok {
		return structs.OpenReply{}, verdict.Refuse(verdict.BadRequest, "malformed program identifier %q", r.Program)
	}
	sh, err := h.acquire(ctx, id)
	if err != nil {
		return structs.OpenReply{}, err
	}
	entry, err := h.activeEntry(r.Entry)
	if err != nil {
		return structs.OpenReply{}, err
	}
	end, err := sh.beginWork()
	if err != nil {
		return structs.OpenReply{}, err
	}
	defer end()
	if err := sh.journal.Reserve(programRecordBytes, newWorkShare); err != nil {
		return structs.OpenReply{}, refuseCommit(err, "new program")
	}
	seq, err := sh.grantUpdate(r.Program, func(s *journal.State) error { return h.addProgram(s, r, entry) })
	if err != nil {
		return structs.OpenReply{}, h.confirmRefusal(ctx, sh, refuseUpdate(err, "new program"))
	}
	if err := sh.journal.WaitUnlessDown(ctx, seq); err != nil {
		return structs.OpenReply{}, refuseCommit(err, "new program")
	}
	return structs.OpenReply{Program: r.Program}, nil
}

// programRecordBytes and orderRecordBytes are estimates of the encoded size of a
// program and of a non-repeatable call.
const (
	programRecordBytes = 512
	orderRecordBytes   = 512 + maxInlineBodyBytes
)

// newWorkShare is the fraction of a shard object that new programs and calls may fill.
// The rest is kept free for the turns and outcomes of programs that are already open.
const newWorkShare = 0.6

// refuseUpdate returns err if it is a refusal by the update function, and converts it
// with refuseCommit otherwise.
func refuseUpdate(err error, what string) error {
	var refusal *verdict.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuseCommit(err, what)
}

// addProgram adds the record of a new program. It does nothing if the same program
// exists already.
func (h *Home) addProgram(s *journal.State, r structs.OpenRequest, entry structs.Entry) error {
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

// depth returns the number of programs on the path from id up to its root, including
// both.
func depth(s *journal.State, id string) int {
	n := 0
	for id != "" && n <= maxDepth {
		n++
		id = s.Programs[id].Parent
	}
	return n
}

// headroomDivisor divides a budget to yield the headroom that is granted in advance, so
// that work continues for a while when the platform accepts no writes.
const headroomDivisor = 8

// headroom returns the number of tokens to grant beyond the current need.
func (h *Home) headroom(entry structs.Entry, need int) int {
	room := max(h.cfg.GrantTokens, 2*need)
	if entry.BudgetTokens != budget.Unlimited {
		room = max(room, entry.BudgetTokens/headroomDivisor)
	}
	return room
}
