package crashguard

import (
	"context"
	"strconv"
	"strings"
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

// Names of the methods that guards of different daemons call.
const (
	methodCrash    = "poison.crash"
	methodRefusals = "poison.refusals"
)

const (
	// countersPerRequest is the number of daemons that count the crashes of a request, so
	// that losing one of them loses no count.
	countersPerRequest = 2
	// callTimeout limits a call to another daemon and a probe of a server. It allows for
	// several round trips between regions.
	callTimeout = 500 * time.Millisecond
	// maxPendingReports limits the queue of crashes to report. Further crashes are not
	// reported: among that many crashes at once, the request is most likely not the cause.
	maxPendingReports = 256
	// minPullInterval is the minimum time between two fetches of other daemons' refusals,
	// so that differing clocks do not cause a storm of fetches.
	minPullInterval = 200 * time.Millisecond
)

// Probe tries to connect to a server and returns the error of the connection.
type Probe func(ctx context.Context, server structs.Server) error

// crashReply is the reply to a Crash.
type crashReply struct{}

// refusalsRequest requests the refusals of a daemon.
type refusalsRequest struct{}

// refusalsReply is the reply to a refusalsRequest.
type refusalsReply struct {
	Refusals []Refusal `msgpack:"r"`
}

// Guard detects requests that crash servers and refuses them. It is a kernel service and
// safe for concurrent use.
type Guard struct {
	view           member.View
	dialer         peer.Dialer
	probe          Probe
	logger         log.Interface
	pendingReports chan Crash
	pullFrom       chan string
	probes         singleflight.Group
	metrics        *metrics.Set

	crashes *metrics.Counter
	refused *metrics.Counter

	mu     sync.Mutex
	counts *crashCounts
	// lastPull is the time of the last fetch of another daemon's refusals.
	lastPull time.Time
}

// New returns a guard and registers its methods with mux.
func New(view member.View, dialer peer.Dialer, mux peer.Mux, probe Probe, set *metrics.Set, logger log.Interface) *Guard {
	g := &Guard{
		view:           view,
		dialer:         dialer,
		probe:          probe,
		logger:         logger,
		pendingReports: make(chan Crash, maxPendingReports),
		pullFrom:       make(chan string, 1),
		metrics:        set,
		counts:         newCrashCounts(),
		crashes:        set.GetOrCreateCounter("ibisline_poison_crashes_total"),
		refused:        set.GetOrCreateCounter("ibisline_poison_refusals_total"),
	}
	mux.Handle(methodCrash, g.serveCrash)
	mux.Handle(methodRefusals, g.serveRefusals)
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
	return len(g.counts.refused) == 0
}

// Refuses reports whether a request must not be sent to a server, and counts refusals.
func (g *Guard) Refuses(request Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := g.counts.isRefused(request, time.Now())
	if refused {
		g.refused.Inc()
	}
	return refused
}

// CheckCrash checks in the background whether a server crashed, after its connection broke while
// it ran a request. A server that still accepts connections has not crashed.
func (g *Guard) CheckCrash(request Fingerprint, server structs.Server) {
	go func() {
		err := g.probeServer(server)
		crashed := errors.Is(err, syscall.ECONNREFUSED)
		g.countCheck(err)
		g.logger.WithField("fingerprint", request).WithField("server", server.Name).
			WithField("started", server.StartedMS).WithField("probe", probeOutcome(err)).
			Info("connection broke during a request, server probed")
		if crashed {
			g.recordCrash(crashOf(request, server))
		}
	}()
}

// probeOutcome returns the outcome of a probe as text, for the log and for metric labels.
func probeOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	default:
		return "no answer"
	}
}

// countCheck counts a check of a server by the outcome of its probe.
func (g *Guard) countCheck(err error) {
	outcome := strings.ReplaceAll(probeOutcome(err), " ", "_")
	g.metrics.GetOrCreateCounter(`ibisline_poison_checks_total{probe="` + outcome + `"}`).Inc()
}

// probeServer connects to a server. A refused connection means that nothing listens at its
// address. Concurrent checks of one run of a server share one probe.
func (g *Guard) probeServer(server structs.Server) error {
	key := server.Name + "/" + strconv.FormatInt(server.StartedMS, 10)
	_, err, _ := g.probes.Do(key, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return nil, g.probe(ctx, server)
	})
	return err
}

// recordCrash counts a crash locally and queues it for the daemons that count it fleet-wide.
func (g *Guard) recordCrash(c Crash) {
	g.countCrash(c)
	select {
	case g.pendingReports <- c:
	default:
		g.logger.WithField("server", c.Server).Warn("crash not reported: report queue is full")
	}
}

// countCrash adds a crash to the local counts.
func (g *Guard) countCrash(c Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counts.isRefused(c.Request, time.Now()) {
		return
	}
	g.crashes.Inc()
	refused := g.counts.add(c, time.Now())
	entry := g.logger.WithField("fingerprint", c.Request).WithField("server", c.Server).
		WithField("started", c.Started).WithField("crashes", g.counts.count(c.Request))
	if refused {
		entry.Warn("request refused from now on, it crashes servers")
		return
	}
	entry.Info("crash counted")
}

// Run reports crashes and fetches other daemons' refusals until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-g.pendingReports:
			g.report(ctx, c)
		case daemon := <-g.pullFrom:
			g.pull(ctx, daemon)
		}
	}
}

// report sends a crash to the other daemons that count it.
func (g *Guard) report(ctx context.Context, c Crash) {
	for _, daemon := range g.countingDaemons(c.Request) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if err := peer.Call(callCtx, g.dialer, daemon, methodCrash, c, &crashReply{}); err != nil {
			g.logger.WithError(err).WithField("peer", daemon).WithField("server", c.Server).Info("crash not reported")
		}
		cancel()
	}
}

// countingDaemons returns the other daemons that count the crashes of a request.
func (g *Guard) countingDaemons(request Fingerprint) []string {
	var names []string
	for _, instance := range g.view.Live() {
		if instance.Duty == structs.DutyGateway {
			names = append(names, instance.Name)
		}
	}
	var chosen []string
	key := strconv.FormatUint(uint64(request), 16)
	for len(names) > 0 && len(chosen) < countersPerRequest {
		next := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
		names = without(names, next)
		chosen = append(chosen, next)
	}
	return without(chosen, g.view.Self().Name)
}

// without returns names except for dropped.
func without(names []string, dropped string) []string {
	var kept []string
	for _, name := range names {
		if name != dropped {
			kept = append(kept, name)
		}
	}
	return kept
}

// Mark returns a digest of the local refusals, which probes carry to other daemons. It is 0
// if no request is refused.
func (g *Guard) Mark() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts.mark(time.Now())
}

// Learn compares the mark of another daemon with the local one. If they differ, Run fetches
// the refusals of that daemon. Learn does not block.
func (g *Guard) Learn(daemon string, mark int64) {
	if mark == 0 || mark == g.Mark() || !g.allowPull(time.Now()) {
		return
	}
	select {
	case g.pullFrom <- daemon:
	default:
		// Another fetch is pending; the next probe carries the mark again.
	}
}

// allowPull limits the rate of fetches to one per minPullInterval.
func (g *Guard) allowPull(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastPull) < minPullInterval {
		return false
	}
	g.lastPull = now
	return true
}

// pull fetches the refusals of another daemon and adds them to the local ones.
func (g *Guard) pull(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply refusalsReply
	if err := peer.Call(ctx, g.dialer, daemon, methodRefusals, refusalsRequest{}, &reply); err != nil {
		g.logger.WithError(err).WithField("peer", daemon).Info("cannot fetch the refused requests of a peer")
		return
	}
	g.mu.Lock()
	g.counts.merge(reply.Refusals, time.Now())
	known := len(g.counts.refused)
	g.mu.Unlock()
	g.logger.WithField("peer", daemon).WithField("told", len(reply.Refusals)).WithField("known", known).
		Info("merged the refused requests of a peer")
}

func (g *Guard) serveCrash(_ context.Context, s peer.Stream) error {
	var c Crash
	if err := s.Recv(&c); err != nil {
		return err
	}
	g.countCrash(c)
	return s.Send(crashReply{})
}

func (g *Guard) serveRefusals(_ context.Context, s peer.Stream) error {
	if err := s.Recv(&refusalsRequest{}); err != nil {
		return err
	}
	g.mu.Lock()
	reply := refusalsReply{Refusals: g.counts.refusals(time.Now())}
	g.mu.Unlock()
	return s.Send(reply)
}

// Status is the dump of a guard's state: the numbers of suspect and refused requests.
type Status struct {
	Suspects int `json:"suspects"`
	Refused  int `json:"refused"`
}

// Dump returns the Status of the guard.
func (g *Guard) Dump() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Suspects: len(g.counts.suspects), Refused: len(g.counts.refused)}
}
