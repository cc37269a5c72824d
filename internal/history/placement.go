package history

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/history/turnlog"
	"ibisline/internal/structs"
)

// placementOrder returns the keepers in the order in which copies of the turns under a key are
// placed: those of the region first, each group by rendezvous hash. So the turns of a program share
// their keepers, and the loss of a keeper moves only its own turns.
func placementOrder(keepers []structs.Instance, region, key string) []structs.Instance {
	type candidate struct {
		structs.Instance
		remote bool
		score  uint64
	}
	candidates := make([]candidate, len(keepers))
	for i, k := range keepers {
		candidates[i] = candidate{k, k.Region != region, xxhash.Sum64String(key + "/" + k.Name)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.remote != b.remote {
			if a.remote {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.score, b.score)
	})
	ordered := make([]structs.Instance, len(candidates))
	for i, c := range candidates {
		ordered[i] = c.Instance
	}
	return ordered
}

// leaves returns the turns of wanted that no other turn of wanted continues. To copy these with all
// turns before them copies all of wanted.
func leaves(entries []turnlog.Entry, wanted func(id string) bool) []string {
	continued, found := map[string]bool{}, map[string]bool{}
	for _, e := range entries {
		if wanted(e.ID) {
			continued[e.Previous] = true
			found[e.ID] = true
		}
	}
	var ids []string
	for id := range found {
		if !continued[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
