package member

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ibisline/internal/structs"
)

// Home returns the daemon that serves a shard, and false when none is live.
func Home(v View, shard structs.ShardID) (structs.Instance, bool) {
	return Owner(v, shard.Region(), string(shard))
}

// Owner returns the daemon responsible for key by rendezvous hashing over the live
// daemons of a region, or over all live daemons when the region has none or the
// argument is empty. It returns false when no daemon is live.
func Owner(v View, region, key string) (structs.Instance, bool) {
	if prepared, ok := v.(ownerLookup); ok {
		return prepared.Owner(region, key)
	}
	live := v.Live()
	byName := make(map[string]structs.Instance, len(live))
	names := namesOf(live, region, byName)
	if len(names) == 0 {
		names = namesOf(live, "", byName)
	}
	if len(names) == 0 {
		return structs.Instance{}, false
	}
	owner := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
	return byName[owner], true
}

// ownerLookup is implemented by a View that has prepared rendezvous tables.
type ownerLookup interface {
	Owner(region, key string) (structs.Instance, bool)
}

// namesOf returns the names of the instances of a region, or of all when region is
// empty, and adds the instances to byName.
func namesOf(live []structs.Instance, region string, byName map[string]structs.Instance) []string {
	var names []string
	for _, instance := range live {
		if region != "" && instance.Region != region {
			continue
		}
		names = append(names, instance.Name)
		byName[instance.Name] = instance
	}
	return names
}
