package dispatch

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/verdict"
)

// unlimited is the limit of a plain service without a bound on its slots.
const unlimited = 1 << 30

// serverQueue holds the requests that wait for one backend server and counts
// those under way. It is safe for concurrent use.
type serverQueue struct {
	mu        sync.Mutex
	queue     fairshare.Queue
	shares    *shareTable
	maxQueued int
	limit     int
	running   int
	waiting   map[*fairshare.Item]chan error
	closed    *verdict.Error
	// stopped keeps the queue closed for good.
	stopped bool
}

// grant is the right to run one request at the server.
type grant struct {
	queue *serverQueue
	item  *fairshare.Item
}

func newServerQueue(queue fairshare.Queue, shares *shareTable, maxQueued, limit int) *serverQueue {
	return &serverQueue{
		queue:     queue,
		shares:    shares,
		maxQueued: maxQueued,
		limit:     limit,
		waiting:   map[*fairshare.Item]chan error{},
	}
}

// acquire waits for a grant. Errors are *verdict.Error with NotRun. The caller
// must release the grant.
func (q *serverQueue) acquire(ctx context.Context, item *fairshare.Item, deadline time.Time) (*grant, error) {
	ready, err := q.enqueue(item)
	if err != nil {
		return nil, err
	}
	if !deadline.IsZero() {
		timed, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		ctx = timed
	}
	select {
	case err := <-ready:
		return q.granted(item, err)
	case <-ctx.Done():
		return nil, q.abandon(ctx, item, ready)
	}
}

func (q *serverQueue) granted(item *fairshare.Item, err error) (*grant, error) {
	if err != nil {
		return nil, err
	}
	return &grant{queue: q, item: item}, nil
}

// enqueue adds the item or refuses it.
func (q *serverQueue) enqueue(item *fairshare.Item) (chan error, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		refusal := *q.closed
		return nil, &refusal
	}
	if q.queue.Len() >= q.maxQueued {
		return nil, verdict.Refuse(verdict.QueueFull, "%d requests wait for the server", q.queue.Len())
	}
	ready := make(chan error, 1)
	q.waiting[item] = ready
	q.queue.Push(item)
	q.fill()
	return ready, nil
}

// abandon takes a request out whose context ended. A grant that came first is
// given back, so that no slot is lost.
func (q *serverQueue) abandon(ctx context.Context, item *fairshare.Item, ready chan error) error {
	q.mu.Lock()
	_, waits := q.waiting[item]
	if waits {
		delete(q.waiting, item)
		q.queue.Remove(item)
	}
	q.mu.Unlock()
	if !waits && <-ready == nil {
		q.release(item, 0)
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.Refuse(verdict.DeadlinePassed, "no slot before the deadline")
	}
	return verdict.Refuse(verdict.Canceled, "canceled while waiting for a slot")
}

// fill grants slots while there are any. The caller holds mu.
func (q *serverQueue) fill() {
	for q.running < q.limit && q.closed == nil {
		q.queue.SetShares(q.shares.current())
		item, ok := q.queue.Pop()
		if !ok {
			return
		}
		q.running++
		q.waiting[item] <- nil
		delete(q.waiting, item)
	}
}

// release ends a grant and charges what it cost.
func (q *serverQueue) release(item *fairshare.Item, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.queue.Settle(item, actual)
	q.fill()
}

// release ends the grant; actual is the cost in the units of the queue.
func (g *grant) release(actual float64) { g.queue.release(g.item, actual) }

// setLimit changes the number of requests allowed under way.
func (q *serverQueue) setLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = limit
	q.fill()
}

// close refuses new requests and hands all waiting ones the same refusal, which
// must be NotRun. Requests under way are not touched.
func (q *serverQueue) close(refusal *verdict.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuse(refusal)
}

// stop closes the queue for good.
func (q *serverQueue) stop(refusal *verdict.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuse(refusal)
	q.stopped = true
}

// refuse does the work of close. The caller holds mu.
func (q *serverQueue) refuse(refusal *verdict.Error) {
	if q.stopped {
		return
	}
	q.closed = refusal
	for item, ready := range q.waiting {
		q.queue.Remove(item)
		own := *refusal
		ready <- &own
		delete(q.waiting, item)
	}
}

// open admits requests again, unless the queue was stopped.
func (q *serverQueue) open() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped {
		return
	}
	q.closed = nil
	q.fill()
}

// queueState is a snapshot of the counts.
type queueState struct {
	Limit       int     `json:"limit"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	WaitingCost float64 `json:"waiting_cost"`
	Closed      string  `json:"closed,omitempty"`
}

func (q *serverQueue) state() queueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := queueState{
		Limit:       q.limit,
		Running:     q.running,
		Waiting:     q.queue.Len(),
		WaitingCost: q.queue.Cost(),
	}
	if q.closed != nil {
		state.Closed = q.closed.Message
	}
	return state
}

// idle reports that nothing waits and nothing is under way.
func (q *serverQueue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running == 0 && q.queue.Len() == 0
}
