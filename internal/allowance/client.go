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
	// learned holds homes other than the ones that the hash names, by shard.
	learned map[int]learned
}

// learned is a home that answered in place of another.
type learned struct {
	home string
	at   time.Time
}

// NewClient returns a client. Local is this daemon's own home.
func NewClient(config Config, fleet Fleet, dialer peer.Dialer, local *Home, logger log.Interface) *Client {
	return &Client{
		config: config.withDefaults(), fleet: fleet, dialer: dialer, local: local, logger: logger, learned: map[int]learned{},
	}
}

// Reserve asks the home of a program for the tokens of a turn. Errors are refusals:
// BudgetSpent when the budget does not hold the turn, otherwise PlatformDown or
// PeerLost with a time after which to try again.
//
// The function returned ends the reservation with the number of tokens that the
// turn generated. It is called once and does not wait.
func (c *Client) Reserve(ctx context.Context, r ledger.Reservation) (func(used int), error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ReserveLimit)
	defer cancel()
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
		reply, err := c.ask(ctx, home, reserveRequest{Reservation: r, Skipped: skipped, Insist: insist})
		switch {
		case err == nil && reply.Granted:
			c.learn(shard, home)
			return func(used int) { c.release(home, releaseRequest{Program: r.Program, ID: r.ID, Used: used}) }, nil
		case err == nil && reply.Spent:
			c.learn(shard, home)
			return nil, verdict.Refuse(verdict.BudgetSpent, "the budget of %d tokens does not hold another turn", r.Budget)
		case err == nil:
			next = reply.Home
		case verdict.HasReason(err, verdict.NotHome):
			// It has just lost the shard; by now it knows to whom.
			failure = err
			c.forget(shard, home)
		default:
			failure = err
			c.forget(shard, home)
			c.logger.WithError(err).WithField("request", r.ID).WithField("program", r.Program).WithField("home", home).
				Info("home of a budget did not decide")
			if !verdict.HasReason(err, verdict.PlatformDown) {
				skipped = append(skipped, home)
			}
		}
	}
	return nil, refuse(failure)
}

const (
	// maxHomes bounds the daemons asked about one reservation.
	maxHomes = 5
	// reserveRetry is the time after which a caller is to try again when no
	// home has decided: what a takeover takes.
	reserveRetry = 150 * time.Millisecond
)

// refuse returns the refusal when no home has decided.
func refuse(cause error) error {
	if cause == nil {
		return verdict.Refuse(verdict.NotHome, "no daemon decides about the program's budget").After(reserveRetry)
	}
	return verdict.Wrap(cause, verdict.NotRun, verdict.PeerLost, "no daemon has decided about the program's budget").After(reserveRetry)
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
	if known.home != "" && !excluded[known.home] {
		for _, name := range names {
			if name == known.home {
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
	c.learned[shard] = learned{home: home, at: time.Now()}
}

// forget drops what was learned about a home that did not answer.
func (c *Client) forget(shard int, home string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.learned[shard].home == home {
		delete(c.learned, shard)
	}
}

// ask sends a reservation to one daemon.
func (c *Client) ask(ctx context.Context, home string, request reserveRequest) (reserveReply, error) {
	if home == c.fleet.Self().Name {
		return c.local.Reserve(ctx, request)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The watchdog ends the wait for a home that says nothing at all.
	watchdog := time.AfterFunc(c.config.ReserveTimeout, cancel)
	defer watchdog.Stop()
	s, err := c.dialer.Open(ctx, home, methodReserve)
	if err != nil {
		return reserveReply{}, err
	}
	defer s.Close()
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

// releaseTimeout bounds the message that ends a reservation. When it is lost, the
// home counts the turn at its most.
const releaseTimeout = 2 * time.Second

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
