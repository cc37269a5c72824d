package history

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/verdict"
)

const (
	// findTimeout limits the search for a turn.
	findTimeout = 500 * time.Millisecond
	// hedgeDelay is the time after which a silent keeper is passed over for another one. It is
	// several times the latency between regions.
	hedgeDelay = 60 * time.Millisecond
	// appendTimeout limits one call that stores a turn.
	appendTimeout = 2 * time.Second
	// storeRetryPause is the pause before keepers that failed to store a turn are tried again.
	storeRetryPause = 50 * time.Millisecond
	// slowFor is the time for which a keeper that failed or was silent is asked last.
	slowFor = time.Second
	// unavailableRetryAfter is the Retry-After while keepers are not reached.
	unavailableRetryAfter = 250 * time.Millisecond
	// proofInterval and proofBurst limit the reads of the platform's list that prove a turn absent.
	proofInterval = 500 * time.Millisecond
	proofBurst    = 4
)

// ClientDeps are the dependencies of a Client.
type ClientDeps struct {
	View        member.View
	Dialer      peer.Dialer
	ListDaemons ListDaemons
	Metrics     *metrics.Set
	Logger      log.Interface
}

// Client stores and finds turns for a gateway. It is safe for concurrent use.
type Client struct {
	ClientDeps
	config Config
	cache  *cache
	proofs *rate.Limiter

	mu sync.Mutex
	// slow holds the time until which a keeper is asked last, by name.
	slow map[string]time.Time

	found  map[string]*metrics.Counter
	stored *metrics.PrometheusHistogram
}

// Places where a turn is found, as metric labels.
const (
	foundInMemory = "memory"
	foundOnKeeper = "keeper"
	foundNowhere  = "nowhere"
	foundUnknown  = "unknown"
)

// NewClient returns a client with a memory of recent conversations of at most cacheBytes.
func NewClient(config Config, cacheBytes int, deps ClientDeps) *Client {
	c := &Client{
		ClientDeps: deps, config: config, cache: newCache(cacheBytes),
		proofs: rate.NewLimiter(rate.Every(proofInterval), proofBurst),
		slow:   map[string]time.Time{}, found: map[string]*metrics.Counter{},
		stored: deps.Metrics.GetOrCreatePrometheusHistogram("ibisline_history_store_seconds"),
	}
	for _, place := range []string{foundInMemory, foundOnKeeper, foundNowhere, foundUnknown} {
		c.found[place] = deps.Metrics.GetOrCreateCounter(`ibisline_history_finds_total{place="` + place + `"}`)
	}
	deps.Metrics.GetOrCreateGauge("ibisline_history_cache_bytes", func() float64 { return float64(c.cache.size()) })
	return c
}

// CheckAvailable returns a refusal if too few keepers are live to store a turn.
func (c *Client) CheckAvailable() error {
	live := len(keepersOf(c.View.Live()))
	if live >= c.config.copies() {
		return nil
	}
	return verdict.Refuse(verdict.HistoryUnavailable, "%d keepers are live, %d are needed", live, c.config.copies()).
		RetryIn(unavailableRetryAfter)
}

// keepersOf returns the keepers among instances.
func keepersOf(instances []structs.Instance) []structs.Instance {
	var keepers []structs.Instance
	for _, instance := range instances {
		if instance.Duty == structs.DutyKeeper {
			keepers = append(keepers, instance)
		}
	}
	return keepers
}

// order returns the keepers among instances in the order in which they are asked about a key.
func (c *Client) order(instances []structs.Instance, key string) []structs.Instance {
	ordered := placementOrder(keepersOf(instances), c.View.Self().Region, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var slow []structs.Instance
	fast := ordered[:0]
	for _, keeper := range ordered {
		if now.Before(c.slow[keeper.Name]) {
			slow = append(slow, keeper)
		} else {
			fast = append(fast, keeper)
		}
	}
	return append(fast, slow...)
}

func (c *Client) markSlow(keeper string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.slow, func(_ string, until time.Time) bool { return !now.Before(until) })
	c.slow[keeper] = now.Add(slowFor)
}

func (c *Client) markFast(keeper string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.slow, keeper)
}

// Store returns once a turn, which continues chain, is on the disks of enough keepers. It tries until
// ctx ends. key selects the keepers; turns of a program have the same key.
func (c *Client) Store(ctx context.Context, key string, chain Chain, turn Turn) error {
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		err := c.storeOnce(ctx, key, chain, turn)
		if err == nil {
			c.stored.Update(time.Since(started).Seconds())
			c.cache.put(append(slices.Clip(chain), turn))
			return nil
		}
		c.Logger.WithError(err).WithField("turn", turn.ID).Info("turn is not stored on enough keepers yet")
		if !timers.Sleep(ctx, storeRetryPause) {
			return err
		}
	}
}

// storeOnce sends a turn to as many keepers as must hold it, and to a further one for each that fails
// or is silent. It returns an error once all have failed.
func (c *Client) storeOnce(ctx context.Context, key string, chain Chain, turn Turn) error {
	keepers := c.order(c.View.Live(), key)
	type outcome struct {
		keeper string
		err    error
	}
	outcomes := make(chan outcome, len(keepers))
	started, stored := 0, 0
	silent := map[string]bool{}
	next := func() {
		if started == len(keepers) {
			return
		}
		keeper := keepers[started].Name
		started++
		silent[keeper] = true
		go func() { outcomes <- outcome{keeper, appendTurns(ctx, c.Dialer, keeper, chain, turn, appendTimeout)} }()
	}
	for range c.config.copies() {
		next()
	}
	ticker := timers.NewTicker(hedgeDelay)
	defer ticker.Stop()
	var failed error
	for ended := 0; ended < started; {
		select {
		case o := <-outcomes:
			ended++
			delete(silent, o.keeper)
			if o.err != nil {
				failed = errors.Join(failed, o.err)
				c.markSlow(o.keeper)
				next()
				continue
			}
			c.markFast(o.keeper)
			if stored++; stored == c.config.copies() {
				return nil
			}
		case <-ticker.C:
			for keeper := range silent {
				c.markSlow(keeper)
			}
			next()
		}
	}
	return errors.Join(failed, errors.Errorf("store turn %s: stored on %d of %d keepers", turn.ID, stored, len(keepers)))
}

// Find returns a turn and all turns before it. An error is a refusal: with reason UnknownTurn it is
// certain that there is no such turn.
func (c *Client) Find(ctx context.Context, key, id string) (Chain, error) {
	if chain := c.cache.get(id); chain != nil {
		c.found[foundInMemory].Inc()
		return chain, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	s := search{client: c, id: id, asked: map[string]bool{}, absentAt: map[string]bool{}}
	// A keeper that is being emptied takes no turns, but still holds its own.
	chain := s.ask(ctx, c.order(c.View.Reachable(), key), 1)
	if chain == nil {
		chain = s.askAllListed(ctx)
	}
	switch {
	case chain != nil:
		c.found[foundOnKeeper].Inc()
		c.cache.put(chain)
		return chain, nil
	case s.provenAbsent:
		c.found[foundNowhere].Inc()
		return nil, verdict.Refuse(verdict.UnknownTurn, "there is no such turn")
	default:
		c.found[foundUnknown].Inc()
		return nil, verdict.Refuse(verdict.HistoryUnavailable, "the turn was not found on %d keepers; others were not reached or are being restored",
			len(s.absentAt)).RetryIn(unavailableRetryAfter)
	}
}
