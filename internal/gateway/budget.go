package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/verdict"
)

// reserve takes the tokens of a turn out of its program's budget, before the turn
// is sent.
func (g *Gateway) reserve(ctx context.Context, j *job) (ledger.Grant, error) {
	if !j.IsTurn() {
		return unlimited{}, nil
	}
	return g.Budgets.Reserve(ctx, ledger.Reservation{
		Program:  j.Program,
		ID:       j.ID,
		Budget:   j.Budget,
		Tokens:   j.MaxTokens,
		Expected: expectedTokens(j),
		Lifetime: j.route.BudgetLifetime,
	})
}

// unlimited is the grant of a request that needs none.
type unlimited struct{}

func (unlimited) Confirm(context.Context) error { return nil }
func (unlimited) Release(int)                   {}

// expectedTokens is the caller's estimate of what a turn generates, and half of its
// most where there is none.
func expectedTokens(j *job) int {
	if j.LikelyTokens > 0 {
		return j.LikelyTokens
	}
	return j.MaxTokens / 2
}

// errGrant is returned when a turn that runs must not be handed on.
var errGrant = errors.New("the tokens of the turn are not granted")

// confirm waits until the turn's grant is written down. The turn runs already.
func (s *stream) confirm() error {
	if s.confirmed {
		return nil
	}
	err := s.grant.Confirm(s.ctx)
	s.job.account.confirmed = time.Since(s.job.Arrived)
	if err != nil {
		return verdict.Wrap(errors.Wrap(errGrant, err.Error()), verdict.MayHaveRun, verdict.From(err).Reason, "the grant was lost")
	}
	s.confirmed = true
	return nil
}
