package crashguard

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
	"ibisline/internal/peer"
	"ibisline/internal/queue"
	"ibisline/internal/structs"
	"ibisline/internal/timers"
)

// expiryInterval is the interval at which expired crashes are dropped.
const expiryInterval = time.Second

// sourceLocal is the source of a crash that this daemon has seen, in logs.
const sourceLocal = "this daemon"

// Probe tries to connect to a server and returns the error of the connection.
type Probe func(ctx context.Context, server structs.Server) error

// Servers is the platform's list of servers.
type Servers interface {
	// Find returns a server by name, and false if there is none.
	Find(name string) (structs.Server, bool)
	// AtAddr returns the server that was started last among those at an address, and false if
	// there is none.
	AtAddr(addr string) (structs.Server, bool)
}

// Deps holds the services that a guard depends on.
type Deps struct {
	Dialer peer.Dialer
	Mux    peer.Mux
	// Probe and Servers may be nil in a daemon that sends no requests to servers.
	Probe   Probe
	Servers Servers
	// Announce sends the new mark to other daemons at once.
	Announce func()
	// Store is the platform's object API, and Cache the local copy of the objects under Prefix.
	Store objectapi.Store
	Cache *objectcache.Cache
	// Rank returns the rank of this daemon among the live ones, starting at 0. The first ones
	// write to the platform.
	Rank    func() int
	Metrics *metrics.Set
	Log     log.Interface
}

// Guard detects requests that crash servers and refuses them. It is a kernel service and
// safe for concurrent use.
type Guard struct {
	Deps
	// process identifies this process of the daemon towards others.
	process int64
	// fetches holds the daemons to fetch crashes from.
	fetches *queue.Queue[string]
	// changed signals that crashes were added or cleared, and checkAdded that a check was added.
	// They buffer one signal.
	changed    chan struct{}
	checkAdded chan struct{}

	counted *metrics.Counter
	refused *metrics.Counter

	mu      sync.Mutex
	crashes *crashSet
	// fetching holds the daemons in fetches and those with a fetch in progress, and fetched the
	// last fetch from each daemon, until it is as old as the crashes that it returned may become.
	fetching map[string]bool
	fetched  map[string]lastFetch
	stored   storedState
	checks   map[run]*check
	// completed holds requests that have completed recently, at the remainder of their fingerprint.
	completed [completedSlots]completion
}

// New returns a guard and registers its method with the mux.
func New(deps Deps) *Guard {
	g := &Guard{
		Deps:       deps,
		process:    time.Now().UnixNano(),
		fetches:    queue.New[string](deps.Metrics, "poison_fetches", maxPendingFetches),
		changed:    make(chan struct{}, 1),
		checkAdded: make(chan struct{}, 1),
		checks:     map[run]*check{},
		counted:    deps.Metrics.GetOrCreateCounter("ibisline_poison_crashes_total"),
		refused:    deps.Metrics.GetOrCreateCounter("ibisline_poison_refusals_total"),
		crashes:    newCrashSet(),
		fetching:   map[string]bool{},
		fetched:    map[string]lastFetch{},
	}
	deps.Mux.Handle(methodCrashes, g.serveCrashes)
	return g
}

// FingerprintOf hashes the parts of a request that are the same in every attempt.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range parts {
		// The length separates the parts. Writes to a hash do not fail.
		_, _ = hash.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = hash.Write(part)
	}
	return Fingerprint(hash.Sum64())
}

// Empty reports whether no request is refused, so that callers can skip the fingerprint.
func (g *Guard) Empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.refused == 0
}

// Refuses reports whether a request must not be sent to a server, and for how much longer, and
// counts refusals.
func (g *Guard) Refuses(request Fingerprint) (left time.Duration, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	left, refused = g.crashes.refusal(request, time.Now())
	if refused {
		g.refused.Inc()
	}
	return left, refused
}

// recordCrash adds a crash that this daemon has seen.
func (g *Guard) recordCrash(request Fingerprint, server structs.Server) {
	g.addAll([]Crash{crashOf(request, server, time.Now())}, sourceLocal)
}

// addAll adds crashes of which this daemon has learned from a source, and announces them.
func (g *Guard) addAll(crashes []Crash, source string) {
	now := time.Now()
	changed := false
	g.mu.Lock()
	for _, c := range crashes {
		if g.crashes.add(c, now) {
			changed = true
			g.logCrash(c, source)
		}
	}
	g.mu.Unlock()
	if changed {
		g.notifyChanged()
	}
}

// notifyChanged announces changed crashes to other daemons, and has them stored.
func (g *Guard) notifyChanged() {
	// The membership reads the mark while it holds its own lock, so mu must be free here.
	g.Announce()
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// logCrash logs a crash that was added. The caller holds mu.
func (g *Guard) logCrash(c Crash, source string) {
	if c.Cleared {
		return
	}
	count := g.crashes.count(c.Request)
	g.counted.Inc()
	entry := g.Log.WithField("fingerprint", c.Request).WithField("server", c.Server).
		WithField("started", c.Started).WithField("crashes", count).WithField("from", source)
	if count == refuseAfterCrashes {
		entry.Warn("request refused from now on, it crashes servers")
		return
	}
	entry.Info("crash counted")
}

// Run exchanges crashes with other daemons and the platform until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	duties.Go(func() { g.follow(ctx) })
	duties.Go(func() { g.saveCrashes(ctx) })
	duties.Go(func() { g.watchChecks(ctx) })
	err := g.exchange(ctx)
	duties.Wait()
	return err
}

// exchange fetches other daemons' crashes and drops expired ones until ctx ends.
func (g *Guard) exchange(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentFetches)
	expiry := timers.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-expiry.C:
			g.mu.Lock()
			g.crashes.expire(time.Now())
			g.forgetFetches(time.Now())
			g.mu.Unlock()
		case daemon := <-g.fetches.Items():
			calls.Go(func() error {
				g.fetch(ctx, daemon)
				return nil
			})
		}
	}
}

// Status is the dump of a guard's state: the numbers of suspect and refused requests, and of the daemons
// from which crashes were fetched.
type Status struct {
	Suspects int `json:"suspects"`
	Refused  int `json:"refused"`
	Fetched  int `json:"fetched"`
}

// Dump returns the Status of the guard.
func (g *Guard) Dump() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := g.crashes.refused
	return Status{Suspects: len(g.crashes.suspects) - refused, Refused: refused, Fetched: len(g.fetched)}
}
