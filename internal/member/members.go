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

// Members implements View. It learns of daemons from the platform's list and
// from peers, and tells the living from the dead by probes alone; in steady state
// it writes nothing to the platform.
type Members struct {
	config Config
	self   structs.Instance
	store  objectapi.Store
	dialer peer.Dialer
	logger log.Interface

	mu       sync.Mutex
	machine  *gossip.Machine
	version  uint64 // of the machine as last published
	servers  []structs.Server
	probers  map[string]*prober
	reaching map[string]bool
	synced   bool
	ended    bool

	evidence chan struct{}     // holds one wake-up
	met      map[string]string // addresses of daemons met at a seed, by name
	news     News

	snapshot atomic.Pointer[snapshot]
	ctx      context.Context // bounds all goroutines
	stop     context.CancelFunc
	tasks    sync.WaitGroup
	leave    sync.Once
	left     atomic.Bool
	listed   atomic.Int32 // lists of the platform read at least once
	// registered is set once the platform's list names this daemon.
	registered atomic.Bool
	// confirming is the number of requests for confirmation served now.
	confirming atomic.Int32

	probes   *metrics.Counter
	failures *metrics.Counter
	confirms *metrics.Counter
	syncs    *metrics.Counter
	changes  *metrics.Counter
}

var _ View = (*Members)(nil)

// New returns the membership of the daemon self and registers its methods with
// mux. Until Run it knows only self.
func New(config Config, self structs.Instance, store objectapi.Store, dialer peer.Dialer, mux peer.Mux, set *metrics.Set, logger log.Interface) *Members {
	now := time.Now()
	incarnation := uint64(now.UnixMilli())
	self.State = structs.StateLive
	self.Incarnation = incarnation
	config = config.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	m := &Members{
		config:   config,
		self:     self,
		store:    store,
		dialer:   dialer,
		logger:   logger,
		machine:  gossip.New(config.machine(), self, incarnation, rand.New(rand.NewPCG(incarnation, 0)), now),
		probers:  map[string]*prober{},
		reaching: map[string]bool{},
		met:      map[string]string{},
		news:     noNews{},
		evidence: make(chan struct{}, 1),
		ctx:      ctx,
		stop:     stop,
		probes:   set.GetOrCreateCounter("ibisline_member_probes_total"),
		failures: set.GetOrCreateCounter("ibisline_member_probe_failures_total"),
		confirms: set.GetOrCreateCounter("ibisline_member_confirms_total"),
		syncs:    set.GetOrCreateCounter("ibisline_member_syncs_total"),
		changes:  set.GetOrCreateCounter("ibisline_member_changes_total"),
	}
	set.GetOrCreateGauge("ibisline_member_live", func() float64 { return float64(len(m.Live())) })
	m.publish()
	peer.HandleBackground(mux, methodProbe, m.serveProbe)
	mux.Handle(methodConfirm, m.serveConfirm)
	mux.Handle(methodSync, m.serveSync)
	return m
}

// Run keeps the view up to date until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	release := context.AfterFunc(ctx, m.stop)
	defer release()
	if m.config.Sparse {
		m.spawn(m.join)
	} else {
		m.spawn(m.registerSelf)
		m.spawn(func() { m.follow(structs.InstancePrefix, m.applyInstances) })
		m.spawn(func() { m.follow(structs.ServerPrefix, m.applyServers) })
	}
	m.tick()
	m.shutdown()
	if m.left.Load() && !m.config.Sparse {
		m.unregister()
	}
	return nil
}

// listCount is the number of lists that Run follows.
const listCount = 2

// Listed is true once the platform's lists of daemons and of backend servers
// were both read.
func (m *Members) Listed() bool { return m.listed.Load() == listCount }

// spawn runs f in a goroutine that Run waits for, unless Run is ending.
func (m *Members) spawn(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawnLocked(f)
}

// spawnLocked is spawn for callers that hold mu.
func (m *Members) spawnLocked(f func()) {
	if !m.ended {
		m.tasks.Go(f)
	}
}

// shutdown waits for all goroutines.
func (m *Members) shutdown() {
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	m.stop()
	m.tasks.Wait()
}

// tick advances the state machine until the end: twice an interval, and at once
// after evidence against a daemon.
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
		m.advance()
	}
}

// accuse passes evidence against a daemon to the machine and lets it decide.
func (m *Members) accuse(evidence func(*gossip.Machine)) {
	m.update(evidence)
	select {
	case m.evidence <- struct{}{}:
	default:
	}
}

// advance carries out what one tick asks for.
func (m *Members) advance() {
	var actions gossip.Actions
	m.update(func(machine *gossip.Machine) {
		actions = machine.Tick(time.Now())
		if actions.Woken {
			m.synced = false
		}
	})
	for _, name := range actions.Confirm {
		m.spawn(func() { m.confirm(name) })
	}
	for _, name := range actions.Reach {
		m.reach(name)
	}
}

// update changes the machine and publishes what changed. News is sent to the
// probed daemons at once.
func (m *Members) update(change func(*gossip.Machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.machine)
	m.publishLocked()
	if m.machine.News() {
		m.hurryLocked()
	}
}

// hurryLocked probes all targets at once. The caller holds mu.
func (m *Members) hurryLocked() {
	for _, p := range m.probers {
		p.hurry()
	}
}

// publish makes the current state visible to readers.
func (m *Members) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishLocked()
}

func (m *Members) publishLocked() {
	if m.snapshot.Load() != nil && m.version == m.machine.Version() {
		return
	}
	m.version = m.machine.Version()
	m.swap()
	m.adjustProbers()
}

// swap replaces the snapshot and wakes its waiters. The caller holds mu.
func (m *Members) swap() {
	old := m.snapshot.Load()
	m.snapshot.Store(newSnapshot(m.machine, m.servers))
	m.changes.Inc()
	if old != nil {
		close(old.changed)
	}
}

// adjustProbers starts and stops probers as the targets change. The caller
// holds mu.
func (m *Members) adjustProbers() {
	wanted := map[string]bool{}
	for _, name := range m.machine.Targets() {
		wanted[name] = true
		if m.probers[name] == nil && !m.ended {
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

// Leave tells the peers at once that this daemon is leaving: it stays reachable
// but owns nothing from now on. The platform's list follows.
func (m *Members) Leave() {
	m.leave.Do(func() {
		m.left.Store(true)
		m.update(func(machine *gossip.Machine) { machine.Leave(time.Now()) })
		if !m.config.Sparse {
			m.spawn(m.registerSelf)
		}
	})
}

// Drain implements the planned stop: it leaves.
func (m *Members) Drain(context.Context) error {
	m.Leave()
	return nil
}

// Address returns the peer address of a daemon, a dead one included. It is the
// resolver of the transport.
func (m *Members) Address(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.machine.Member(name); ok {
		return known.Instance.PeerAddr, true
	}
	addr, ok := m.met[name]
	return addr, ok
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

// jittered returns a time between three and five quarters of d.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
