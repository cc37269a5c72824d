package dispatch

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/window"
	"ibisline/internal/verdict"
)

// unlimited is the slot limit of a plain service that declares none.
const unlimited = 1 << 30

// serverQueue queues the requests to one backend server and admits them within
// its concurrency window. It is safe for concurrent use.
type serverQueue struct {
	mu         sync.Mutex
	queue      fairshare.Queue
	window     *window.Window
	shares     *shareTable
	generation int64
	maxQueued  int
	rate       serviceRate
	waiting    map[*fairshare.Item]*waiter
	closed     *verdict.Error
	// closedPermanently prevents the queue from opening again.
	closedPermanently bool
}

// waiter is one waiting request. ready receives nil when the request is granted,
// or the refusal. It is buffered, so that the send never blocks.
type waiter struct {
	item  *fairshare.Item
	need  window.Need
	ready chan error
	// prefillAhead is the number of prompt tokens to be computed before those of
	// this request.
	prefillAhead int
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
	return &grant{queue: q, item: w.item, need: w.need, prefillAhead: w.prefillAhead, grantedAt: time.Now()}, nil
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
		return q.queueFull()
	}
	q.waiting[w.item] = w
	q.queue.Push(w.item)
	q.admitWaiting()
	if q.queue.Len() > 0 {
		q.window.RecordDemand(time.Now())
	}
	return nil
}

// refuseLate refuses a request that is not expected to get a slot before its
// deadline. The caller must hold mu.
func (q *serverQueue) refuseLate(w *waiter, deadline time.Time) error {
	if deadline.IsZero() || q.queue.Len() == 0 {
		return nil
	}
	left := time.Until(deadline)
	expected := q.rate.expectedWait(q.queue.CostAhead(w.item), q.window.Limit())
	if float64(expected) <= deadlineSlackFactor*float64(left) {
		return nil
	}
	refusal := verdict.Refuse(verdict.QueueFull, "a slot is expected in %v, after the deadline", expected.Round(time.Millisecond))
	return refusal.RetryIn(max(expected-left, minRetryAfter))
}

// makeRoom refuses a waiting request of the owner that occupies the most of a
// full queue. It returns false if there is no request to displace. The caller
// must hold mu.
func (q *serverQueue) makeRoom(item *fairshare.Item) bool {
	victim, ok := q.queue.Displace(item)
	if !ok {
		return false
	}
	q.queue.Remove(victim)
	q.waiting[victim].ready <- q.queueFull()
	delete(q.waiting, victim)
	return true
}

// queueFull returns the refusal of a full queue. The caller must hold mu.
func (q *serverQueue) queueFull() *verdict.Error {
	expected := q.rate.expectedWait(q.queue.Cost(), q.window.Limit())
	refusal := verdict.Refuse(verdict.QueueFull, "%d requests wait for the server", q.queue.Len())
	return refusal.RetryIn(max(expected, minRetryAfter))
}

// abandon removes a request whose context ended. If it was granted in the
// meantime, the grant is released, so that no slot leaks.
func (q *serverQueue) abandon(ctx context.Context, w *waiter) error {
	q.mu.Lock()
	_, waits := q.waiting[w.item]
	if waits {
		delete(q.waiting, w.item)
		q.queue.Remove(w.item)
		q.admitWaiting()
	}
	q.mu.Unlock()
	if !waits && <-w.ready == nil {
		(&grant{queue: q, item: w.item, need: w.need}).release(0)
	}
	return waitEnded(ctx)
}

// updateShares applies changed shares of the catalogue. The caller must hold mu.
func (q *serverQueue) updateShares() {
	shares, generation := q.shares.current()
	if generation != q.generation {
		q.queue.SetShares(shares)
		q.generation = generation
	}
}

// admitWaiting grants waiting requests while the window admits them. The caller
// must hold mu.
func (q *serverQueue) admitWaiting() {
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
		w.prefillAhead = q.window.PrefillTokens()
		q.window.Begin(w.need)
		delete(q.waiting, item)
		w.ready <- nil
	}
}

// setLimit changes the maximum number of requests in flight.
func (q *serverQueue) setLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.SetLimit(limit)
	q.admitWaiting()
}

// close refuses new requests and all waiting ones with the given error, which
// must be NotRun. Requests in flight are not affected.
func (q *serverQueue) close(refusal *verdict.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closeLocked(refusal)
}

// closePermanently closes the queue; open has no effect afterwards.
func (q *serverQueue) closePermanently(refusal *verdict.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closeLocked(refusal)
	q.closedPermanently = true
}

// closeLocked implements close. The caller must hold mu.
func (q *serverQueue) closeLocked(refusal *verdict.Error) {
	if q.closedPermanently {
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

// open admits requests again, unless the queue was closed permanently.
func (q *serverQueue) open() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closedPermanently {
		return
	}
	q.closed = nil
	q.admitWaiting()
}

// shrink multiplies the window of a slow engine by the given fraction.
func (q *serverQueue) shrink(fraction float64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.Shrink(fraction, now)
}

// applyLoadReport passes the engine's load report to the window.
func (q *serverQueue) applyLoadReport(running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.RecordLoadReport(running, waiting)
}

// expireObservations removes outdated observations from the window.
func (q *serverQueue) expireObservations(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.window.ExpireGaps(now)
	if q.queue.Len() > 0 {
		q.window.RecordDemand(now)
		q.admitWaiting()
	}
}

// idle reports whether no request is waiting or in flight.
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
		Prefilling:  q.window.PrefillTokens(),
		PrefillRate: q.window.PrefillRate(),
		Gap:         q.window.Gap(time.Now()),
		DecodeGap:   q.window.DecodeGap(time.Now()),
		Service:     q.rate.meanService(),
	}
	if q.closed != nil {
		state.Closed = q.closed.Message
	}
	return state
}
