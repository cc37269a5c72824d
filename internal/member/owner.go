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

// Owner returns the daemon responsible for key by rendezvous hash over the live
// daemons of a region, or over all live daemons when the region has none or is
// empty. It returns false when no daemon is live.
func Owner(v View, region, key string) (structs.Instance, bool) {
	if prepared, ok := v.(ownerTable); ok {
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

// ownerTable is a View that has the rendezvous hash prepared.
type ownerTable interface {
	Owner(region, key string) (structs.Instance, bool)
}

// namesOf collects the names of the instances of a region into byName.
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
