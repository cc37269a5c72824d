package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"ibisline/internal/member/gossip"
	"ibisline/internal/objectapi"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// Members implements View. It discovers daemons through the platform's list and
// through peers, and detects failures only by probes. In steady state it writes
// nothing to the platform.
type Members struct {
	config Config
	self   structs.Instance
	store  objectapi.Store
	dialer peer.Dialer
	logger log.Interface

	mu               sync.Mutex
	machine          *gossip.Machine
	publishedVersion uint64 // version of the machine in the last snapshot
	servers          []structs.Server
	probers          map[string]*prober
	reconnecting     map[string]bool
	synced           bool
	shuttingDown     bool

	evidence  chan struct{}     // wakes tick; buffers one signal
	seedNames map[string]string // names of daemons discovered through seeds, by address
	versions  VersionExchange

	snapshot         atomic.Pointer[snapshot]
	startedAt        time.Time
	ctx              context.Context // bounds all goroutines
	stop             context.CancelFunc
	tasks            sync.WaitGroup
	leaveOnce        sync.Once
	leaving          atomic.Bool
	initialListsRead atomic.Int32 // number of the platform's lists read at least once
	// registered is set once the platform's list contains this daemon.
	registered atomic.Bool
	// newcomer is set if the platform's list did not contain this daemon before.
	newcomer atomic.Bool
	// activeConfirms is the number of confirm requests being served.
	activeConfirms atomic.Int32

	probes          *metrics.Counter
	failures        *metrics.Counter
	confirmRequests *metrics.Counter
	syncs           *metrics.Counter
	changes         *metrics.Counter
}

var _ View = (*Members)(nil)

// New returns the membership of the daemon self and registers its methods with
// mux. Until Run is called it contains only self.
func New(
	config Config, self structs.Instance, store objectapi.Store, dialer peer.Dialer, mux peer.Mux,
	set *metrics.Set, logger log.Interface,
) *Members {
	now := time.Now()
	incarnation := uint64(now.UnixMilli())
	self.State = structs.StateLive
	self.Incarnation = incarnation
	config = config.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	m := &Members{
		config:          config,
		self:            self,
		store:           store,
		dialer:          dialer,
		startedAt:       now,
		logger:          logger,
		machine:         gossip.New(config.machine(), self, incarnation, rand.New(rand.NewPCG(incarnation, 0)), now),
		probers:         map[string]*prober{},
		reconnecting:    map[string]bool{},
		seedNames:       map[string]string{},
		versions:        noVersions{},
		evidence:        make(chan struct{}, 1),
		ctx:             ctx,
		stop:            stop,
		probes:          set.GetOrCreateCounter("ibisline_member_probes_total"),
		failures:        set.GetOrCreateCounter("ibisline_member_probe_failures_total"),
		confirmRequests: set.GetOrCreateCounter("ibisline_member_confirms_total"),
		syncs:           set.GetOrCreateCounter("ibisline_member_syncs_total"),
		changes:         set.GetOrCreateCounter("ibisline_member_changes_total"),
	}
	set.GetOrCreateGauge("ibisline_member_live", func() float64 { return float64(len(m.Live())) })
	m.publish()
	peer.HandleBackground(mux, methodProbe, m.serveProbe)
	mux.Handle(methodConfirm, m.serveConfirm)
	mux.Handle(methodSync, m.serveSync)
	return m
}

// Run updates the view until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	release := context.AfterFunc(ctx, m.stop)
	defer release()
	if m.config.LimitPlatformCalls {
		m.spawn(m.join)
	} else {
		m.spawn(m.registerSelf)
		m.spawn(func() { m.follow(structs.InstancePrefix, m.applyInstances) })
		m.spawn(func() { m.follow(structs.ServerPrefix, m.applyServers) })
	}
	m.tick()
	m.shutdown()
	if m.leaving.Load() && !m.config.LimitPlatformCalls {
		m.unregister()
	}
	return nil
}

// platformLists is the number of the platform's lists that Run follows.
const platformLists = 2

// Listed returns true once the platform's lists of daemons and of backend servers
// have both been read.
func (m *Members) Listed() bool { return m.initialListsRead.Load() == platformLists }

// joinPatience is the time after which a daemon that has found no other one is taken to be the first.
const joinPatience = 600 * time.Millisecond

// Joined returns true once other daemons are known, or none were found.
func (m *Members) Joined() bool {
	return m.initialListsRead.Load() > 0 || !m.alone() || time.Since(m.startedAt) > joinPatience
}

// spawn runs f in a goroutine that Run waits for, unless Run is shutting down.
func (m *Members) spawn(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawnLocked(f)
}

// spawnLocked is spawn for callers that hold mu.
func (m *Members) spawnLocked(f func()) {
	if !m.shuttingDown {
		m.tasks.Go(f)
	}
}

// shutdown stops all goroutines and waits for them.
func (m *Members) shutdown() {
	m.mu.Lock()
	m.shuttingDown = true
	m.mu.Unlock()
	m.stop()
	m.tasks.Wait()
}

// tick advances the state machine until the membership ends: twice per
// HeartbeatInterval, and at once after new evidence against a daemon.
func (m *Members) tick() {
	ticker := time.NewTicker(m.config.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		case <-m.evidence:
		}
		m.advanceMachine()
	}
}

// applyEvidence passes evidence against a daemon to the machine and wakes tick.
func (m *Members) applyEvidence(evidence func(*gossip.Machine)) {
	m.update(evidence)
	select {
	case m.evidence <- struct{}{}:
	default:
	}
}

// advanceMachine ticks the machine and carries out the resulting actions.
func (m *Members) advanceMachine() {
	var actions gossip.Actions
	m.update(func(machine *gossip.Machine) {
		actions = machine.Tick(time.Now())
		if actions.Resumed {
			m.synced = false
		}
	})
	for _, name := range actions.Confirm {
		m.spawn(func() { m.confirm(name) })
	}
	for _, name := range actions.Reconnect {
		m.reconnect(name)
	}
}

// update changes the machine and publishes the result. New rumors are sent to the
// targets at once.
func (m *Members) update(change func(*gossip.Machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.machine)
	m.publishLocked()
	if m.machine.HasUnsentRumors() {
		m.probeNowLocked()
	}
}

// probeNowLocked probes all targets at once. The caller holds mu.
func (m *Members) probeNowLocked() {
	for _, p := range m.probers {
		p.probeNow()
	}
}

// publish makes the current state visible to readers.
func (m *Members) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishLocked()
}

// publishLocked is publish for callers that hold mu.
func (m *Members) publishLocked() {
	if m.snapshot.Load() != nil && m.publishedVersion == m.machine.Version() {
		return
	}
	m.publishedVersion = m.machine.Version()
	m.replaceSnapshot()
	m.updateProbers()
}

// replaceSnapshot publishes a new snapshot and closes the Changed channel of the
// previous one. The caller holds mu.
func (m *Members) replaceSnapshot() {
	old := m.snapshot.Load()
	m.snapshot.Store(newSnapshot(m.machine, m.servers))
	m.changes.Inc()
	if old != nil {
		close(old.changed)
	}
}

// updateProbers starts and stops probers so that they match the targets. The caller
// holds mu.
func (m *Members) updateProbers() {
	wanted := map[string]bool{}
	for _, name := range m.machine.Targets() {
		wanted[name] = true
		if m.probers[name] == nil && !m.shuttingDown {
			p := newProber(m, name)
			m.probers[name] = p
			m.spawnLocked(p.run)
		}
	}
	for name, p := range m.probers {
		if !wanted[name] {
			p.stop()
			delete(m.probers, name)
		}
	}
}

// Leave announces to the peers at once that this daemon is leaving: it stays
// reachable but owns no keys from now on. The entry in the platform's list is
// updated afterwards.
func (m *Members) Leave() {
	m.leaveOnce.Do(func() {
		m.leaving.Store(true)
		m.update(func(machine *gossip.Machine) { machine.Leave(time.Now()) })
		if !m.config.LimitPlatformCalls {
			m.spawn(m.registerSelf)
		}
	})
}

// Drain starts the planned stop of the membership by calling Leave.
func (m *Members) Drain(context.Context) error {
	m.Leave()
	return nil
}

// Address returns the peer address of a daemon, which may be dead, and false if it
// is unknown. The transport uses it as its resolver.
func (m *Members) Address(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.machine.Member(name); ok {
		return known.Instance.PeerAddr, true
	}
	for addr, seed := range m.seedNames {
		if seed == name {
			return addr, true
		}
	}
	return "", false
}

// pause waits for d and returns false when the membership ends first.
func (m *Members) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-m.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jittered returns a random duration between 3/4 and 5/4 of d.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
