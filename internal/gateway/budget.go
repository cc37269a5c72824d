package gateway

import (
	"context"

	"ibisline/internal/allowance/ledger"
)

// reserve takes the tokens of a turn out of its program's budget, before the turn
// is sent. The function returned is told what the turn has generated.
func (g *Gateway) reserve(ctx context.Context, j *job) (func(used int), error) {
	if !j.IsTurn() {
		return func(int) {}, nil
	}
	return g.Budgets.Reserve(ctx, ledger.Reservation{
		Program:  j.Program,
		ID:       j.ID,
		Budget:   j.Budget,
		Tokens:   j.MaxTokens,
		Lifetime: j.route.BudgetLifetime,
	})
}
