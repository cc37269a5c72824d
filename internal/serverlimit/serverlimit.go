// Package serverlimit keeps the requests of the whole fleet to a backend server within the requests
// a second that the server takes from all daemons together. A server in need names its limit in its
// responses, for as long as it holds.
//
// A daemon that has heard of a limit needs a permit for each request to that server. The permits for
// one run of a server are issued by one daemon, the issuer, which is chosen by rendezvous hashing
// among the live gateways of the server's region. It keeps a token bucket for the run, and learns
// the limit from the daemons that ask. The limit holds as follows:
//   - A permit is used at once. A daemon that is denied one asks again only after the time that the
//     issuer has named.
//   - While the issuer does not answer, a daemon uses a share of the limit for itself: half of the
//     limit divided by the number of gateways, as the issuer may still issue the limit to others.
//   - Gateways that cannot reach each other have issuers of their own. Each issues the part of the
//     limit that corresponds to the gateways it reaches.
//   - An issuer that does not hear of the others takes no permits from itself: it may be the one that is cut off.
//   - The bucket of a new issuer is empty, and a daemon issues nothing right after its start.
//   - A request that cannot be avoided, such as the resume of a stream, is charged.
//   - A limit ends after two responses without one to later requests, of any daemons.
package serverlimit

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/issuers"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
)

const (
	methodTake = "serverlimit.take"
	// askTimeout limits a call to the issuer. It allows for several round trips between regions.
	askTimeout = 200 * time.Millisecond
	// silentIssuerPause is the time for which an issuer that did not answer is not asked again, and
	// otherIssuerPause that for one which says that it does not issue: the views of the membership
	// will soon agree.
	silentIssuerPause = time.Second
	otherIssuerPause  = 100 * time.Millisecond
	// minDenial is the shortest time between two requests for permits after a denial.
	minDenial = 5 * time.Millisecond
	// ownShareFactor is the part of the limit that all daemons together use while an issuer is silent.
	ownShareFactor = 0.5
	// permitLifetime is the time within which a permit must be used.
	permitLifetime = 250 * time.Millisecond
	// maintenanceInterval is the interval at which the gateways are counted, and the state of servers
	// that are no longer listed is dropped.
	maintenanceInterval = 2 * time.Second
)

// Deps holds the services that Limits depend on.
type Deps struct {
	View   issuers.View
	Dialer peer.Dialer
	Mux    peer.Mux
	// Listed reports whether a server is listed by the platform, under a name.
	Listed func(name string) bool
	// Clock returns the time since some moment, also while the process or the machine stands still.
	Clock   func() time.Duration
	Metrics *metrics.Set
	Log     log.Interface
}

// Limits issues and takes the permits of the servers that name limits. It is a kernel service and
// safe for concurrent use.
type Limits struct {
	deps Deps

	limitedSends *metrics.Counter
	denied       *metrics.Counter
	unanswered   *metrics.Counter

	mu     sync.Mutex
	known  *knowledge
	issuer *issuer
	// stocks holds what this daemon has of the permits of each run.
	stocks map[run]*stock
	// silentUntil holds the issuers that did not answer, and the time until which they are not asked.
	silentUntil map[string]time.Time
	census      *issuers.Census
	// confirmedAt holds the times, by Deps.Clock, at which other gateways took this one for the issuer of a run, and
	// confirming the runs for which they are being asked.
	confirmedAt map[run]time.Duration
	confirming  map[run]bool
	// running is the context of the confirmations, nil before and after Run.
	running       context.Context
	confirmations sync.WaitGroup
}

// stock is what a daemon has of the permits of one run.
type stock struct {
	permits int
	expires time.Time
	// deniedUntil is the time before which the issuer has no permit for this daemon.
	deniedUntil time.Time
	// own is this daemon's share of the limit while the issuer is silent, and ownUsedAt the time at
	// which it was used last.
	own       *bucket
	ownUsedAt time.Time
}

// New returns Limits and registers their method with the mux.
func New(deps Deps) *Limits {
	l := &Limits{
		deps:         deps,
		limitedSends: deps.Metrics.GetOrCreateCounter("ibisline_server_limit_sends_total"),
		denied:       deps.Metrics.GetOrCreateCounter("ibisline_server_limit_denied_total"),
		unanswered:   deps.Metrics.GetOrCreateCounter("ibisline_server_limit_unanswered_total"),
		known:        newKnowledge(),
		issuer:       newIssuer(time.Now()),
		stocks:       map[run]*stock{},
		silentUntil:  map[string]time.Time{},
		census:       issuers.NewCensus(deps.View),
		confirmedAt:  map[run]time.Duration{},
		confirming:   map[run]bool{},
	}
	deps.Metrics.GetOrCreateGauge("ibisline_server_limits", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(len(l.known.limits))
	})
	deps.Mux.Handle(methodTake, l.serveTake)
	deps.Mux.Handle(methodIssuer, l.serveIssuer)
	return l
}

// Run drops the state of servers that are gone until ctx ends.
func (l *Limits) Run(ctx context.Context) error {
	maintenance := timers.NewTicker(maintenanceInterval)
	defer maintenance.Stop()
	l.startConfirmations(ctx)
	defer l.endConfirmations()
	for {
		l.maintain()
		select {
		case <-ctx.Done():
			return nil
		case <-maintenance.C:
		}
	}
}

// maintain counts the gateways and drops the state of servers that are no longer listed.
func (l *Limits) maintain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.census.Count(time.Now())
	listed := func(of run) bool { return l.deps.Listed(of.Server) }
	l.known.retain(listed)
	l.issuer.retain(listed)
	maps.DeleteFunc(l.stocks, func(of run, _ *stock) bool { return !listed(of) })
	maps.DeleteFunc(l.confirmedAt, func(of run, _ time.Duration) bool { return !listed(of) })
}

// Observe records what the response of a server says about its limit. The request was sent at the
// given time.
func (l *Limits) Observe(server structs.Server, n Notice, sentAt time.Time) {
	now := time.Now()
	l.mu.Lock()
	before, wasLimited := l.known.limitOf(runOf(server))
	changed := l.known.observe(runOf(server), n, sentAt, now)
	named, limited := l.known.limitOf(runOf(server))
	l.mu.Unlock()
	if limited {
		l.limitedSends.Inc()
	}
	if wasLimited && n.Kind == Unlimited && sentAt.After(before.heardAt) {
		go l.report(server, now)
	}
	if !changed {
		return
	}
	entry := l.deps.Log.WithField("server", server.Name).WithField("started", server.StartedMS)
	if limited {
		entry.WithField("per_second", named.perSecond).Info("backend server names a limit")
		return
	}
	entry.Info("backend server names no limit any more")
}

// report tells the issuer of a server that a response named no limit.
func (l *Limits) report(server structs.Server, heardAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	l.ask(ctx, server, takeRequest{Purpose: reportUnlimited, HeardAgo: time.Since(heardAt)})
}

// Limited reports whether a server names a limit.
func (l *Limits) Limited(server structs.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.known.limitOf(runOf(server))
	return limited
}

// Denied returns the time until a permit for a server may be available, and false if one may be
// available now or the server names no limit.
func (l *Limits) Denied(server structs.Server) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited := l.known.limitOf(runOf(server)); !limited {
		return 0, false
	}
	held := l.stocks[runOf(server)]
	if held == nil {
		return 0, false
	}
	wait := time.Until(held.deniedUntil)
	return wait, wait > 0
}

// Take takes a permit for one request to a server, which is to be sent at once. It returns true if
// there is one or the server names no limit, and false after it was denied.
func (l *Limits) Take(ctx context.Context, server structs.Server) bool {
	of := runOf(server)
	l.mu.Lock()
	named, limited := l.known.limitOf(of)
	if !limited {
		l.mu.Unlock()
		return true
	}
	now := time.Now()
	held := l.stock(of)
	if held.permits > 0 && now.Before(held.expires) {
		held.permits--
		l.mu.Unlock()
		return true
	}
	if now.Before(held.deniedUntil) {
		l.mu.Unlock()
		return false
	}
	l.mu.Unlock()
	reply := l.ask(ctx, server, takeRequest{
		Purpose: takePermits, PerSecond: named.perSecond, HeardAgo: now.Sub(named.heardAt),
	})
	if reply.Ended {
		l.end(of, named)
		return true
	}
	return l.use(of, reply)
}

// end forgets a limit that has ended, unless it was heard again meanwhile.
func (l *Limits) end(of run, named namedLimit) {
	l.mu.Lock()
	ended := l.known.end(of, named.heardAt)
	l.mu.Unlock()
	if ended {
		l.deps.Log.WithField("server", of.Server).WithField("started", of.Started).
			Info("backend server names no limit any more, as others have heard")
	}
}

// use takes one of the permits of a reply, and keeps the others.
func (l *Limits) use(of run, reply takeReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, now := l.stock(of), time.Now()
	if reply.Granted > 0 {
		held.permits, held.expires = reply.Granted-1, now.Add(permitLifetime)
		held.deniedUntil = time.Time{}
		return true
	}
	held.deniedUntil = now.Add(max(reply.RetryIn, minDenial))
	l.denied.Inc()
	return false
}

// Charge takes a permit for a request that is sent to a server in any case. It does not block.
func (l *Limits) Charge(server structs.Server) {
	l.mu.Lock()
	named, limited := l.known.limitOf(runOf(server))
	l.mu.Unlock()
	if !limited {
		return
	}
	go l.ask(context.Background(), server, takeRequest{
		Purpose: chargePermit, PerSecond: named.perSecond, HeardAgo: time.Since(named.heardAt),
	})
}

// stock returns the stock of a run. The caller holds mu.
func (l *Limits) stock(of run) *stock {
	held := l.stocks[of]
	if held == nil {
		held = &stock{}
		l.stocks[of] = held
	}
	return held
}

// ask asks the issuer of a server for permits, or uses this daemon's own share while that does not
// answer.
func (l *Limits) ask(ctx context.Context, server structs.Server, r takeRequest) takeReply {
	r.From, r.Run, r.Region = l.deps.View.Self().Name, runOf(server), server.Region
	issuer, found := l.issuerOf(r.Region, r.Run)
	var reply takeReply
	answered := false
	switch {
	case !found:
	case issuer == r.From:
		reply = l.issue(r)
		answered = !reply.NotIssuer
	default:
		reply, answered = l.call(ctx, issuer, r)
	}
	if answered || r.Purpose == reportUnlimited {
		return reply
	}
	return l.takeOwnShare(r)
}

// call asks a daemon for permits. It returns false if that is not the issuer or does not answer.
func (l *Limits) call(ctx context.Context, issuer string, r takeRequest) (takeReply, bool) {
	l.mu.Lock()
	silent := time.Now().Before(l.silentUntil[issuer])
	l.mu.Unlock()
	if silent {
		return takeReply{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply takeReply
	err := peer.Call(callCtx, l.deps.Dialer, issuer, methodTake, r, &reply)
	pause := otherIssuerPause
	switch {
	case err == nil && !reply.NotIssuer:
		return reply, true
	case ctx.Err() != nil:
		// The request has ended, which says nothing about the issuer.
		return takeReply{}, false
	case err != nil:
		pause = silentIssuerPause
		l.unanswered.Inc()
		l.deps.Log.WithError(err).WithField("peer", issuer).WithField("server", r.Run.Server).
			Info("no permits from the issuer, own share is used")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUntil[issuer] = time.Now().Add(pause)
	return takeReply{}, false
}

// takeOwnShare takes a permit of this daemon's own share of a limit.
func (l *Limits) takeOwnShare(r takeRequest) takeReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	_, known := l.census.Count(now)
	perSecond := clampRate(r.PerSecond) * ownShareFactor / float64(known)
	held := l.stock(r.Run)
	if held.own == nil || now.Sub(held.ownUsedAt) > 2*silentIssuerPause {
		// What has accumulated while the issuer answered was granted by it.
		held.own = newBucket(perSecond, now)
	}
	held.own.setRate(perSecond, now)
	held.ownUsedAt = now
	if r.Purpose == chargePermit {
		held.own.charge(now)
		return takeReply{}
	}
	if held.own.take(1, now) == 1 {
		return takeReply{Granted: 1}
	}
	return takeReply{RetryIn: min(held.own.untilNext(now), otherIssuerPause)}
}

// issue answers a request as the issuer.
func (l *Limits) issue(r takeRequest) takeReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.From != l.deps.View.Self().Name {
		l.confirmedAt[r.Run] = l.deps.Clock()
	} else if !l.isConfirmed(r) {
		return takeReply{NotIssuer: true}
	}
	now := time.Now()
	live, known := l.census.Count(now)
	return l.issuer.take(r, float64(live)/float64(known), live, now)
}

// issuerOf returns the daemon that issues the permits of a run of a server in a region, and false if
// there is none.
func (l *Limits) issuerOf(region string, of run) (string, bool) {
	return issuers.Of(l.deps.View, region, of.Server)
}

// serveTake handles methodTake.
func (l *Limits) serveTake(_ context.Context, s peer.Stream) error {
	var r takeRequest
	if err := s.Recv(&r); err != nil {
		return err
	}
	issuer, found := l.issuerOf(r.Region, r.Run)
	if !found || issuer != l.deps.View.Self().Name {
		return s.Send(takeReply{NotIssuer: true})
	}
	return s.Send(l.issue(r))
}
