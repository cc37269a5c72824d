package home

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/budget"
	"ibisline/internal/journal"
	"ibisline/internal/verdict"
)

// treeMeters are the reservations of one program tree, which shares the budget of its
// root.
type treeMeters struct {
	tokens meter
	calls  meter
	turns  int // turns in progress
}

// meter is the volatile part of one budget. durableGrant is the grant that is known to
// be stored; a takeover would not count spending beyond it. pendingGrant is the grant
// of change pendingSeq, which may not be stored yet.
type meter struct {
	reserved     int
	durableGrant int
	pendingGrant int
	pendingSeq   int64
}

// promotePending makes the pending grant the durable one if its change is committed.
// committed is the sequence number of the newest durable change.
func (m *meter) promotePending(committed int64) {
	if m.pendingSeq > 0 && committed >= m.pendingSeq {
		m.durableGrant = max(m.durableGrant, m.pendingGrant)
		m.pendingSeq = 0
	}
}

// setPending records the grant that change seq leaves.
func (m *meter) setPending(grant int, seq int64) {
	m.pendingGrant = grant
	m.pendingSeq = seq
}

// covers reports whether amount fits into the durable grant.
func (m *meter) covers(e budget.Escrow, amount int) bool {
	return e.Spent+m.reserved+amount <= m.durableGrant
}

// metersOf returns the meters of the tree under root. It must be called inside View or
// Update, and before the first change of the root's grants, so that a new meter starts
// from the grants that were stored when the shard was claimed.
func (sh *shard) metersOf(s *journal.State, root string) *treeMeters {
	m, ok := sh.meters[root]
	if ok {
		return m
	}
	m = &treeMeters{}
	if p, ok := s.Programs[root]; ok {
		m.tokens.durableGrant = p.Tokens.Granted
		m.calls.durableGrant = p.Calls.Granted
	}
	sh.meters[root] = m
	return m
}

// reservation describes an amount to reserve from one budget.
type reservation struct {
	root     string
	amount   int
	limit    int // budget.Unlimited if there is none
	headroom int
	escrow   func(*journal.Program) *budget.Escrow
	meter    func(*treeMeters) *meter
}

func tokenEscrow(p *journal.Program) *budget.Escrow { return &p.Tokens }
func tokenMeter(m *treeMeters) *meter               { return &m.tokens }
func callEscrow(p *journal.Program) *budget.Escrow  { return &p.Calls }
func callMeter(m *treeMeters) *meter                { return &m.calls }

// errBudgetSpent means that the amount exceeds what is left of the budget.
var errBudgetSpent = errors.New("budget is spent")

// reserve reserves an amount of a budget. Within the durable grant this needs no write.
// Otherwise it extends the grant and waits until the extension is stored, because a
// home that takes over counts only the stored grant as spent.
func (sh *shard) reserve(ctx context.Context, res reservation) error {
	for {
		ok, err := sh.reserveGranted(res)
		if ok || err != nil {
			return err
		}
		seq, err := sh.extendGrant(res)
		if err != nil {
			return err
		}
		if err := sh.journal.WaitUnlessDown(ctx, seq); err != nil {
			return refuseCommit(err, "budget grant")
		}
	}
}

// reserveGranted reserves within the durable grant, and returns false if the grant has
// to be extended.
func (sh *shard) reserveGranted(res reservation) (ok bool, err error) {
	committed := sh.journal.CommittedSeq()
	sh.journal.View(func(s *journal.State) {
		root, known := s.Programs[res.root]
		if !known {
			err = verdict.Refuse(verdict.UnknownProgram, "no program %s", res.root)
			return
		}
		m := res.meter(sh.metersOf(s, res.root))
		m.promotePending(committed)
		escrow := *res.escrow(root)
		if res.limit != budget.Unlimited && escrow.Left(res.limit, m.reserved) < res.amount {
			err = errBudgetSpent
			return
		}
		ok = res.limit == budget.Unlimited || m.covers(escrow, res.amount)
		if ok {
			m.reserved += res.amount
		}
	})
	return ok, err
}

// extendGrant raises the grant in the working state and returns the sequence number of
// the change.
func (sh *shard) extendGrant(res reservation) (int64, error) {
	return sh.grantUpdate(res.root, func(s *journal.State) error {
		root := s.Edit(res.root)
		if root == nil {
			return verdict.Refuse(verdict.UnknownProgram, "no program %s", res.root)
		}
		m := res.meter(sh.metersOf(s, res.root))
		res.escrow(root).Extend(res.limit, m.reserved, res.amount, res.headroom)
		return nil
	})
}

// grantUpdate applies change and records the resulting grants as pending.
func (sh *shard) grantUpdate(root string, change func(*journal.State) error) (int64, error) {
	return sh.journal.UpdateSeq(func(s *journal.State, seq int64) error {
		m := sh.metersOf(s, root)
		if err := change(s); err != nil {
			return err
		}
		p, ok := s.Programs[root]
		if !ok {
			return nil
		}
		m.tokens.setPending(p.Tokens.Granted, seq)
		m.calls.setPending(p.Calls.Granted, seq)
		return nil
	})
}

// unreserve returns a reservation to the budget.
func (sh *shard) unreserve(res reservation) {
	sh.journal.View(func(s *journal.State) { res.meter(sh.metersOf(s, res.root)).reserved -= res.amount })
}

// refuseCommit converts the failure of a commit that must precede any send into a
// refusal. what names the object that was to be stored.
func refuseCommit(err error, what string) error {
	switch {
	case errors.Is(err, journal.ErrPlatformDown):
		return verdict.Refuse(verdict.PlatformDown, "%s cannot be stored", what).RetryIn(retrySoon)
	case errors.Is(err, journal.ErrLost):
		return notHome("shard was lost while storing a %s", what)
	case errors.Is(err, journal.ErrShardFull):
		return verdict.Refuse(verdict.QueueFull, "shard is full, %s cannot be stored", what).RetryIn(retryLater)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return verdict.Refuse(verdict.DeadlinePassed, "%s was not stored in time", what).RetryIn(retrySoon)
	default:
		return verdict.Wrap(err, verdict.NotRun, verdict.Internal, what)
	}
}
