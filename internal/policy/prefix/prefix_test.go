package prefix

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// engine keeps the most recently used shared parts, as many as fit beside its requests.
type engine struct{ parts []string }

// use reports whether a part had to be read.
func (e *engine) use(part string, room int) bool {
	at := slices.Index(e.parts, part)
	if at >= 0 {
		e.parts = slices.Delete(e.parts, at, at+1)
	}
	e.parts = append(e.parts, part)
	if len(e.parts) > room {
		e.parts = e.parts[1:]
	}
	return at < 0
}

// Guards against shared parts that are evicted before they are used again: 16 parts, the rarer ones used
// 1/8 as often, on 8 engines with room for 9.
func TestSharedPartsStayOnTheirKeepers(t *testing.T) {
	const parts, room, requests = 16, 9, 20_000
	servers := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	misses := map[bool]int{}
	load := map[string]int{}
	for _, spread := range []bool{false, true} {
		random := rand.New(rand.NewPCG(1, 2))
		engines := map[string]*engine{}
		for range requests {
			part := Part{ID: strconv.Itoa(int(parts * math.Pow(random.Float64(), 1.5))), Tokens: 12_600}
			server := servers[random.IntN(len(servers))]
			if spread {
				keepers := Keepers(part, servers)
				require.Len(t, keepers, 4)
				for !keepers[server] {
					server = servers[random.IntN(len(servers))]
				}
				load[server]++
			}
			if engines[server] == nil {
				engines[server] = &engine{}
			}
			if engines[server].use(part.ID, room) {
				misses[spread]++
			}
		}
	}
	require.Less(t, misses[true], misses[false]/2)
	for server, n := range load {
		require.Less(t, n, requests/len(servers)*2, server)
	}
}

// Guards against different answers of two gateways, and against a preference where few servers are.
func TestKeepersDependOnNamesOnly(t *testing.T) {
	part := Part{ID: "p", Tokens: 12_600}
	require.Equal(t, Keepers(part, []string{"a", "b", "c", "d"}), Keepers(part, []string{"d", "b", "a", "c"}))
	require.Len(t, Keepers(part, []string{"a", "b", "c"}), 3)
}
