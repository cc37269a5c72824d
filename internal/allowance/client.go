package allowance

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"ibisline/internal/allowance/ledger"
	"ibisline/internal/peer"
	"ibisline/internal/verdict"
)

// Client reserves tokens for the turns that enter at this daemon.
type Client struct {
	config Config
	fleet  Fleet
	dialer peer.Dialer
	local  *Home
	logger log.Interface

	mu sync.Mutex
	// learned holds the homes that decided last, by shard.
	learned map[int]string
}

// NewClient returns a client. Local is this daemon's own home.
func NewClient(config Config, fleet Fleet, dialer peer.Dialer, local *Home, logger log.Interface) *Client {
	return &Client{
		config: config.withDefaults(), fleet: fleet, dialer: dialer, local: local, logger: logger, learned: map[int]string{},
	}
}

const (
	// maxHomes bounds the daemons asked about one reservation.
	maxHomes = 5
	// reserveRetry is the time after which a caller is to try again when no
	// home has decided: what a takeover takes.
	reserveRetry = 150 * time.Millisecond
)

// Reserve asks the home of a program for the tokens of a turn. Errors are refusals:
// BudgetSpent when the budget does not hold the turn, otherwise PeerLost or NotHome
// with a time after which to try again.
func (c *Client) Reserve(ctx context.Context, r ledger.Reservation) (ledger.Grant, error) {
	limited, cancel := context.WithTimeout(ctx, c.config.ReserveLimit)
	g, err := c.search(limited, r)
	if err != nil {
		cancel()
		return nil, err
	}
	g.cancel = cancel
	return g, nil
}

// search asks daemons until one decides.
func (c *Client) search(ctx context.Context, r ledger.Reservation) (*grant, error) {
	shard := c.config.shardOf(r.Program)
	var skipped []string
	next := ""
	asked := map[string]bool{}
	var failure error
	for range maxHomes {
		home := next
		if home == "" {
			home = c.choose(shard, skipped)
		}
		insist := next != "" && asked[home]
		asked[home] = true
		next = ""
		if home == "" || ctx.Err() != nil {
			break
		}
		g, reply, err := c.ask(ctx, home, reserveRequest{Reservation: r, Skipped: skipped, Insist: insist})
		switch {
		case err == nil && g != nil:
			c.learn(shard, home)
			return g, nil
		case err == nil && reply.Spent:
			c.learn(shard, home)
			return nil, verdict.Refuse(verdict.BudgetSpent, "the budget of %d tokens does not hold another turn", r.Budget)
		case err == nil:
			next = reply.Home
		default:
			failure = err
			c.forget(shard, home)
			c.logger.WithError(err).WithField("request", r.ID).WithField("program", r.Program).WithField("home", home).
				Info("home of a budget did not decide")
			if !verdict.HasReason(err, verdict.NotHome) {
				// One that has just lost the shard knows by now to whom.
				skipped = append(skipped, home)
			}
		}
	}
	return nil, refuse(failure)
}

// refuse returns the refusal when no home has decided.
func refuse(cause error) error {
	if cause == nil {
		return verdict.Refuse(verdict.NotHome, "no daemon decides about the program's budget").RetryIn(reserveRetry)
	}
	return verdict.Wrap(cause, verdict.NotRun, verdict.PeerLost, "no daemon has decided about the program's budget").RetryIn(reserveRetry)
}

// choose returns the daemon to ask about a shard, "" when none is left.
func (c *Client) choose(shard int, skipped []string) string {
	excluded := map[string]bool{}
	for _, name := range skipped {
		excluded[name] = true
	}
	names := ranked(c.fleet.Live(), shard)
	c.mu.Lock()
	known := c.learned[shard]
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

// learn notes which daemon decides about a shard.
func (c *Client) learn(shard int, home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned[shard] = home
}

// forget drops what was learned about a home that did not answer.
func (c *Client) forget(shard int, home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.learned[shard] == home {
		delete(c.learned, shard)
	}
}

// ask sends a reservation to one daemon. The grant is nil unless it was granted, for
// sure or ahead of being written down.
func (c *Client) ask(ctx context.Context, home string, request reserveRequest) (*grant, reserveReply, error) {
	g := &grant{client: c, home: home, reservation: request.Reservation}
	if home == c.fleet.Self().Name {
		return c.askLocal(ctx, g, request)
	}
	streamCtx, closeStream := context.WithCancel(ctx)
	// The watchdog ends the wait for a home that says nothing at all.
	watchdog := time.AfterFunc(c.config.ReserveTimeout, closeStream)
	s, err := c.dialer.Open(streamCtx, home, methodReserve)
	if err != nil {
		watchdog.Stop()
		closeStream()
		return nil, reserveReply{}, err
	}
	reply, err := exchange(s, request, watchdog)
	if err == nil && reply.Ahead {
		g.final = func(context.Context) (reserveReply, error) {
			defer closeStream()
			defer s.Close()
			return receive(s)
		}
		g.drop = func() {
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

// askLocal asks this daemon's own home.
func (c *Client) askLocal(ctx context.Context, g *grant, request reserveRequest) (*grant, reserveReply, error) {
	reply, confirm, err := c.local.reserve(ctx, request)
	switch {
	case err != nil:
		return nil, reply, err
	case reply.Ahead:
		confirmCtx, stop := context.WithCancel(ctx)
		g.final = func(context.Context) (reserveReply, error) {
			defer stop()
			return confirm(confirmCtx)
		}
		g.drop = stop
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
	// final returns the decision that follows one ahead, nil after a final one,
	// and drop ends the wait for it.
	final func(context.Context) (reserveReply, error)
	drop  func()
}

// Confirm implements ledger.Grant. When the home is lost before the grant is written
// down, another one decides anew.
func (g *grant) Confirm(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var failure error
	for range maxConfirms {
		if g.final == nil {
			return nil
		}
		reply, err := g.final(ctx)
		g.final, g.drop = nil, nil
		if err == nil && reply.Granted {
			return nil
		}
		failure = err
		g.client.forget(g.client.config.shardOf(g.reservation.Program), g.home)
		if err := g.searchAgain(ctx); err != nil {
			return err
		}
	}
	return refuse(failure)
}

// maxConfirms bounds the homes that decide about one turn.
const maxConfirms = 3

// searchAgain reserves the same turn anew.
func (g *grant) searchAgain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, g.client.config.ReserveLimit)
	again, err := g.client.search(ctx, g.reservation)
	if err != nil {
		cancel()
		return err
	}
	g.cancel()
	g.home, g.final, g.drop, g.cancel = again.home, again.final, again.drop, cancel
	return nil
}

// releaseTimeout bounds the message that ends a reservation. When it is lost, the
// home counts the turn at its most.
const releaseTimeout = 2 * time.Second

// Release implements ledger.Grant.
func (g *grant) Release(used int) {
	g.mu.Lock()
	home, drop := g.home, g.drop
	g.final, g.drop = nil, nil
	defer g.cancel()
	g.mu.Unlock()
	if drop != nil {
		drop()
	}
	g.client.release(home, releaseRequest{Program: g.reservation.Program, ID: g.reservation.ID, Used: used})
}

// release tells the home that a turn has ended.
func (c *Client) release(home string, request releaseRequest) {
	if home == c.fleet.Self().Name {
		c.local.Release(request)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := peer.Call(ctx, c.dialer, home, methodRelease, request, &done{}); err != nil {
			c.logger.WithError(err).WithField("request", request.ID).WithField("program", request.Program).
				WithField("home", home).Info("end of a turn not told to its home")
		}
	}()
}
