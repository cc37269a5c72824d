// Package fairshare orders the requests that wait for one backend server.
//
// Between owners it is start-time fair queueing: each owner has a virtual time
// that advances by the cost of its granted requests over its share, and the
// owner that is furthest behind is served next. An owner without waiting
// requests lends its share; when it returns it starts at the queue's virtual
// time, so that it neither pays for what it borrowed out nor keeps credit.
//
// Inside an owner the order is by arrival, put back by the class of work and by
// the service that the whole program has attained, and put forward for a short
// program that began early. All of it is bounded, so that a request can only be
// passed by requests that arrive within that bound, and one grant of several
// goes to the request that arrived first.
package fairshare

import "container/heap"

const (
	// oldestEvery is the number of an owner's grants of which one goes to the
	// request that arrived first, whatever its rank.
	oldestEvery = 8
	// minCost is the least cost of a request, in tokens.
	minCost = 1.0
	// defaultShare is the share of an owner that has none set.
	defaultShare = 1.0
)

// Fair is the fair queue.
type Fair struct {
	shares  map[string]float64
	owners  map[string]*ownerQueue
	virtual float64
	seq     uint64
	length  int
	cost    float64
}

var _ Queue = (*Fair)(nil)

// NewFair returns an empty fair queue.
func NewFair() *Fair {
	return &Fair{shares: map[string]float64{}, owners: map[string]*ownerQueue{}}
}

// SetShares implements Queue. What an owner is ahead by was charged at its old
// share and is rescaled, so that a raised owner does not wait out the old one.
func (f *Fair) SetShares(shares map[string]float64) {
	for name, owner := range f.owners {
		ahead := owner.start - f.virtual
		owner.start = f.virtual + ahead*shareOf(f.shares, name)/shareOf(shares, name)
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
		owner.start = max(owner.start, f.virtual)
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
		owner = &ownerQueue{name: name, start: f.virtual}
		f.owners[name] = owner
	}
	return owner
}

// Peek implements Queue.
func (f *Fair) Peek() (*Item, bool) {
	next := f.next()
	if next == nil {
		return nil, false
	}
	return next.first(), true
}

// Pop implements Queue.
func (f *Fair) Pop() (*Item, bool) {
	next := f.next()
	if next == nil {
		return nil, false
	}
	item := next.first()
	heap.Remove(&next.items, item.index)
	next.grants++
	f.left(item)
	f.virtual = max(f.virtual, next.start)
	next.start += max(item.Cost, minCost) / shareOf(f.shares, next.name)
	f.forget()
	return item, true
}

// next returns the waiting owner that is furthest behind.
func (f *Fair) next() *ownerQueue {
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

// left updates the sums after an item has left its owner's heap.
func (f *Fair) left(item *Item) {
	item.queue.cost -= item.Cost
	f.length--
	f.cost -= item.Cost
	if f.length == 0 {
		f.cost = 0
	}
}

// forget drops owners whose idle state equals that of a new owner.
func (f *Fair) forget() {
	for name, owner := range f.owners {
		if len(owner.items) == 0 && owner.start <= f.virtual {
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
	f.left(item)
	return true
}

// Settle implements Queue. A refund never takes an owner behind the queue's
// virtual time at its next return, because Push starts it there.
func (f *Fair) Settle(item *Item, actual float64) {
	owner := f.owner(item.Owner)
	owner.start += (max(actual, minCost) - max(item.Cost, minCost)) / shareOf(f.shares, item.Owner)
}

// Ahead implements Queue. While the owner's own requests ahead are granted, each
// other owner receives at most in proportion to its share.
func (f *Fair) Ahead(item *Item) float64 {
	own := 0.0
	if owner := f.owners[item.Owner]; owner != nil {
		own = owner.costBefore(Rank(item))
	}
	rounds := (own + max(item.Cost, minCost)) / shareOf(f.shares, item.Owner)
	ahead := own
	for name, owner := range f.owners {
		if name != item.Owner {
			ahead += min(owner.cost, rounds*shareOf(f.shares, name))
		}
	}
	return ahead
}

// Displace implements Queue. The owner with the most waiting cost for its share
// gives up its last-ranked request.
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
