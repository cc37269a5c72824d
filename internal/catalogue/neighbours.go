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

// neighbourhood is the choice of daemons to which one daemon talks. It is safe for
// concurrent use.
type neighbourhood struct {
	view member.View
	size int

	mu      sync.Mutex
	names   []string
	changed <-chan struct{}
}

// all returns the neighbours. They are chosen anew when the membership changed.
func (n *neighbourhood) all() []string {
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

// choose picks among the live daemons by hash, differently for each daemon, with
// at least one of each data centre.
func (n *neighbourhood) choose() []string {
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

// pick returns up to count neighbours at random.
func (n *neighbourhood) pick(count int) []string {
	names := slices.Clone(n.all())
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}
