package platform_test

import (
	"encoding/json"
	"net/http"
	"slices"

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
