package limits

import (
	"context"
	"slices"
	"time"

	"ibisline/internal/peer"
)

// takeOver is a queued request to take over the ledger of an entry from the previous
// limiter.
type takeOver struct {
	entry       string
	account     *account
	predecessor string
}

// ensureComplete starts a takeover if the ledger of an entry may be incomplete.
// Nothing is granted until the predecessor was asked for its ledger and the leases
// of lost limiters have expired. The caller holds mu.
func (l *limiter) ensureComplete(entry string, a *account, now time.Time) {
	if a.handoverPending || (!a.grantsFrom.IsZero() && !a.superseded) {
		return
	}
	l.locator.recordDepartures(now)
	predecessor, ok := l.locator.predecessor(entry)
	if !ok {
		a.superseded = false
		a.grantsFrom = l.locator.safeFrom(entry)
		return
	}
	a.handoverPending = l.takeOvers.Offer(takeOver{entry: entry, account: a, predecessor: predecessor})
}

// takeOver requests the ledger from the previous limiter. Without a complete ledger
// nothing is granted until the leases that it may have granted have expired.
func (l *limiter) takeOver(ctx context.Context, t takeOver) {
	ctx, cancel := context.WithTimeout(ctx, l.config.PeerTimeout)
	defer cancel()
	var reply handoverReply
	request := handoverRequest{Entry: t.entry, By: l.view.Self().Name}
	err := peer.Call(ctx, l.dialer, t.predecessor, methodHandover, request, &reply)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := t.account
	a.handoverPending = false
	if err == nil && reply.Refused {
		return
	}
	a.superseded = false
	a.grantsFrom = l.locator.safeFrom(t.entry)
	if err != nil || !reply.Complete {
		a.grantsFrom = later(a.grantsFrom, now.Add(l.locator.leaseExpiry))
		l.logger.WithField("entry", t.entry).WithField("predecessor", t.predecessor).
			Debug("limiter waits for leases to end")
	}
	a.importHolders(reply.Holders, now)
	l.grantPending(t.entry, a, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// importHolders adds the holders of a predecessor's ledger. The record of a home that
// has already reported here is newer and is kept.
func (l *ledger) importHolders(holders []holder, now time.Time) {
	for _, h := range holders {
		if _, ok := l.holders[h.ID]; ok {
			continue
		}
		h.lastReport = now
		l.holders[h.ID] = &h
	}
}

// handOver transfers the ledger of an entry to another daemon, which is the limiter
// from then on. It refuses if that daemon is not live in this daemon's view.
func (l *limiter) handOver(r handoverRequest) handoverReply {
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
		a.cancelPending(id)
	}
	a.ledger = newLedger()
	a.grantsFrom = time.Time{}
	a.superseded = false
	a.movedTo = r.By
	a.movedUntil = now.Add(movedRetention)
	return reply
}

// complete reports whether the ledger of an entry contains all holders: either grants
// were already safe here, or no other daemon can have granted a valid lease. The
// caller holds mu.
func (l *limiter) complete(entry string, a *account, now time.Time) bool {
	if a.movedTo != "" {
		return false
	}
	from := a.grantsFrom
	if from.IsZero() {
		from = l.locator.safeFrom(entry)
	}
	return !now.Before(from)
}

// serveHandover handles methodHandover.
func (l *limiter) serveHandover(_ context.Context, s peer.Stream) error {
	var r handoverRequest
	if err := s.Recv(&r); err != nil {
		return err
	}
	return s.Send(l.handOver(r))
}
