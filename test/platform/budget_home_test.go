package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ibisline/internal/tokenbudget"
	"ibisline/internal/tokenbudget/ledger"
)

// budgetHome waits until the dump of a gateway shows that it is the home of a program's budget,
// and returns its name.
func (f *testFleet) budgetHome(program string) string {
	var home string
	f.waitUntil("a gateway is the home of the budget of "+program, func() bool {
		for _, gateway := range gateways {
			if slices.ContainsFunc(f.heldShards(gateway), func(s tokenbudget.ShardState) bool {
				return slices.ContainsFunc(s.Usages, func(u ledger.Usage) bool { return u.Program == program })
			}) {
				home = gateway
				return true
			}
		}
		return false
	})
	return home
}

// waitForBudgetHomes waits until every shard of budgets has a home.
func (f *testFleet) waitForBudgetHomes() {
	f.waitUntil("every shard of budgets has a home", func() bool {
		held := 0
		for _, gateway := range gateways {
			held += len(f.heldShards(gateway))
		}
		return held == tokenbudget.DefaultShards
	})
}

// isHome reports whether a gateway is the home of a shard of budgets.
func (f *testFleet) isHome(gateway string) bool { return len(f.heldShards(gateway)) > 0 }

// heldShards returns the shards of budgets of which a gateway is the home, by its dump, and none
// if it does not answer.
func (f *testFleet) heldShards(gateway string) []tokenbudget.ShardState {
	response, err := f.client.Get("http://" + f.daemons[gateway].httpAddr + "/v1/dump")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var dump struct {
		Budgets []tokenbudget.ShardState `json:"budgets"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&dump) != nil {
		return nil
	}
	return slices.DeleteFunc(dump.Budgets, func(s tokenbudget.ShardState) bool { return !s.Held })
}

// Guards against a home that takes over after a loss and charges every program with the largest turn of any other
// one: programs with smaller budgets were told that these are spent, new ones among them.
func TestLargeTurnOfAnotherProgramSpendsNoBudgetAfterALoss(t *testing.T) {
	const programs, largeTokens = 40, 50 * soakBudgetTurns * tokensPerTurn
	f := newTestFleet(t)
	f.scriptEngines()
	f.waitUntil("every shard serves a large turn", func() bool {
		for i := range programs {
			got := f.callWith(f.client, gateways[0], http.MethodPost, "/turn/1", func(r *http.Request) {
				r.Header.Set("Program-Id", fmt.Sprint("large-", i))
				r.Header.Set("Token-Budget", fmt.Sprint(2*largeTokens))
				r.Header.Set("Token-Usage", fmt.Sprintf("10,%d", largeTokens))
			})
			if got.status != http.StatusOK {
				return false
			}
		}
		return true
	})
	requireServed := func(name string) {
		for i := range programs {
			program := fmt.Sprint(name, i)
			f.waitUntil("a turn of "+program+" is decided", func() bool {
				status := f.turn(gateways[i%len(gateways)], program, soakBudgetTurns*tokensPerTurn).status
				require.NotEqual(t, http.StatusPaymentRequired, status, "%s has hardly used its budget", program)
				return status == http.StatusOK
			})
		}
	}
	requireServed("begun-")
	for name := range f.daemons {
		f.kill(name)
	}
	for name := range f.daemons {
		f.start(name)
	}
	for name := range f.daemons {
		f.waitReady(name)
	}
	requireServed("begun-")
	requireServed("new-")
}
