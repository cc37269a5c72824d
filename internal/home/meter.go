package home

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/budget"
	"ibisline/internal/journal"
	"ibisline/internal/verdict"
)

// meters hold what the programs of one tree have reserved.
type meters struct {
	tokens meter
	calls  meter
	turns  int // turns under way
}

// meter is the part of one budget that need not last. durable is the grant that
// is known to be stored; spending beyond it could be forgotten by a takeover.
type meter struct {
	reserved   int
	durable    int
	pending    int
	pendingSeq int64
}

// settle notes the stored grant, given the newest durable change.
func (m *meter) settle(committed int64) {
	if m.pendingSeq > 0 && committed >= m.pendingSeq {
		m.durable = max(m.durable, m.pending)
		m.pendingSeq = 0
	}
}

// granted notes that change seq raised the grant.
func (m *meter) granted(grant int, seq int64) {
	m.pending = grant
	m.pendingSeq = seq
}

// covers reports whether amount fits into the stored grant.
func (m *meter) covers(e budget.Escrow, amount int) bool {
	return e.Spent+m.reserved+amount <= m.durable
}

// tree returns the meters of the tree under root. It is called inside View or
// Update, and before the first change of the root's grants, so that the grants
// it finds are those that were stored when the shard was claimed.
func (sh *shard) tree(s *journal.State, root string) *meters {
	m, ok := sh.meters[root]
	if ok {
		return m
	}
	m = &meters{}
	if p, ok := s.Programs[root]; ok {
		m.tokens.durable = p.Tokens.Granted
		m.calls.durable = p.Calls.Granted
	}
	sh.meters[root] = m
	return m
}

// need is a request for a part of one budget.
type need struct {
	root     string
	amount   int
	limit    int // budget.Unlimited for none
	headroom int
	escrow   func(*journal.Program) *budget.Escrow
	meter    func(*meters) *meter
}

func tokenEscrow(p *journal.Program) *budget.Escrow { return &p.Tokens }
func tokenMeter(m *meters) *meter                   { return &m.tokens }
func callEscrow(p *journal.Program) *budget.Escrow  { return &p.Calls }
func callMeter(m *meters) *meter                    { return &m.calls }

// errSpent means that a budget does not allow the amount.
var errSpent = errors.New("budget is spent")

// reserve sets aside a part of a budget. Inside the stored grant it needs no
// write; else it extends the grant and waits until that is stored, because a
// home that takes over counts only what is stored as spent.
func (sh *shard) reserve(ctx context.Context, n need) error {
	for {
		ok, err := sh.reserveGranted(n)
		if ok || err != nil {
			return err
		}
		seq, err := sh.extend(n)
		if err != nil {
			return err
		}
		if err := sh.journal.Try(ctx, seq); err != nil {
			return refuseCommit(err, "budget grant")
		}
	}
}

// reserveGranted reserves inside the stored grant, and returns false when the
// grant has to be extended.
func (sh *shard) reserveGranted(n need) (ok bool, err error) {
	committed := sh.journal.Committed()
	sh.journal.View(func(s *journal.State) {
		root, known := s.Programs[n.root]
		if !known {
			err = verdict.Refuse(verdict.UnknownProgram, "no program %s", n.root)
			return
		}
		m := n.meter(sh.tree(s, n.root))
		m.settle(committed)
		escrow := *n.escrow(root)
		if n.limit != budget.Unlimited && escrow.Left(n.limit, m.reserved) < n.amount {
			err = errSpent
			return
		}
		ok = n.limit == budget.Unlimited || m.covers(escrow, n.amount)
		if ok {
			m.reserved += n.amount
		}
	})
	return ok, err
}

// extend raises the grant in the working state.
func (sh *shard) extend(n need) (int64, error) {
	return sh.grantUpdate(n.root, func(s *journal.State) error {
		root := s.Edit(n.root)
		if root == nil {
			return verdict.Refuse(verdict.UnknownProgram, "no program %s", n.root)
		}
		m := n.meter(sh.tree(s, n.root))
		n.escrow(root).Extend(n.limit, m.reserved, n.amount, n.headroom)
		return nil
	})
}

// grantUpdate applies change and notes the grants that it leaves as pending.
func (sh *shard) grantUpdate(root string, change func(*journal.State) error) (int64, error) {
	return sh.journal.UpdateSeq(func(s *journal.State, seq int64) error {
		m := sh.tree(s, root)
		if err := change(s); err != nil {
			return err
		}
		p, ok := s.Programs[root]
		if !ok {
			return nil
		}
		m.tokens.granted(p.Tokens.Granted, seq)
		m.calls.granted(p.Calls.Granted, seq)
		return nil
	})
}

// unreserve gives a reservation back.
func (sh *shard) unreserve(n need) {
	sh.journal.View(func(s *journal.State) { n.meter(sh.tree(s, n.root)).reserved -= n.amount })
}

// refuseCommit turns the failure of a commit that had to come before any send
// into a refusal.
func refuseCommit(err error, what string) error {
	switch {
	case errors.Is(err, journal.ErrDown):
		return verdict.Refuse(verdict.PlatformDown, "%s cannot be stored", what).RetryIn(retrySoon)
	case errors.Is(err, journal.ErrLost):
		return notHome("shard was lost while storing a %s", what)
	case errors.Is(err, journal.ErrFull):
		return verdict.Refuse(verdict.QueueFull, "shard is full, %s cannot be stored", what).RetryIn(retryLater)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return verdict.Refuse(verdict.DeadlinePassed, "%s was not stored in time", what).RetryIn(retrySoon)
	default:
		return verdict.Wrap(err, verdict.NotRun, verdict.Internal, what)
	}
}
