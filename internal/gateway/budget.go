package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/verdict"
)

// reserve takes the tokens of a turn from its program's budget before the turn is sent.
func (g *Gateway) reserve(ctx context.Context, j *job) (ledger.Grant, error) {
	if !j.IsTurn() {
		return noopGrant{}, nil
	}
	return g.Budgets.Reserve(ctx, ledger.Reservation{
		Program:  j.scoped(j.Program),
		Request:  j.scoped(j.ID),
		Budget:   j.Budget,
		Tokens:   j.MaxTokens,
		Lifetime: j.route.Retention,
	})
}

// noopGrant is the grant of a request that has no token budget.
type noopGrant struct{}

func (noopGrant) Confirm(context.Context) error { return nil }
func (noopGrant) Release(int)                   {}

// errGrantLost is returned when the response to a running turn must not be relayed, because
// its grant could not be confirmed.
var errGrantLost = errors.New("the tokens of the turn are not granted")

// confirmGrant waits until the turn's grant is persisted. The turn is already running.
func (s *stream) confirmGrant() error {
	if s.grantConfirmed {
		return nil
	}
	err := s.grant.Confirm(s.ctx)
	s.job.summary.confirmTime = time.Since(s.job.Arrived)
	if err != nil {
		return verdict.Wrap(errors.Wrap(errGrantLost, err.Error()), verdict.MayHaveRun, verdict.From(err).Reason,
			"the grant was lost")
	}
	s.grantConfirmed = true
	return nil
}
