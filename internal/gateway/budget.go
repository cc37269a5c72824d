package gateway

import (
	"context"

	"ibisline/internal/allowance/ledger"
	"ibisline/internal/structs"
)

// reserve takes the tokens of a turn out of its program's budget, before the turn
// is sent. The function returned gives back what the turn did not generate.
func (g *Gateway) reserve(ctx context.Context, j *job) (func(), error) {
	if !j.IsTurn() || j.route.Kind != structs.Stream {
		return func() {}, nil
	}
	release, err := g.Budgets.Reserve(ctx, ledger.Reservation{
		Program:  j.Program,
		ID:       j.ID,
		Budget:   j.Budget,
		Tokens:   j.MaxTokens,
		Lifetime: j.route.BudgetLifetime,
	})
	if err != nil {
		return nil, err
	}
	return func() { release(j.events * j.service.TokensPerEvent) }, nil
}
