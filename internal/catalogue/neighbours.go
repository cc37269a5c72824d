package catalogue

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/member"
	"ibisline/internal/structs"
)

// neighbourSet selects the peers with which a daemon exchanges changes. It is safe
// for concurrent use.
type neighbourSet struct {
	view member.View
	size int

	mu      sync.Mutex
	names   []string
	changed <-chan struct{}
}

// all returns the names of the neighbours, selected again after each membership
// change.
func (n *neighbourSet) all() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		select {
		case <-n.changed:
		default:
			return n.names
		}
	}
	n.changed = n.view.Changed()
	n.names = n.choose()
	return n.names
}

// choose selects size live daemons by a hash that includes the name of this daemon,
// plus one of each data centre that is not yet represented.
func (n *neighbourSet) choose() []string {
	self := n.view.Self().Name
	others := slices.DeleteFunc(slices.Clone(n.view.Live()), func(i structs.Instance) bool { return i.Name == self })
	slices.SortFunc(others, func(a, b structs.Instance) int {
		return cmp.Compare(xxhash.Sum64String(self+" "+a.Name), xxhash.Sum64String(self+" "+b.Name))
	})
	var names []string
	seen := map[string]bool{}
	for i, other := range others {
		dataCentre := dataCentreOf(other)
		if i < n.size || !seen[dataCentre] {
			names = append(names, other.Name)
		}
		seen[dataCentre] = true
	}
	return names
}

// pick returns up to count randomly selected neighbours.
func (n *neighbourSet) pick(count int) []string {
	names := slices.Clone(n.all())
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}
