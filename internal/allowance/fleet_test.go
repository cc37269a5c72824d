package allowance_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/allowance"
	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/journal/journaltest"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// The programs of the tests.
const (
	budget = 1700
	most   = 560
	// lifetime is the time for which an idle program is remembered.
	lifetime = time.Minute
)

// fleet is a fleet of homes and keepers in memory, with a stand-in of the platform.
type fleet struct {
	t       *testing.T
	network *peers.Network
	store   *objects.Store
	// leaving names a keeper that has said that it leaves.
	leaving string
	// turnedAway names the gateways that the platform does not serve.
	turnedAway map[string]bool

	mu       sync.Mutex
	gateways []*gatewayNode
	keepers  []*keeperNode
	starts   uint64
	// granted sums up what the turns of each program may have generated.
	granted map[string]int
	turns   int
	// decided is the last time at which a home decided about a program.
	decided map[string]time.Time
}

// gatewayNode is an instance with a home and a client, which it loses at a crash.
type gatewayNode struct {
	*daemon
	fleet *fleet
	stop  func()
	up    bool
}

// daemon is one start of a gateway.
type daemon struct {
	*peers.Node
	metrics *metrics.Set
	fleet   *fleet
	home    *allowance.Home
	client  *allowance.Client
}

// keeperNode is a daemon with a journal on a disk that survives it.
type keeperNode struct {
	fleet *fleet
	name  string
	place int
	id    int64
	disk  *journaltest.Disk
	// process is the present start's view of the disk.
	process *journaltest.Process
	node    *peers.Node
	stop    func()
	up      bool
}

// homeConfig is that of all homes: of three disks one may be lost.
var homeConfig = allowance.Config{Shards: 2, LostDisks: 1}

// place names the data centre of a daemon.
func place(i int) string { return fmt.Sprintf("dc%d", i%3) }

// latency is that of a frame between data centres.
func latency(from, to structs.Instance) time.Duration {
	if from.DataCentre == to.DataCentre {
		return 200 * time.Microsecond
	}
	return 8 * time.Millisecond
}

// newFleet starts gateways and keepers.
func newFleet(t *testing.T, gateways, keepers int) *fleet {
	f := &fleet{t: t, network: peers.New(latency), store: objects.New(), granted: map[string]int{}, decided: map[string]time.Time{},
		turnedAway: map[string]bool{}}
	for i := range keepers {
		k := &keeperNode{fleet: f, name: fmt.Sprintf("keeper-%d", i), place: i, disk: journaltest.NewDisk()}
		f.keepers = append(f.keepers, k)
		k.start()
	}
	for i := range gateways {
		g := &gatewayNode{fleet: f}
		f.gateways = append(f.gateways, g)
		g.start(i)
	}
	f.spread()
	return f
}

// close stops all daemons.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.crash()
	}
	for _, k := range f.keepers {
		k.crash()
	}
}

// incarnation returns a number for a start.
func (f *fleet) incarnation() uint64 {
	f.starts++
	return f.starts
}

// spread tells all daemons which ones are live.
func (f *fleet) spread() {
	var names []string
	for _, g := range f.gateways {
		if g.up {
			names = append(names, g.Self().Name)
		}
	}
	for _, k := range f.keepers {
		if k.up {
			names = append(names, k.name)
		}
	}
	for _, g := range f.gateways {
		g.SetLive(names...)
	}
}

// access is the platform as one gateway reaches it.
type access struct {
	*objects.Store
	fleet *fleet
	name  string
}

func accessOf(f *fleet, name string) *access { return &access{Store: f.store, fleet: f, name: name} }

// Get implements allowance.Store.
func (a *access) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if a.fleet.isTurnedAway(a.name) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return a.Store.Get(ctx, key)
}

// Put implements allowance.Store.
func (a *access) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if a.fleet.isTurnedAway(a.name) {
		return 0, objectapi.ErrUnavailable
	}
	return a.Store.Put(ctx, key, value, expected)
}

func (f *fleet) isTurnedAway(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turnedAway[name]
}

// turnAway makes the platform reject a gateway, or serve it again.
func (f *fleet) turnAway(name string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turnedAway[name] = on
}

// serveAll makes the platform serve all gateways.
func (f *fleet) serveAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.turnedAway)
}

func (f *fleet) isLeaving(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving == name
}

// setLeaving lets a keeper say that it leaves.
func (f *fleet) setLeaving(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = name
}

// Lookup implements allowance.Fleet.
func (d *daemon) Lookup(name string) (structs.Instance, bool) {
	instance, known := d.Node.Lookup(name)
	if d.fleet.isLeaving(name) {
		instance.State = structs.StateLeaving
	}
	return instance, known
}

// Listed implements allowance.Fleet.
func (d *daemon) Listed() bool { return true }

// start starts a gateway with nothing in memory.
func (g *gatewayNode) start(i int) {
	self := structs.Instance{
		Name: fmt.Sprintf("gateway-%d", i), Region: place(i), DataCentre: place(i), Duty: structs.DutyGateway,
		Incarnation: g.fleet.incarnation(),
	}
	d := &daemon{metrics: metrics.NewSet(), fleet: g.fleet, Node: g.fleet.network.Join(self)}
	d.home = allowance.NewHome(homeConfig, d, d.Node, d.Node, accessOf(g.fleet, self.Name), d.metrics, testbed.NoLog())
	d.client = allowance.NewClient(homeConfig, d, d.Node, d.home, testbed.NoLog())
	g.daemon = d
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.home.Run(ctx)
	}()
	g.stop = func() {
		cancel()
		<-done
	}
	g.up = true
}

// crash ends a gateway at once.
func (g *gatewayNode) crash() {
	if g.up {
		g.up = false
		g.SetDown(true)
		g.stop()
	}
}

// leave ends a gateway as planned.
func (g *gatewayNode) leave() {
	if !g.up {
		return
	}
	g.up = false
	g.fleet.spread()
	g.home.HandOver(context.Background())
	g.up = true
	g.crash()
}

// start starts a keeper on its disk.
func (k *keeperNode) start() {
	k.process = k.disk.Process()
	j, err := journal.Open(k.process)
	require.NoError(k.fleet.t, err)
	k.id = j.ID()
	k.node = k.fleet.network.Join(structs.Instance{
		Name: k.name, Region: place(k.place), DataCentre: place(k.place), Duty: structs.DutyKeeper,
		Incarnation: k.fleet.incarnation(),
	})
	keeper := allowance.NewKeeper(j, k.node, testbed.NoLog())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = keeper.Run(ctx)
	}()
	k.stop = func() {
		cancel()
		<-done
	}
	k.up = true
}

// crash ends a keeper at once; its disk stays.
func (k *keeperNode) crash() {
	if k.up {
		k.up = false
		k.process.End()
		k.node.SetDown(true)
		k.stop()
	}
}

// turn runs a turn of a program through a gateway. It generates up to its most as
// soon as its grant is confirmed, whatever happens to the gateway then.
func (f *fleet) turn(g *daemon, program string, used int, length time.Duration) error {
	id := f.begin(program)
	grant, err := g.client.Reserve(context.Background(), ledger.Reservation{
		Program: program, ID: id, Budget: budget, Tokens: most, Expected: most / 2, Lifetime: lifetime,
	})
	if err == nil {
		defer func() {
			if err != nil {
				used = 0
			}
			grant.Release(used)
		}()
		err = grant.Confirm(context.Background())
	}
	f.mu.Lock()
	if err == nil || spent(err) {
		f.decided[program] = time.Now()
	}
	if err == nil {
		f.granted[program] += used
	}
	f.mu.Unlock()
	if err == nil {
		time.Sleep(length)
	}
	return err
}

// begin returns the identifier of a new turn. A program that was idle for its lifetime
// may have been forgotten, and counts as another one.
func (f *fleet) begin(program string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, known := f.decided[program]; known && time.Since(at) >= lifetime {
		f.granted[program] = 0
	}
	f.turns++
	return fmt.Sprintf("turn-%d", f.turns)
}

// overrun returns a program that has generated more than its budget and the most of
// one turn, "" if there is none.
func (f *fleet) overrun() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for program, tokens := range f.granted {
		if tokens > budget+most {
			return fmt.Sprintf("%s generated %d tokens on a budget of %d and %d for one turn", program, tokens, budget, most)
		}
	}
	return ""
}

// spent reports whether a turn was refused because its budget is spent.
func spent(err error) bool { return verdict.HasReason(err, verdict.BudgetSpent) }
