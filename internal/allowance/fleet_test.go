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
	fleet  *fleet
	home   *allowance.Home
	client *allowance.Client
}

// keeperNode is a daemon with a journal on a disk that survives it.
type keeperNode struct {
	fleet *fleet
	name  string
	place int
	disk  *journaltest.Disk
	// unlisted is set while the platform's list does not name the keeper.
	unlisted bool
	// process is the present start's view of the disk.
	process *journaltest.Process
	node    *peers.Node
	stop    func()
	up      bool
}

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
	f := &fleet{t: t, network: peers.New(latency), store: objects.New(), granted: map[string]int{}, decided: map[string]time.Time{}}
	for i := range keepers {
		k := &keeperNode{fleet: f, name: fmt.Sprintf("keeper-%d", i), place: i, disk: journaltest.NewDisk()}
		f.keepers = append(f.keepers, k)
		k.start(true)
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

// Known implements allowance.Fleet. The keepers of a fleet do not change.
func (d *daemon) Known() []structs.Instance {
	var all []structs.Instance
	for _, k := range d.fleet.keepers {
		all = append(all, structs.Instance{Name: k.name, Duty: structs.DutyKeeper})
	}
	return all
}

// Listed implements allowance.Fleet.
func (d *daemon) Listed() bool { return true }

// start starts a gateway with nothing in memory.
func (g *gatewayNode) start(i int) {
	self := structs.Instance{
		Name: fmt.Sprintf("gateway-%d", i), Region: place(i), DataCentre: place(i), Duty: structs.DutyGateway,
		Incarnation: g.fleet.incarnation(),
	}
	d := &daemon{fleet: g.fleet, Node: g.fleet.network.Join(self)}
	d.home = allowance.NewHome(allowance.Config{Shards: 2}, d, d.Node, d.Node, g.fleet.store, metrics.NewSet(), testbed.NoLog())
	d.client = allowance.NewClient(allowance.Config{Shards: 2}, d, d.Node, d.home, testbed.NoLog())
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
func (k *keeperNode) start(fresh bool) {
	k.process = k.disk.Process()
	j, err := journal.Open(k.process, fresh, time.Now())
	require.NoError(k.fleet.t, err)
	k.node = k.fleet.network.Join(structs.Instance{
		Name: k.name, Region: place(k.place), DataCentre: place(k.place), Duty: structs.DutyKeeper,
		Incarnation: k.fleet.incarnation(),
	})
	keeper := allowance.NewKeeper(j, func() bool { return !k.unlisted }, k.node, testbed.NoLog())
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

// turn runs a turn of a program through a gateway. It may generate up to its most
// as soon as it is granted, whatever happens to the gateway then.
func (f *fleet) turn(g *daemon, program string, used int, length time.Duration) error {
	id := f.begin(program)
	release, err := g.client.Reserve(context.Background(), ledger.Reservation{
		Program: program, ID: id, Budget: budget, Tokens: most, Lifetime: lifetime,
	})
	f.mu.Lock()
	if err == nil || spent(err) {
		f.decided[program] = time.Now()
	}
	if err == nil {
		f.granted[program] += used
	}
	f.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(length)
	release(used)
	return nil
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
