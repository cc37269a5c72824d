package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// probeTimeout bounds the look whether an engine crashed.
const probeTimeout = time.Second

// underWay holds the requests at one engine, so that a crash is judged once
// with all the requests that it hit.
type underWay struct {
	mu       sync.Mutex
	requests map[*flight]struct{}
}

// flight is one request at the engine. inquiry is set while, and after, its cut
// was or is looked into.
type flight struct {
	request structs.GenerateRequest
	inquiry *inquiry
}

// inquiry is the look into one cut connection and the requests of that moment.
type inquiry struct {
	flights []*flight
	done    chan struct{}
}

func newUnderWay() *underWay { return &underWay{requests: map[*flight]struct{}{}} }

func (u *underWay) begin(request structs.GenerateRequest) *flight {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := &flight{request: request}
	u.requests[f] = struct{}{}
	return f
}

func (u *underWay) end(f *flight) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.requests, f)
}

// has reports whether a program has a request at the engine.
func (u *underWay) has(program string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for f := range u.requests {
		if f.request.Program == program {
			return true
		}
	}
	return false
}

// inquire returns the inquiry of a flight, and whether the caller has to hold
// it. A new one covers all flights that no other covers.
func (u *underWay) inquire(f *flight) (*inquiry, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f.inquiry != nil {
		return f.inquiry, false
	}
	i := &inquiry{done: make(chan struct{})}
	for other := range u.requests {
		if other.inquiry == nil {
			other.inquiry = i
			i.flights = append(i.flights, other)
		}
	}
	return i, true
}

// dismiss ends an inquiry that found no crash; its flights may be cut again.
func (u *underWay) dismiss(i *inquiry) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range i.flights {
		f.inquiry = nil
	}
}

// cut looks into a connection that ended in the middle of a request. It returns
// once the requests hit by a crash are known to the other daemons.
func (e *engine) cut(ctx context.Context, f *flight) {
	i, mine := e.underWay.inquire(f)
	if !mine {
		<-i.done
		return
	}
	defer close(i.done)
	// The inquiry is for all requests; it does not end with the first of them.
	ctx = context.WithoutCancel(ctx)
	if !e.crashed(ctx) {
		e.underWay.dismiss(i)
		return
	}
	e.measures.crashes.Inc()
	e.cache.clear()
	requests := make([]structs.GenerateRequest, len(i.flights))
	for n, hit := range i.flights {
		requests[n] = hit.request
	}
	e.quarantined.crashed(ctx, e.name, requests)
}

// crashed reports whether the engine is down, or up again without the memory
// that it held.
func (e *engine) crashed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	server := e.description()
	if _, err := e.client.Load(ctx, server); err != nil {
		if errors.Is(err, backend.ErrUnreachable) {
			e.setDown(true)
			return true
		}
		return errors.Is(err, backend.ErrTruncated)
	}
	held, err := e.client.ListKV(ctx, server)
	return err == nil && e.cache.lost(held)
}
