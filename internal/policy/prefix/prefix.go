// Package prefix spreads the shared parts of prompts over the servers of a data centre on purpose.
//
// The load pattern: many shared parts of prompts, more than an engine keeps beside the requests that
// it runs. If every engine gets requests with every part, the rarer ones are evicted before they are
// used again; nearly half of the prompt tokens are then shared parts that are read again. Each such
// prompt is a long one, which holds up all other requests of its engine. A part that is kept by half of
// the engines is used twice as often on each, and an engine keeps half as many.
//
// Which engines keep a part follows from a hash of both, so that all gateways agree without a message.
// A busy engine is passed over: to read a part again costs about as much as to wait for one request.
package prefix

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// keptBy is the part of the servers of a data centre that keep a shared part, and minServers the
	// number of servers below which all do.
	keptBy     = 0.5
	minServers = 4
	// tokensPerRequest is the number of prompt tokens whose reading takes an engine about as long as a
	// request of its batch.
	tokensPerRequest = 6_000
	// maxCost limits the cost of reading a part: a server that is that much busier is not preferred.
	maxCost = 3
)

// Part is the part of a prompt that other prompts share.
type Part struct {
	ID     string
	Tokens int
}

// Cost returns the cost of reading a shared part, in requests in flight.
func (p Part) Cost() float64 { return min(float64(p.Tokens)/tokensPerRequest, maxCost) }

// Keepers returns which of the servers of a data centre keep a part.
func Keepers(part Part, servers []string) map[string]bool {
	kept := make(map[string]bool, len(servers))
	ordered := slices.Clone(servers)
	if len(servers) >= minServers {
		score := func(server string) uint64 { return xxhash.Sum64String(part.ID + "/" + server) }
		slices.SortFunc(ordered, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
		ordered = ordered[:int(float64(len(ordered))*keptBy+0.5)]
	}
	for _, server := range ordered {
		kept[server] = true
	}
	return kept
}
