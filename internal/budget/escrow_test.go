package budget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ibisline/internal/fake/testbed"
)

func TestMain(m *testing.M) { testbed.Main(m, testbed.DefaultSchedules) }

// For any sequence of extensions, charges and settlements, the grant covers the spent
// amount, no extension exceeds the limit, and a takeover charges the whole grant.
func TestGrantBoundsLossAtTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 1000).Draw(t, "limit")
		var e Escrow
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			amount := rapid.IntRange(0, 300).Draw(t, "amount")
			before := e
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				e.Extend(limit, 0, amount, rapid.IntRange(0, 100).Draw(t, "headroom"))
				require.GreaterOrEqual(t, e.Granted, min(limit, e.Spent+amount))
				require.LessOrEqual(t, e.Granted, max(limit, before.Granted))
			case 1:
				e.Charge(amount)
				require.Equal(t, before.Spent+amount, e.Spent)
			case 2:
				e.Settle()
				require.Equal(t, before.Spent, e.Granted)
			}
			require.GreaterOrEqual(t, e.Granted, e.Spent)
			require.Equal(t, max(0, limit-e.Spent-amount), e.Left(limit, amount))
		}
		afterTakeover := e
		afterTakeover.Forfeit()
		require.Equal(t, Escrow{Granted: e.Granted, Spent: e.Granted}, afterTakeover)
	})
}

func TestUnlimitedBudgetGrantsRequestedAmount(t *testing.T) {
	e := Escrow{Spent: 5}
	e.Extend(Unlimited, 1, 10, 4)
	require.Equal(t, 20, e.Granted)
}
