package serverlimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

const (
	methodIssuer = "serverlimit.issuer"

	// confirmAfter is the time after which an issuer that gets no requests of others asks some of them whether it still is
	// the issuer, and confirmLimit that after which it takes permits from itself only if one has said so. An issuer
	// that stood still, or is cut off, still sees the members of before, while the others have another issuer.
	confirmAfter = 500 * time.Millisecond
	confirmLimit = time.Second
	// confirmTargets is the number of gateways that are asked.
	confirmTargets = 2
)

// issuerRequest asks a gateway which one issues the permits of a run of a server in a region.
type issuerRequest struct {
	Region string `msgpack:"g"`
	Run    run    `msgpack:"r"`
}

// issuerReply holds its name, "" if there is none.
type issuerReply struct {
	Issuer string `msgpack:"i,omitempty"`
}

// isConfirmed reports whether another gateway has lately taken this one for the issuer of a run, and asks some if not.
// The caller holds mu.
func (l *Limits) isConfirmed(r takeRequest) bool {
	others := l.otherGateways()
	if len(others) == 0 {
		return true
	}
	since := l.deps.Clock() - l.confirmedAt[r.Run]
	if ctx := l.running; since > confirmAfter && ctx != nil && !l.confirming[r.Run] {
		rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
		l.confirming[r.Run] = true
		asked := slices.Clone(others[:min(len(others), confirmTargets)])
		l.confirmations.Go(func() { l.confirm(ctx, issuerRequest{Region: r.Region, Run: r.Run}, asked) })
	}
	_, known := l.confirmedAt[r.Run]
	return known && since <= confirmLimit
}

// startConfirmations lets confirmations run in the background, with a context.
func (l *Limits) startConfirmations(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = ctx
}

// endConfirmations waits for those that run and lets no more run.
func (l *Limits) endConfirmations() {
	l.mu.Lock()
	l.running = nil
	l.mu.Unlock()
	l.confirmations.Wait()
}

// otherGateways returns the names of the other live gateways.
func (l *Limits) otherGateways() (names []string) {
	for _, instance := range l.deps.View.Live() {
		if instance.Duty == structs.DutyGateway && instance.Name != l.deps.View.Self().Name {
			names = append(names, instance.Name)
		}
	}
	return names
}

// confirm asks gateways whether this one is the issuer of a run.
func (l *Limits) confirm(ctx context.Context, r issuerRequest, names []string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	done := make(chan struct{}, len(names))
	for _, name := range names {
		go func() {
			defer func() { done <- struct{}{} }()
			var reply issuerReply
			err := peer.Call(ctx, l.deps.Dialer, name, methodIssuer, r, &reply)
			if err != nil || reply.Issuer != l.deps.View.Self().Name {
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.confirmedAt[r.Run] = l.deps.Clock()
		}()
	}
	for range names {
		<-done
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.confirming, r.Run)
}

// serveIssuer handles methodIssuer.
func (l *Limits) serveIssuer(_ context.Context, s peer.Stream) error {
	var r issuerRequest
	if err := s.Recv(&r); err != nil {
		return err
	}
	issuer, _ := l.issuerOf(r.Region, r.Run)
	return s.Send(issuerReply{Issuer: issuer})
}
