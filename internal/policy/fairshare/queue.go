package fairshare

import "time"

// Item is one waiting request. The caller sets the exported fields before Push.
type Item struct {
	Owner string
	Class string
	// Cost is the estimated cost in tokens: uncached prompt tokens plus generated
	// tokens.
	Cost float64
	// Attained is the attained service of the whole program in tokens: its prompt
	// tokens, cached or not, and its generated tokens.
	Attained float64
	// Age is the time since the start of the whole program.
	Age     time.Duration
	Arrived time.Time

	rank  time.Time
	seq   uint64
	index int
	queue *ownerQueue
}

// Queue schedules waiting requests. It is not safe for concurrent use.
type Queue interface {
	// SetShares replaces the shares of all owners, effective from the next grant.
	// An owner without an entry has a share of 1.
	SetShares(shares map[string]float64)
	Push(item *Item)
	// Peek returns the request that Pop would remove.
	Peek() (*Item, bool)
	// Pop removes the request to be granted next and charges its cost.
	Pop() (*Item, bool)
	// Remove removes a waiting request. It returns false if the request is not
	// waiting.
	Remove(item *Item) bool
	// Settle corrects the charge of a granted request to its actual cost.
	Settle(item *Item, actual float64)
	// CostAhead estimates the total cost that would be granted before the given
	// request if it were pushed now.
	CostAhead(item *Item) float64
	// Displace selects a waiting request to reject in favour of the given one when
	// the queue is full. It returns false if the given one is to be rejected.
	Displace(item *Item) (*Item, bool)
	Len() int
	// Cost returns the sum of the estimated costs of the waiting requests.
	Cost() float64
}
