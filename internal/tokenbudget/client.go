package tokenbudget

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/verdict"
)

// Client reserves tokens for the turns that this daemon accepts.
type Client struct {
	config Config
	fleet  Fleet
	dialer peer.Dialer
	local  *Home
	logger log.Interface
	// releases delivers the ends of turns.
	releases *releases

	mu sync.Mutex
	// homes caches the home that decided last, by shard.
	homes map[int]string
}

// NewClient returns a client. Local is this daemon's own Home.
func NewClient(config Config, fleet Fleet, dialer peer.Dialer, local *Home, logger log.Interface) *Client {
	c := &Client{
		config: config.withDefaults(), fleet: fleet, dialer: dialer, local: local, logger: logger, homes: map[int]string{},
	}
	c.releases = &releases{client: c, undelivered: map[int]map[endedTurn]time.Time{}}
	return c
}

const (
	// maxHomesAsked limits the daemons asked about one reservation.
	maxHomesAsked = 5
	// reserveRetryAfter is the suggested retry delay when no home has decided: the usual
	// duration of a takeover.
	reserveRetryAfter = 150 * time.Millisecond
	// doubtRetryAfter is the suggested retry delay while a home does not know which turns of its predecessor
	// have ended: the time in which gateways notice its loss and tell the new home.
	doubtRetryAfter = 500 * time.Millisecond
)

// Reserve asks the home of a program for the tokens of a turn. Its errors are refusals:
// BudgetSpent when the turn exceeds the budget, otherwise PeerLost or NotHome with a retry
// delay.
func (c *Client) Reserve(ctx context.Context, r ledger.Reservation) (ledger.Grant, error) {
	r.ID = newReservationID(c.fleet.Self())
	limited, cancel := context.WithTimeout(ctx, c.config.ReserveLimit)
	g, err := c.reserveAtHome(limited, r)
	if err != nil {
		cancel()
		return nil, err
	}
	g.cancel = cancel
	return g, nil
}

// idBase is the base of the numbers in the identifier of a reservation, and idSeparator separates them.
const (
	idBase      = 36
	idSeparator = "-"
)

// newReservationID returns an identifier that no other reservation has. It begins with the incarnation of the
// daemon that serves the turn.
func newReservationID(self structs.Instance) string {
	return strconv.FormatUint(self.Incarnation, idBase) + idSeparator + strconv.FormatUint(rand.Uint64(), idBase)
}

// servedBy reports whether the turn of a reservation is served by one of some daemons.
func servedBy(id string, daemons []structs.Instance) bool {
	incarnation, _, _ := strings.Cut(id, idSeparator)
	return slices.ContainsFunc(daemons, func(d structs.Instance) bool {
		return strconv.FormatUint(d.Incarnation, idBase) == incarnation
	})
}

// reserveAtHome asks daemons until one decides.
func (c *Client) reserveAtHome(ctx context.Context, r ledger.Reservation) (granted *grant, _ error) {
	shard := c.config.shardOf(r.Program)
	var skipped []string
	unanswered := ""
	// A home that did not answer may have granted the turn all the same.
	defer func() {
		if granted == nil && unanswered != "" {
			c.releases.deliver(unanswered, endedTurn{Program: r.Program, ID: r.ID})
		}
	}()
	next := ""
	asked := map[string]bool{}
	var failure error
	for range maxHomesAsked {
		home := next
		if home == "" {
			home = c.chooseHome(shard, skipped)
		}
		noRedirect := next != "" && asked[home]
		next = ""
		if home == "" || ctx.Err() != nil {
			break
		}
		askedAt := time.Now()
		asked[home] = true
		g, reply, err := c.ask(ctx, home, reserveRequest{Reservation: r, Skipped: skipped, NoRedirect: noRedirect})
		switch {
		case err == nil && g != nil:
			c.cacheHome(shard, home)
			return g, nil
		case err == nil && reply.Spent:
			c.cacheHome(shard, home)
			return nil, verdict.Refuse(verdict.BudgetSpent, "the budget of %d tokens does not hold another turn", r.Budget)
		case err == nil && reply.InDoubt:
			c.cacheHome(shard, home)
			return nil, verdict.Refuse(verdict.BudgetInDoubt, "turns before may still be in progress").RetryIn(doubtRetryAfter)
		case err == nil:
			next = reply.Home
			if reply.Leaving {
				skipped = append(skipped, home)
			}
		default:
			failure = err
			c.evictHome(shard, home)
			c.logger.WithError(err).WithField("request", r.Request).WithField("program", r.Program).WithField("home", home).
				WithField("waited_ms", time.Since(askedAt).Milliseconds()).WithField("skipped", skipped).
				Info("home of a budget did not decide")
			if !verdict.HasReason(err, verdict.NotHome) {
				// A daemon that has just lost the shard can redirect to its successor: don't
				// skip it.
				skipped = append(skipped, home)
				unanswered = home
			}
		}
	}
	return nil, noDecision(failure)
}

// noDecision returns the refusal for the case that no home has decided.
func noDecision(cause error) error {
	if cause == nil {
		return verdict.Refuse(verdict.NotHome, "no daemon decides about the program's budget").RetryIn(reserveRetryAfter)
	}
	return verdict.Wrap(cause, verdict.NotRun, verdict.PeerLost, "no daemon has decided about the program's budget").RetryIn(reserveRetryAfter)
}

// chooseHome returns the daemon to ask about a shard, "" when none is left.
func (c *Client) chooseHome(shard int, skipped []string) string {
	excluded := map[string]bool{}
	for _, name := range skipped {
		excluded[name] = true
	}
	names := rankHomes(c.fleet.Live(), shard)
	c.mu.Lock()
	known := c.homes[shard]
	c.mu.Unlock()
	if known != "" && !excluded[known] {
		for _, name := range names {
			if name == known {
				return name
			}
		}
	}
	for _, name := range names {
		if !excluded[name] {
			return name
		}
	}
	return ""
}

// cacheHome stores which daemon decides about a shard.
func (c *Client) cacheHome(shard int, home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homes[shard] = home
}

// evictHome removes a home that did not decide from the cache.
func (c *Client) evictHome(shard int, home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.homes[shard] == home {
		delete(c.homes, shard)
	}
}

// ask sends a reservation to one daemon. The grant is nil unless the reservation was
// granted, finally or provisionally.
func (c *Client) ask(ctx context.Context, home string, request reserveRequest) (*grant, reserveReply, error) {
	g := &grant{client: c, home: home, reservation: request.Reservation}
	if home == c.fleet.Self().Name {
		return c.askLocal(ctx, g, request)
	}
	streamCtx, closeStream := context.WithCancel(ctx)
	// The watchdog cancels the request if the home sends no reply at all.
	watchdog := time.AfterFunc(c.config.ReserveTimeout, closeStream)
	s, err := c.dialer.Open(streamCtx, home, methodReserve)
	if err != nil {
		watchdog.Stop()
		closeStream()
		return nil, reserveReply{}, err
	}
	reply, err := exchange(s, request, watchdog)
	if err == nil && reply.Provisional {
		g.awaitDecision = func(context.Context) (reserveReply, error) {
			defer closeStream()
			defer s.Close()
			return receive(s)
		}
		g.abort = func() {
			s.Close()
			closeStream()
		}
		return g, reply, nil
	}
	s.Close()
	closeStream()
	if err != nil || !reply.Granted {
		return nil, reply, err
	}
	return g, reply, nil
}

// exchange sends a reservation and returns the first decision.
func exchange(s peer.Stream, request reserveRequest, watchdog *time.Timer) (reserveReply, error) {
	defer watchdog.Stop()
	if err := s.Send(request); err != nil {
		return reserveReply{}, err
	}
	for {
		var reply reserveReply
		if err := s.Recv(&reply); err != nil || !reply.Pending {
			return reply, err
		}
		watchdog.Stop()
	}
}

// receive returns the final decision.
func receive(s peer.Stream) (reserveReply, error) {
	var reply reserveReply
	err := s.Recv(&reply)
	return reply, err
}

// askLocal asks this daemon's own Home.
func (c *Client) askLocal(ctx context.Context, g *grant, request reserveRequest) (*grant, reserveReply, error) {
	reply, confirm, err := c.local.reserve(ctx, request)
	switch {
	case err != nil:
		return nil, reply, err
	case reply.Provisional:
		confirmCtx, stop := context.WithCancel(ctx)
		g.awaitDecision = func(context.Context) (reserveReply, error) {
			defer stop()
			return confirm(confirmCtx)
		}
		g.abort = stop
		return g, reply, nil
	case reply.Granted:
		return g, reply, nil
	default:
		return nil, reply, nil
	}
}

// grant implements ledger.Grant.
type grant struct {
	client      *Client
	reservation ledger.Reservation
	cancel      context.CancelFunc

	mu   sync.Mutex
	home string
	// awaitDecision returns the final decision after a provisional one and is nil otherwise.
	// abort cancels the wait for it.
	awaitDecision func(context.Context) (reserveReply, error)
	abort         func()
}

// Confirm waits until the grant is durable. If the home is lost before that, another home
// decides about the turn again.
func (g *grant) Confirm(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var failure error
	for range maxConfirms {
		if g.awaitDecision == nil {
			return nil
		}
		reply, err := g.awaitDecision(ctx)
		g.awaitDecision, g.abort = nil, nil
		if err == nil && reply.Granted {
			return nil
		}
		failure = err
		g.client.evictHome(g.client.config.shardOf(g.reservation.Program), g.home)
		if err := g.reserveAgain(ctx); err != nil {
			return err
		}
	}
	return noDecision(failure)
}

// maxConfirms limits the homes that decide about one turn.
const maxConfirms = 3

// reserveAgain repeats the reservation of the same turn.
func (g *grant) reserveAgain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, g.client.config.ReserveLimit)
	again, err := g.client.reserveAtHome(ctx, g.reservation)
	if err != nil {
		cancel()
		return err
	}
	g.cancel()
	g.home, g.awaitDecision, g.abort, g.cancel = again.home, again.awaitDecision, again.abort, cancel
	return nil
}

// Release ends the reservation and sends the usage to its home.
func (g *grant) Release(used int) {
	g.mu.Lock()
	home, abort := g.home, g.abort
	g.awaitDecision, g.abort = nil, nil
	defer g.cancel()
	g.mu.Unlock()
	if abort != nil {
		abort()
	}
	g.client.releases.deliver(home, endedTurn{Program: g.reservation.Program, ID: g.reservation.ID, Used: used})
}
