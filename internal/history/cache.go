package history

import (
	"container/list"
	"sync"
)

// cache holds the conversations that this gateway has used last. Conversations share the
// bytes of common turns, but each is counted with all of its turns, so that the limit is never
// exceeded. It is safe for concurrent use.
type cache struct {
	limit int

	mu    sync.Mutex
	bytes int
	byID  map[string]*list.Element
	// order holds the chains, the last used one first.
	order list.List
}

func newCache(limitBytes int) *cache {
	return &cache{limit: limitBytes, byID: map[string]*list.Element{}}
}

// get returns the chain that ends with a turn, nil if it is not held.
func (c *cache) get(id string) Chain {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.byID[id]
	if element == nil {
		return nil
	}
	c.order.MoveToFront(element)
	return element.Value.(Chain)
}

// put adds a chain, which must not be empty or modified any more.
func (c *cache) put(chain Chain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := chain[len(chain)-1].ID
	if element := c.byID[id]; element != nil {
		c.remove(element)
	}
	c.byID[id] = c.order.PushFront(chain)
	c.bytes += chain.Bytes()
	for c.bytes > c.limit && c.order.Len() > 0 {
		c.remove(c.order.Back())
	}
}

// remove removes a chain. The caller holds mu.
func (c *cache) remove(element *list.Element) {
	chain := c.order.Remove(element).(Chain)
	delete(c.byID, chain[len(chain)-1].ID)
	c.bytes -= chain.Bytes()
}

// size returns the counted bytes.
func (c *cache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}
