package crashguard

import (
	"context"
	"maps"
	"time"

	"ibisline/internal/peer"
)

// methodCrashes is the name of the method by which guards fetch crashes from each other.
const methodCrashes = "poison.crashes"

const (
	// exchangeTimeout limits a call to another daemon. It allows for several round trips
	// between regions.
	exchangeTimeout = 500 * time.Millisecond
	// maxPendingFetches limits the queue of daemons to fetch crashes from, and
	// maxConcurrentFetches the calls at the same time, so that silent daemons do not delay the
	// fetch from another one.
	maxPendingFetches    = 64
	maxConcurrentFetches = 16
)

// crashesRequest requests the crashes that a daemon has learned of after a sequence number of
// one of its processes, or all if that process is another one.
type crashesRequest struct {
	Process int64 `msgpack:"p"`
	After   int64 `msgpack:"a"`
}

// crashesReply holds crashes, and the sequence number up to which they are complete.
type crashesReply struct {
	Process  int64   `msgpack:"p"`
	Sequence int64   `msgpack:"q"`
	Crashes  []Crash `msgpack:"c,omitempty"`
}

// Mark returns a digest of all crashes, which probes carry to other daemons. It is 0 if there
// are none.
func (g *Guard) Mark() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.crashes.digest)
}

// Learn compares the mark of another daemon with the local one. If they differ, Run fetches the
// crashes that this daemon is missing. Learn does not block.
func (g *Guard) Learn(daemon string, mark int64) {
	if mark == 0 || mark == g.Mark() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.fetching[daemon] && g.fetches.Offer(daemon) {
		g.fetching[daemon] = true
	}
}

// fetch fetches the crashes that another daemon has learned of since the last fetch.
func (g *Guard) fetch(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g.mu.Lock()
	request := g.fetched[daemon].next
	g.mu.Unlock()
	var reply crashesReply
	err := peer.Call(ctx, g.Dialer, daemon, methodCrashes, request, &reply)
	g.mu.Lock()
	delete(g.fetching, daemon)
	if err == nil {
		g.fetched[daemon] = lastFetch{next: crashesRequest{Process: reply.Process, After: reply.Sequence}, at: time.Now()}
	}
	g.mu.Unlock()
	if err != nil {
		g.Log.WithError(err).WithField("peer", daemon).Info("cannot fetch the crashes known to a peer")
		return
	}
	g.addAll(reply.Crashes, daemon)
}

// lastFetch is the last fetch of crashes from a daemon, and the request that continues it.
type lastFetch struct {
	next crashesRequest
	at   time.Time
}

// forgetFetches drops the fetches whose crashes have all expired. The caller holds mu.
func (g *Guard) forgetFetches(now time.Time) {
	maps.DeleteFunc(g.fetched, func(_ string, last lastFetch) bool { return now.Sub(last.at) > entryLifetime })
}

func (g *Guard) serveCrashes(_ context.Context, s peer.Stream) error {
	var request crashesRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	g.mu.Lock()
	reply := crashesReply{Process: g.process, Sequence: g.crashes.sequence}
	if request.Process != g.process {
		request.After = 0
	}
	reply.Crashes = g.crashes.since(request.After)
	g.mu.Unlock()
	return s.Send(reply)
}
