package poison

import (
	"context"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/go-faster/errors"
	"golang.org/x/sync/singleflight"

	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// Methods of the guards among each other.
const (
	methodCrash    = "poison.crash"
	methodRefusals = "poison.refusals"
)

const (
	// counters is the number of daemons that count the crashes of a request, so
	// that the loss of one loses no count.
	counters = 2
	// callTimeout bounds a message to another daemon: several round trips between
	// regions.
	callTimeout = 500 * time.Millisecond
	// reports bounds the crashes that wait to be reported. A crash beside many
	// others is most likely not the request's doing.
	reports = 256
	// pullInterval is the least time between two readings of other daemons' lists,
	// so that clocks that differ cause no storm of them.
	pullInterval = 200 * time.Millisecond
)

// Probe tries to connect to a server. Its error is that of the connection.
type Probe func(ctx context.Context, server structs.Server) error

// crashReply answers a Crash.
type crashReply struct{}

// refusalsRequest asks for a daemon's refusals.
type refusalsRequest struct{}

// refusalsReply holds them.
type refusalsReply struct {
	Refusals []Refusal `msgpack:"r"`
}

// Guard knows which requests crash servers. It is a kernel service and safe for
// concurrent use.
type Guard struct {
	view    member.View
	dialer  peer.Dialer
	probe   Probe
	logger  log.Interface
	pending chan Crash
	pulls   chan string
	probes  singleflight.Group

	crashes *metrics.Counter
	refused *metrics.Counter

	mu     sync.Mutex
	ledger *ledger
	// pulled is the time of the last reading of another daemon's list.
	pulled time.Time
}

// New returns a guard and registers its methods with mux.
func New(view member.View, dialer peer.Dialer, mux peer.Mux, probe Probe, set *metrics.Set, logger log.Interface) *Guard {
	g := &Guard{
		view:    view,
		dialer:  dialer,
		probe:   probe,
		logger:  logger,
		pending: make(chan Crash, reports),
		pulls:   make(chan string, 1),
		ledger:  newLedger(),
		crashes: set.GetOrCreateCounter("ibisline_poison_crashes_total"),
		refused: set.GetOrCreateCounter("ibisline_poison_refusals_total"),
	}
	mux.Handle(methodCrash, g.serveCrash)
	mux.Handle(methodRefusals, g.serveRefusals)
	return g
}

// FingerprintOf combines the parts of a request that come again with every attempt.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range parts {
		// The length keeps parts apart. Writes to a hash do not fail.
		_, _ = hash.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = hash.Write(part)
	}
	return Fingerprint(hash.Sum64())
}

// Empty reports whether no request is refused, so that none has to be identified.
func (g *Guard) Empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.ledger.refused) == 0
}

// Refuses reports whether a request must not be sent to a server.
func (g *Guard) Refuses(request Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := g.ledger.refuses(request, time.Now())
	if refused {
		g.refused.Inc()
	}
	return refused
}

// Broken looks into a connection that broke while a server ran a request. A server
// that accepts connections has not crashed. It returns at once.
func (g *Guard) Broken(request Fingerprint, server structs.Server) {
	go func() {
		if g.hasCrashed(server) {
			g.noteCrash(crashOf(request, server))
		}
	}()
}

// hasCrashed reports whether nothing listens at a server's address. All requests that
// broke at one server share one look.
func (g *Guard) hasCrashed(server structs.Server) bool {
	key := server.Name + "/" + strconv.FormatInt(server.Started, 10)
	_, err, _ := g.probes.Do(key, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return nil, g.probe(ctx, server)
	})
	return errors.Is(err, syscall.ECONNREFUSED)
}

// noteCrash counts a crash here and hands it to those who count it for all.
func (g *Guard) noteCrash(c Crash) {
	g.count(c)
	select {
	case g.pending <- c:
	default:
		g.logger.WithField("server", c.Server).Warn("crash not reported, too many at once")
	}
}

// count adds a crash to the own ledger.
func (g *Guard) count(c Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger.refuses(c.Request, time.Now()) {
		return
	}
	g.crashes.Inc()
	if g.ledger.crashed(c, time.Now()) {
		g.logger.WithField("fingerprint", c.Request).WithField("server", c.Server).WithField("crashes", refuseAfter).
			Warn("request refused from now on, it crashes servers")
	}
}

// Run reports crashes and reads other daemons' lists until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-g.pending:
			g.report(ctx, c)
		case daemon := <-g.pulls:
			g.pull(ctx, daemon)
		}
	}
}

// report tells a crash to the daemons that count it.
func (g *Guard) report(ctx context.Context, c Crash) {
	for _, daemon := range g.countersOf(c.Request) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if err := peer.Call(callCtx, g.dialer, daemon, methodCrash, c, &crashReply{}); err != nil {
			g.logger.WithError(err).WithField("peer", daemon).WithField("server", c.Server).Info("crash not reported")
		}
		cancel()
	}
}

// countersOf returns the other daemons that count the crashes of a request.
func (g *Guard) countersOf(request Fingerprint) []string {
	var names []string
	for _, instance := range g.view.Live() {
		if instance.Duty == structs.DutyGateway {
			names = append(names, instance.Name)
		}
	}
	var chosen []string
	key := strconv.FormatUint(uint64(request), 16)
	for len(names) > 0 && len(chosen) < counters {
		next := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
		names = without(names, next)
		chosen = append(chosen, next)
	}
	return without(chosen, g.view.Self().Name)
}

// without returns names but one.
func without(names []string, dropped string) []string {
	var kept []string
	for _, name := range names {
		if name != dropped {
			kept = append(kept, name)
		}
	}
	return kept
}

// Mark is a digest of the refusals known here, for probes to other daemons.
func (g *Guard) Mark() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.mark(time.Now())
}

// Learn takes the mark of another daemon. Refusals that are not known here are read
// from it. It does not block.
func (g *Guard) Learn(daemon string, mark int64) {
	if mark == 0 || mark == g.Mark() || !g.mayPull(time.Now()) {
		return
	}
	select {
	case g.pulls <- daemon:
	default:
		// The next probe tells again.
	}
}

// mayPull limits the readings of other daemons' lists.
func (g *Guard) mayPull(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.pulled) < pullInterval {
		return false
	}
	g.pulled = now
	return true
}

// pull reads the refusals of another daemon.
func (g *Guard) pull(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply refusalsReply
	if err := peer.Call(ctx, g.dialer, daemon, methodRefusals, refusalsRequest{}, &reply); err != nil {
		g.logger.WithError(err).WithField("peer", daemon).Info("peer did not tell the requests that it refuses")
		return
	}
	g.mu.Lock()
	g.ledger.merge(reply.Refusals, time.Now())
	known := len(g.ledger.refused)
	g.mu.Unlock()
	g.logger.WithField("peer", daemon).WithField("told", len(reply.Refusals)).WithField("known", known).
		Info("learned of requests that crash servers")
}

func (g *Guard) serveCrash(_ context.Context, s peer.Stream) error {
	var c Crash
	if err := s.Recv(&c); err != nil {
		return err
	}
	g.count(c)
	return s.Send(crashReply{})
}

func (g *Guard) serveRefusals(_ context.Context, s peer.Stream) error {
	if err := s.Recv(&refusalsRequest{}); err != nil {
		return err
	}
	g.mu.Lock()
	reply := refusalsReply{Refusals: g.ledger.refusals(time.Now())}
	g.mu.Unlock()
	return s.Send(reply)
}

// Status is the dump of a guard.
type Status struct {
	Suspects int `json:"suspects"`
	Refused  int `json:"refused"`
}

// Dump returns a Status.
func (g *Guard) Dump() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Suspects: len(g.ledger.suspects), Refused: len(g.ledger.refused)}
}
