// Package fairshare orders the requests that wait for one backend server.
//
// Owners are scheduled by start-time fair queueing: each owner has a start tag
// that advances by the cost of its granted requests divided by its share, and the
// owner with the lowest start tag is served next. The share of an owner without
// waiting requests is used by the other owners. When the owner has requests again
// its start tag is at least the queue's virtual time, so that it accumulates no
// credit while idle and is not charged for what the others used.
//
// The requests of one owner are ordered by arrival time, delayed by the class of
// work and by the attained service of the whole program, and advanced by the age
// of a short program. Delay and advance are bounded, so that a request is only
// overtaken by requests that arrive within that bound. In addition, one of every
// oldestGrantInterval grants goes to the request that arrived first.
package fairshare

import "container/heap"

const (
	// oldestGrantInterval is the number of grants of an owner, one of which goes
	// to the request that arrived first, regardless of rank.
	oldestGrantInterval = 8
	// minCostTokens is the lowest cost charged for a request.
	minCostTokens = 1.0
	// defaultShare applies to owners without a configured share.
	defaultShare = 1.0
)

// Fair is a Queue that divides the server between owners by their shares.
type Fair struct {
	shares      map[string]float64
	owners      map[string]*ownerQueue
	virtualTime float64
	seq         uint64
	length      int
	cost        float64
}

var _ Queue = (*Fair)(nil)

// NewFair returns an empty fair queue.
func NewFair() *Fair {
	return &Fair{shares: map[string]float64{}, owners: map[string]*ownerQueue{}}
}

// SetShares implements Queue. The lead of an owner's start tag over the virtual
// time was charged at the old share and is rescaled to the new one, so that an
// owner whose share was raised does not wait as long as the old share required.
func (f *Fair) SetShares(shares map[string]float64) {
	for name, owner := range f.owners {
		ahead := owner.startTag - f.virtualTime
		owner.startTag = f.virtualTime + ahead*shareOf(f.shares, name)/shareOf(shares, name)
	}
	f.shares = shares
}

func shareOf(shares map[string]float64, owner string) float64 {
	if share := shares[owner]; share > 0 {
		return share
	}
	return defaultShare
}

// Push implements Queue.
func (f *Fair) Push(item *Item) {
	owner := f.owner(item.Owner)
	if len(owner.items) == 0 {
		owner.startTag = max(owner.startTag, f.virtualTime)
	}
	f.seq++
	item.seq = f.seq
	item.rank = Rank(item)
	item.queue = owner
	heap.Push(&owner.items, item)
	owner.cost += item.Cost
	f.length++
	f.cost += item.Cost
}

func (f *Fair) owner(name string) *ownerQueue {
	owner := f.owners[name]
	if owner == nil {
		owner = &ownerQueue{name: name, startTag: f.virtualTime}
		f.owners[name] = owner
	}
	return owner
}

// Peek implements Queue.
func (f *Fair) Peek() (*Item, bool) {
	next := f.nextOwner()
	if next == nil {
		return nil, false
	}
	return next.first(), true
}

// Pop implements Queue.
func (f *Fair) Pop() (*Item, bool) {
	next := f.nextOwner()
	if next == nil {
		return nil, false
	}
	item := next.first()
	heap.Remove(&next.items, item.index)
	next.grants++
	f.subtract(item)
	f.virtualTime = max(f.virtualTime, next.startTag)
	next.startTag += max(item.Cost, minCostTokens) / shareOf(f.shares, next.name)
	f.dropIdleOwners()
	return item, true
}

// nextOwner returns the owner with the lowest start tag among those with waiting
// requests.
func (f *Fair) nextOwner() *ownerQueue {
	var best *ownerQueue
	for _, owner := range f.owners {
		if len(owner.items) == 0 {
			continue
		}
		if best == nil || owner.before(best) {
			best = owner
		}
	}
	return best
}

// subtract updates the sums after an item has left its owner's heap.
func (f *Fair) subtract(item *Item) {
	item.queue.cost -= item.Cost
	f.length--
	f.cost -= item.Cost
	if f.length == 0 {
		f.cost = 0
	}
}

// dropIdleOwners deletes idle owners whose state equals that of a new owner.
func (f *Fair) dropIdleOwners() {
	for name, owner := range f.owners {
		if len(owner.items) == 0 && owner.startTag <= f.virtualTime {
			delete(f.owners, name)
		}
	}
}

// Remove implements Queue.
func (f *Fair) Remove(item *Item) bool {
	if item.queue == nil || item.index < 0 {
		return false
	}
	heap.Remove(&item.queue.items, item.index)
	f.subtract(item)
	return true
}

// Settle implements Queue. A refund gives an idle owner no credit, because Push
// raises its start tag to at least the queue's virtual time.
func (f *Fair) Settle(item *Item, actual float64) {
	owner := f.owner(item.Owner)
	owner.startTag += (max(actual, minCostTokens) - max(item.Cost, minCostTokens)) / shareOf(f.shares, item.Owner)
}

// CostAhead implements Queue. While the owner's own earlier requests are granted,
// each other owner receives at most an amount in proportion to its share.
func (f *Fair) CostAhead(item *Item) float64 {
	own := 0.0
	if owner := f.owners[item.Owner]; owner != nil {
		own = owner.costBefore(Rank(item))
	}
	rounds := (own + max(item.Cost, minCostTokens)) / shareOf(f.shares, item.Owner)
	ahead := own
	for name, owner := range f.owners {
		if name != item.Owner {
			ahead += min(owner.cost, rounds*shareOf(f.shares, name))
		}
	}
	return ahead
}

// Displace implements Queue. It selects the last-ranked request of the owner with
// the highest waiting cost relative to its share.
func (f *Fair) Displace(item *Item) (*Item, bool) {
	arriving := item.Cost
	if owner := f.owners[item.Owner]; owner != nil {
		arriving += owner.cost
	}
	var heaviest *ownerQueue
	most := arriving / shareOf(f.shares, item.Owner)
	for name, owner := range f.owners {
		if load := owner.cost / shareOf(f.shares, name); name != item.Owner && load > most {
			heaviest, most = owner, load
		}
	}
	if heaviest != nil {
		return heaviest.last(), true
	}
	own := f.owners[item.Owner]
	if own == nil || len(own.items) == 0 {
		return nil, false
	}
	last := own.last()
	return last, last.rank.After(Rank(item))
}

// Len implements Queue.
func (f *Fair) Len() int { return f.length }

// Cost implements Queue.
func (f *Fair) Cost() float64 { return f.cost }
