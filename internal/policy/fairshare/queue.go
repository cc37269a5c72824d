package fairshare

import "time"

// Item is one waiting request. Its fields are set before Push.
type Item struct {
	Owner string
	Class string
	// Cost is the estimated cost: uncached prompt tokens and generated tokens.
	Cost float64
	// Attained is the service that the whole program has had: the tokens of its
	// prompts, cached or not, and of its answers.
	Attained float64
	// Age is the time since the whole program began.
	Age     time.Duration
	Arrived time.Time

	rank  time.Time
	seq   uint64
	index int
	queue *ownerQueue
}

// Queue is an order of waiting requests. It is not safe for concurrent use.
type Queue interface {
	// SetShares replaces the owners' shares; it holds from the next grant on.
	// Owners that are missing have a share of 1.
	SetShares(shares map[string]float64)
	Push(item *Item)
	// Peek returns the request that Pop would remove.
	Peek() (*Item, bool)
	// Pop removes the request to be granted next and charges its cost.
	Pop() (*Item, bool)
	// Remove takes a waiting request out; false if it does not wait.
	Remove(item *Item) bool
	// Settle corrects the charge of a granted request to its actual cost.
	Settle(item *Item, actual float64)
	// Ahead estimates the cost that is granted before a request, if it were
	// pushed now.
	Ahead(item *Item) float64
	// Displace returns a waiting request that has to make room for the given one
	// when the queue is full; false if the given one has to yield.
	Displace(item *Item) (*Item, bool)
	Len() int
	// Cost is the sum of the estimated costs of the waiting requests.
	Cost() float64
}
