package platform_test

import (
	"encoding/json"
	"net/http"
	"slices"

	"ibisline/internal/tokenbudget"
)

// budgetHome waits until the dump of a gateway shows that it is the home of the budgets,
// and returns its name.
func (f *testFleet) budgetHome() string {
	var home string
	f.waitUntil("a gateway is the home of the budgets", func() bool {
		for _, gateway := range gateways {
			if f.isHome(gateway) {
				home = gateway
				return true
			}
		}
		return false
	})
	return home
}

// isHome reports whether a gateway is the home of the only budget shard.
func (f *testFleet) isHome(gateway string) bool {
	response, err := f.client.Get("http://" + f.daemons[gateway].httpAddr + "/v1/dump")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var dump struct {
		Budgets []tokenbudget.ShardState `json:"budgets"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&dump) != nil {
		return false
	}
	return slices.ContainsFunc(dump.Budgets, func(s tokenbudget.ShardState) bool { return s.Held })
}
