package fairshare

import "time"

// ownerQueue holds the waiting requests of one owner.
type ownerQueue struct {
	name     string
	startTag float64
	items    itemHeap
	grants   int
	// cost is the sum of the estimated costs of items.
	cost float64
}

// first returns the request to be granted next: the first by rank or, for one of
// every oldestGrantInterval grants, the first by arrival.
func (o *ownerQueue) first() *Item {
	if o.grants%oldestGrantInterval != oldestGrantInterval-1 {
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
	if o.startTag != other.startTag {
		return o.startTag < other.startTag
	}
	return o.name < other.name
}

// costBefore returns the total cost of the requests ranked at or before rank.
func (o *ownerQueue) costBefore(rank time.Time) float64 {
	total := 0.0
	for _, item := range o.items {
		if !item.rank.After(rank) {
			total += item.Cost
		}
	}
	return total
}

// last returns the last-ranked request.
func (o *ownerQueue) last() *Item {
	last := o.items[0]
	for _, item := range o.items {
		if item.rank.After(last.rank) {
			last = item
		}
	}
	return last
}
