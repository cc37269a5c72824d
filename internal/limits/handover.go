package limits

import (
	"context"
	"slices"
	"time"

	"ibisline/internal/peer"
)

// takeOver is a request to ask the predecessor of this limiter for its books.
type takeOver struct {
	entry    string
	account  *account
	previous string
}

// learn makes sure that the books of an entry are complete before anything is
// granted: the predecessor is asked for its books, and leases of lost limiters
// have to end first. The caller holds mu.
func (l *limiter) learn(entry string, a *account, now time.Time) {
	if a.asking || (!a.learnedAt.IsZero() && !a.lapsed) {
		return
	}
	l.owners.review(now)
	previous, ok := l.owners.predecessor(entry)
	if !ok {
		a.lapsed = false
		a.learnedAt = l.owners.safeFrom(entry)
		return
	}
	a.asking = l.takeOvers.Offer(takeOver{entry: entry, account: a, previous: previous})
}

// takeOver asks the previous limiter for its books. Without a complete answer the
// leases that it may have granted have to end first.
func (l *limiter) takeOver(ctx context.Context, t takeOver) {
	ctx, cancel := context.WithTimeout(ctx, l.config.PeerTimeout)
	defer cancel()
	var reply handoverReply
	request := handoverRequest{Entry: t.entry, By: l.view.Self().Name}
	err := peer.Call(ctx, l.dialer, t.previous, methodHandover, request, &reply)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := t.account
	a.asking = false
	if err == nil && reply.Refused {
		return
	}
	a.lapsed = false
	a.learnedAt = l.owners.safeFrom(t.entry)
	if err != nil || !reply.Complete {
		a.learnedAt = later(a.learnedAt, now.Add(l.owners.settleFor))
		l.logger.WithField("entry", t.entry).WithField("predecessor", t.previous).Debug("limiter waits for leases to end")
	}
	a.inherit(reply.Holders, now)
	l.settle(t.entry, a, now)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// inherit takes over the books of a predecessor. A home that has reported here
// since is known better.
func (l *ledger) inherit(holders []holder, now time.Time) {
	for _, h := range holders {
		if _, ok := l.holders[h.ID]; ok {
			continue
		}
		h.seen = now
		l.holders[h.ID] = &h
	}
}

// release gives the books on an entry to another daemon, which is the limiter
// from then on.
func (l *limiter) release(r handoverRequest) handoverReply {
	known := slices.Contains(namesOf(l.view.Live()), r.By)
	if !known {
		return handoverReply{Refused: true}
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(r.Entry)
	reply := handoverReply{Complete: l.complete(r.Entry, a, now)}
	for id, h := range a.holders {
		reply.Holders = append(reply.Holders, *h)
		a.withdraw(id)
	}
	a.ledger = newLedger()
	a.learnedAt = time.Time{}
	a.lapsed = false
	a.movedTo = r.By
	a.movedUntil = now.Add(movedFor)
	return reply
}

// complete reports whether the books of an entry have all holders: grants were
// safe here, or nobody else can have granted any. The caller holds mu.
func (l *limiter) complete(entry string, a *account, now time.Time) bool {
	if a.movedTo != "" {
		return false
	}
	from := a.learnedAt
	if from.IsZero() {
		from = l.owners.safeFrom(entry)
	}
	return !now.Before(from)
}

// serveHandover answers methodHandover.
func (l *limiter) serveHandover(_ context.Context, s peer.Stream) error {
	var r handoverRequest
	if err := s.Recv(&r); err != nil {
		return err
	}
	return s.Send(l.release(r))
}
