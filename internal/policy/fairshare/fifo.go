package fairshare

import "slices"

// FIFO is a Queue that serves requests in order of arrival, regardless of owner.
// It is the baseline for comparison with Fair.
type FIFO struct {
	items []*Item
	cost  float64
}

var _ Queue = (*FIFO)(nil)

// NewFIFO returns an empty first-in, first-out queue.
func NewFIFO() *FIFO { return &FIFO{} }

// SetShares implements Queue. Shares have no effect.
func (f *FIFO) SetShares(map[string]float64) {}

// Push implements Queue.
func (f *FIFO) Push(item *Item) {
	f.items = append(f.items, item)
	f.cost += item.Cost
}

// Peek implements Queue.
func (f *FIFO) Peek() (*Item, bool) {
	if len(f.items) == 0 {
		return nil, false
	}
	return f.items[0], true
}

// Pop implements Queue.
func (f *FIFO) Pop() (*Item, bool) {
	if len(f.items) == 0 {
		return nil, false
	}
	item := f.items[0]
	f.remove(0)
	return item, true
}

// Remove implements Queue.
func (f *FIFO) Remove(item *Item) bool {
	at := slices.Index(f.items, item)
	if at < 0 {
		return false
	}
	f.remove(at)
	return true
}

func (f *FIFO) remove(at int) {
	f.cost -= f.items[at].Cost
	f.items = slices.Delete(f.items, at, at+1)
	if len(f.items) == 0 {
		f.cost = 0
	}
}

// Settle implements Queue. It does nothing, because no costs are charged.
func (f *FIFO) Settle(*Item, float64) {}

// CostAhead implements Queue.
func (f *FIFO) CostAhead(*Item) float64 { return f.cost }

// Displace implements Queue. Waiting requests are never displaced.
func (f *FIFO) Displace(*Item) (*Item, bool) { return nil, false }

// Len implements Queue.
func (f *FIFO) Len() int { return len(f.items) }

// Cost implements Queue.
func (f *FIFO) Cost() float64 { return f.cost }
