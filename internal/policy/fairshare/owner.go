package fairshare

import "time"

// ownerQueue holds the waiting requests of one owner.
type ownerQueue struct {
	name   string
	start  float64
	items  itemHeap
	grants int
	// cost is the sum of the estimated costs of items.
	cost float64
}

// first returns the request to be granted next: the one ranked first, and every
// so often the one that arrived first.
func (o *ownerQueue) first() *Item {
	if o.grants%oldestEvery != oldestEvery-1 {
		return o.items[0]
	}
	oldest := o.items[0]
	for _, item := range o.items {
		if item.Arrived.Before(oldest.Arrived) {
			oldest = item
		}
	}
	return oldest
}

func (o *ownerQueue) before(other *ownerQueue) bool {
	if o.start != other.start {
		return o.start < other.start
	}
	return o.name < other.name
}

// costBefore is the part of cost that is ranked before a time.
func (o *ownerQueue) costBefore(rank time.Time) float64 {
	total := 0.0
	for _, item := range o.items {
		if !item.rank.After(rank) {
			total += item.Cost
		}
	}
	return total
}

// last returns the request that is ranked last.
func (o *ownerQueue) last() *Item {
	last := o.items[0]
	for _, item := range o.items {
		if item.rank.After(last.rank) {
			last = item
		}
	}
	return last
}
