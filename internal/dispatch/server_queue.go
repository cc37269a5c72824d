package dispatch

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/window"
	"ibisline/internal/verdict"
)

// unlimited is the limit of a plain service without a bound on its slots.
const unlimited = 1 << 30

// serverQueue holds the requests that wait for one backend server and admits
// them through its window. It is safe for concurrent use.
type serverQueue struct {
	mu         sync.Mutex
	queue      fairshare.Queue
	window     *window.Window
	shares     *shareTable
	generation int64
	maxQueued  int
	pace       pace
	waiting    map[*fairshare.Item]*waiter
	closed     *verdict.Error
	// stopped keeps the queue closed for good.
	stopped bool
}

// waiter is one waiting request. ready receives nil with the grant, or the
// refusal, and has room for it.
type waiter struct {
	item  *fairshare.Item
	need  window.Need
	ready chan error
	// ahead is the number of prompt tokens to be computed before this one's.
	ahead int
}

func newServerQueue(queue fairshare.Queue, w *window.Window, shares *shareTable, maxQueued int) *serverQueue {
	return &serverQueue{
		queue:      queue,
		window:     w,
		shares:     shares,
		generation: -1,
		maxQueued:  maxQueued,
		waiting:    map[*fairshare.Item]*waiter{},
	}
}

// acquire waits for a grant. Errors are *verdict.Error with NotRun. The caller
// must release the grant.
func (q *serverQueue) acquire(ctx context.Context, item *fairshare.Item, need window.Need, deadline time.Time) (*grant, error) {
	w := &waiter{item: item, need: need, ready: make(chan error, 1)}
	if err := q.enqueue(w, deadline); err != nil {
		return nil, err
	}
	if !deadline.IsZero() {
		timed, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		ctx = timed
	}
	select {
	case err := <-w.ready:
		return q.granted(w, err)
	case <-ctx.Done():
		return nil, q.abandon(ctx, w)
	}
}

func (q *serverQueue) granted(w *waiter, err error) (*grant, error) {
	if err != nil {
		return nil, err
	}
	return &grant{queue: q, item: w.item, need: w.need, ahead: w.ahead, begun: time.Now()}, nil
}

// enqueue adds a request or refuses it.
func (q *serverQueue) enqueue(w *waiter, deadline time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		refusal := *q.closed
		return &refusal
	}
	q.updateShares()
	if err := q.refuseLate(w, deadline); err != nil {
		return err
	}
	if q.queue.Len() >= q.maxQueued && !q.makeRoom(w.item) {
		return q.full()
	}
	q.waiting[w.item] = w
	q.queue.Push(w.item)
	q.fill()
	if q.queue.Len() > 0 {
		q.window.Wanted(time.Now())
	}
	return nil
}

// refuseLate refuses a request at once that would most likely not get a slot
// before its deadline. The caller holds mu.
func (q *serverQueue) refuseLate(w *waiter, deadline time.Time) error {
	if deadline.IsZero() || q.queue.Len() == 0 {
		return nil
	}
	left := time.Until(deadline)
	expected := q.pace.wait(q.queue.Ahead(w.item), q.window.Limit())
	if float64(expected) <= lateSlack*float64(left) {
		return nil
	}
	refusal := verdict.Refuse(verdict.QueueFull, "a slot is expected in %v, after the deadline", expected.Round(time.Millisecond))
	return refusal.RetryIn(max(expected-left, minRetryAfter))
}

// makeRoom refuses a waiting request of the owner that takes up the most of a
// full queue. The caller holds mu.
func (q *serverQueue) makeRoom(item *fairshare.Item) bool {
	victim, ok := q.queue.Displace(item)
	if !ok {
		return false
	}
	q.queue.Remove(victim)
	q.waiting[victim].ready <- q.full()
	delete(q.waiting, victim)
	return true
}

// full is the refusal of a full queue. The caller holds mu.
func (q *serverQueue) full() *verdict.Error {
	expected := q.pace.wait(q.queue.Cost(), q.window.Limit())
	refusal := verdict.Refuse(verdict.QueueFull, "%d requests wait for the server", q.queue.Len())
	return refusal.RetryIn(max(expected, minRetryAfter))
}

// abandon takes a request out whose context ended. A grant that came first is
// given back, so that no slot is lost.
func (q *serverQueue) abandon(ctx context.Context, w *waiter) error {
	q.mu.Lock()
	_, waits := q.waiting[w.item]
	if waits {
		delete(q.waiting, w.item)
		q.queue.Remove(w.item)
		q.fill()
	}
	q.mu.Unlock()
	if !waits && <-w.ready == nil {
		(&grant{queue: q, item: w.item, need: w.need}).release(0)
	}
	return waitEnded(ctx)
}

// updateShares takes over an edit of the catalogue. The caller holds mu.
func (q *serverQueue) updateShares() {
	shares, generation := q.shares.current()
	if generation != q.generation {
		q.queue.SetShares(shares)
		q.generation = generation
	}
}

// fill grants slots while there are any. The caller holds mu.
func (q *serverQueue) fill() {
	if q.closed != nil {
		return
	}
	q.updateShares()
	for {
		item, ok := q.queue.Peek()
		if !ok || !q.window.Admits(q.waiting[item].need) {
			return
		}
		w := q.waiting[item]
		q.queue.Pop()
		w.ahead = q.window.Prefilling()
		q.window.Begin(w.need)
		delete(q.waiting, item)
		w.ready <- nil
	}
}

// setLimit changes the number of requests allowed under way.
func (q *serverQueue) setLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.SetLimit(limit)
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
	for item, w := range q.waiting {
		q.queue.Remove(item)
		own := *refusal
		w.ready <- &own
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

// shrink lowers the window of an engine that was found to be slow.
func (q *serverQueue) shrink(fraction float64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.Shrink(fraction, now)
}

// reported hands the engine's load report to the window.
func (q *serverQueue) reported(running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.Reported(running, waiting)
}

// forget drops what the window observed too long ago.
func (q *serverQueue) forget(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.Forget(now)
	if q.queue.Len() > 0 {
		q.window.Wanted(now)
		q.fill()
	}
}

// idle reports that nothing waits and nothing is under way.
func (q *serverQueue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.window.Running() == 0 && q.queue.Len() == 0
}

// queueState is a snapshot of a queue and its window.
type queueState struct {
	Limit       int           `json:"limit"`
	Running     int           `json:"running"`
	Waiting     int           `json:"waiting"`
	WaitingCost float64       `json:"waiting_cost"`
	Prefilling  int           `json:"prefilling"`
	PrefillRate float64       `json:"prefill_rate"`
	Gap         time.Duration `json:"gap_ns"`
	DecodeGap   time.Duration `json:"decode_gap_ns"`
	Service     time.Duration `json:"service_ns"`
	Closed      string        `json:"closed,omitempty"`
}

func (q *serverQueue) state() queueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := queueState{
		Limit:       q.window.Limit(),
		Running:     q.window.Running(),
		Waiting:     q.queue.Len(),
		WaitingCost: q.queue.Cost(),
		Prefilling:  q.window.Prefilling(),
		PrefillRate: q.window.PrefillRate(),
		Gap:         q.window.Gap(time.Now()),
		DecodeGap:   q.window.DecodeGap(time.Now()),
		Service:     q.pace.meanService(),
	}
	if q.closed != nil {
		state.Closed = q.closed.Message
	}
	return state
}
