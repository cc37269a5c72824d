package platform_test

import (
	"encoding/json"
	"net/http"
	"slices"

	"ibisline/internal/tokenbudget"
)

// home returns the gateway that holds the budgets, by the dumps of the gateways.
func (w *world) home() string {
	var holder string
	w.until("a gateway holds the budgets", func() bool {
		for _, gateway := range gateways {
			if w.holds(gateway) {
				holder = gateway
				return true
			}
		}
		return false
	})
	return holder
}

// holds reports whether a gateway is the home of the one shard.
func (w *world) holds(gateway string) bool {
	response, err := w.client.Get("http://" + w.daemons[gateway].ready + "/v1/dump")
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
