package tokenbudget_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/peers"
	"ibisline/internal/fake/testbed"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
	"ibisline/internal/tokenbudget"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/journal/journaltest"
	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/verdict"
)

// Parameters of the test programs.
const (
	budgetTokens  = 1700
	maxTurnTokens = 560
	// largeProgram has turns beyond the budgets of all others, and smallProgram very short ones.
	largeProgram       = "program-1"
	largeBudgetTokens  = 9000
	largeMaxTurnTokens = 2500
	smallProgram       = "program-2"
	smallMaxTurnTokens = 100
	// settleTime is the time after its end for which a turn may still be charged with its maximum.
	settleTime = time.Second
	// lifetime is how long an idle program is remembered.
	lifetime = time.Minute
)

// fleet runs homes and keepers in memory with a fake platform.
type fleet struct {
	t       *testing.T
	network *peers.Network
	store   *objects.Store
	// leaving is the name of a keeper that has announced that it is leaving.
	leaving string
	// rejected holds the gateways whose requests the platform rejects.
	rejected map[string]bool
	// config is the configuration of all homes.
	config tokenbudget.Config
	// stopping holds the gateways in a planned stop.
	stopping map[string]bool
	// metrics holds the metrics of every start of a gateway.
	metrics []*metrics.Set

	mu       sync.Mutex
	gateways []*gatewayNode
	keepers  []*keeperNode
	starts   uint64
	// granted is the number of tokens that each program's turns may have generated.
	granted map[string]int
	// charges holds what each program's turns may be charged with.
	charges map[string][]*charge
	turns   int
	// falselySpent describes the turns that were refused although the budget held them.
	falselySpent []string
	// decidedAt is when a home last decided about each program.
	decidedAt map[string]time.Time
}

// gatewayNode is an instance with a Home and a Client, both of which are lost in a crash.
type gatewayNode struct {
	*daemon
	fleet *fleet
	stop  func()
	up    bool
}

// daemon is one run of a gateway.
type daemon struct {
	*peers.Node
	metrics *metrics.Set
	fleet   *fleet
	home    *tokenbudget.Home
	client  *tokenbudget.Client
}

// keeperNode is an instance with a journal. Its disk survives crashes.
type keeperNode struct {
	fleet    *fleet
	name     string
	location int
	id       int64
	disk     *journaltest.Disk
	// process is the current run's view of the disk.
	process *journaltest.Process
	node    *peers.Node
	stop    func()
	up      bool
}

// homeConfig is the configuration of all homes. It allows for the loss of one of three
// disks.
var homeConfig = tokenbudget.Config{Shards: 2, LostDisks: 1}

// dataCentre returns the name of a daemon's data centre.
func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%3) }

// latency returns the latency of a frame between two instances.
func latency(from, to structs.Instance) time.Duration {
	if from.DataCentre == to.DataCentre {
		return 200 * time.Microsecond
	}
	return 8 * time.Millisecond
}

// newFleet starts gateways and keepers with homeConfig.
func newFleet(t *testing.T, gateways, keepers int) *fleet {
	return newFleetOf(t, homeConfig.Shards, gateways, keepers)
}

// newFleetOf starts gateways and keepers with a number of shards.
func newFleetOf(t *testing.T, shards, gateways, keepers int) *fleet {
	config := homeConfig
	config.Shards = shards
	return newFleetWith(t, config, gateways, keepers)
}

// newFleetWith starts gateways and keepers.
func newFleetWith(t *testing.T, config tokenbudget.Config, gateways, keepers int) *fleet {
	f := &fleet{t: t, network: peers.New(latency), store: objects.New(), granted: map[string]int{}, charges: map[string][]*charge{},
		decidedAt: map[string]time.Time{}, rejected: map[string]bool{}, stopping: map[string]bool{}, config: config}
	for i := range keepers {
		k := &keeperNode{fleet: f, name: fmt.Sprintf("keeper-%d", i), location: i, disk: journaltest.NewDisk()}
		f.keepers = append(f.keepers, k)
		k.start()
	}
	for i := range gateways {
		g := &gatewayNode{fleet: f}
		f.gateways = append(f.gateways, g)
		g.start(i)
	}
	f.publishLive()
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

// incarnation returns the incarnation of the next start.
func (f *fleet) incarnation() uint64 {
	f.starts++
	return f.starts
}

// publishLive sends the list of live daemons to all gateways.
func (f *fleet) publishLive() {
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

// platformClient is one gateway's access to the platform.
type platformClient struct {
	*objects.Store
	fleet *fleet
	name  string
}

func newPlatformClient(f *fleet, name string) *platformClient {
	return &platformClient{Store: f.store, fleet: f, name: name}
}

// Get fails if the platform rejects the gateway.
func (c *platformClient) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if c.fleet.isRejected(c.name) {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return c.Store.Get(ctx, key)
}

// Put fails if the platform rejects the gateway.
func (c *platformClient) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if c.fleet.isRejected(c.name) {
		return 0, objectapi.ErrUnavailable
	}
	return c.Store.Put(ctx, key, value, expected)
}

func (f *fleet) isRejected(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejected[name]
}

// setRejected sets whether the platform rejects a gateway.
func (f *fleet) setRejected(name string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejected[name] = on
}

// clearRejected makes the platform serve all gateways.
func (f *fleet) clearRejected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.rejected)
}

func (f *fleet) isLeaving(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving == name || f.stopping[name]
}

// setLeaving marks a keeper as leaving.
func (f *fleet) setLeaving(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = name
}

// setStopping sets whether a gateway is in a planned stop.
func (f *fleet) setStopping(name string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping[name] = on
}

// Lookup returns a known instance, with the state of those that are leaving.
func (d *daemon) Lookup(name string) (structs.Instance, bool) {
	instance, known := d.Node.Lookup(name)
	if d.fleet.isLeaving(name) {
		instance.State = structs.StateLeaving
	}
	return instance, known
}

// Live returns the live instances without those that are leaving.
func (d *daemon) Live() []structs.Instance {
	return slices.DeleteFunc(slices.Clone(d.Node.Live()), func(i structs.Instance) bool { return d.fleet.isLeaving(i.Name) })
}

// Reachable returns the live instances, with the state of those that are leaving.
func (d *daemon) Reachable() []structs.Instance {
	var all []structs.Instance
	for _, instance := range d.Node.Live() {
		known, _ := d.Lookup(instance.Name)
		all = append(all, known)
	}
	return all
}

// Listed reports that the platform's list of daemons has been read.
func (d *daemon) Listed() bool { return true }

// start starts a gateway without state.
func (g *gatewayNode) start(i int) {
	self := structs.Instance{
		Name: fmt.Sprintf("gateway-%d", i), Region: dataCentre(i), DataCentre: dataCentre(i), Duty: structs.DutyGateway,
		Incarnation: g.fleet.incarnation(),
	}
	d := &daemon{metrics: metrics.NewSet(), fleet: g.fleet, Node: g.fleet.network.Join(self)}
	g.fleet.mu.Lock()
	g.fleet.metrics = append(g.fleet.metrics, d.metrics)
	g.fleet.mu.Unlock()
	d.home = tokenbudget.NewHome(g.fleet.config, d, d.Node, d.Node, newPlatformClient(g.fleet, self.Name), d.metrics,
		testbed.NoLog())
	d.client = tokenbudget.NewClient(g.fleet.config, d, d.Node, d.home, testbed.NoLog())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.home.Run(ctx)
	}()
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.daemon = d
	g.stop = func() {
		cancel()
		<-done
	}
	g.up = true
}

// crash stops a gateway without a handover.
func (g *gatewayNode) crash() {
	if g.markDown() {
		g.SetDown(true)
		g.stop()
	}
}

// markDown marks the gateway as down and reports whether it was up.
func (g *gatewayNode) markDown() bool {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	wasUp := g.up
	g.up = false
	if wasUp {
		g.fleet.forgetEnds(g.daemon)
	}
	return wasUp
}

// leave stops a gateway with a handover.
func (g *gatewayNode) leave() {
	if !g.up {
		return
	}
	g.setUp(false)
	g.fleet.setStopping(g.Self().Name, true)
	defer g.fleet.setStopping(g.Self().Name, false)
	g.fleet.publishLive()
	g.home.HandOver(context.Background())
	_ = g.home.Drain(context.Background()) // never fails
	g.setUp(true)
	g.crash()
}

func (g *gatewayNode) setUp(up bool) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.up = up
}

// start starts a keeper with its disk.
func (k *keeperNode) start() {
	k.process = k.disk.Process()
	j, err := journal.Open(k.process)
	require.NoError(k.fleet.t, err)
	k.id = j.ID()
	k.node = k.fleet.network.Join(structs.Instance{
		Name: k.name, Region: dataCentre(k.location), DataCentre: dataCentre(k.location), Duty: structs.DutyKeeper,
		Incarnation: k.fleet.incarnation(),
	})
	keeper := tokenbudget.NewKeeper(j, k.node, testbed.NoLog())
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

// crash stops a keeper; its disk stays.
func (k *keeperNode) crash() {
	if k.up {
		k.up = false
		k.process.End()
		k.node.SetDown(true)
		k.stop()
	}
}

// charge is what a turn may be charged with: its maximum until it has ended whole, then what it used.
type charge struct {
	tokens  int
	endedAt time.Time
	// endedOn is the gateway that knows of the end, and tells the home.
	endedOn *daemon
}

// tellTime is the time after which a gateway has told the home of the end of a turn where nothing fails. If it
// crashes before, or while it cannot deliver ends, nobody may know that the turn has ended.
const tellTime = 2 * time.Second

// forgetEnds charges the turns with their maximum of whose end only a gateway knows that crashes. The caller
// holds mu.
func (f *fleet) forgetEnds(g *daemon) {
	for program, charges := range f.charges {
		for _, c := range charges {
			if c.endedOn == g && (g.home.Undelivered() > 0 || time.Since(c.endedAt) < tellTime) {
				_, c.tokens = sizeOf(program)
			}
		}
	}
}

// sizeOf returns the budget and the largest turn of a program.
func sizeOf(program string) (budget, maxTurn int) {
	switch program {
	case largeProgram:
		return largeBudgetTokens, largeMaxTurnTokens
	case smallProgram:
		return budgetTokens, smallMaxTurnTokens
	default:
		return budgetTokens, maxTurnTokens
	}
}

// turn runs a turn of a program through a gateway. The turn generates used tokens, at most its maximum, as soon
// as its grant is confirmed, whatever happens to the gateway afterwards.
func (f *fleet) turn(g *daemon, program string, used int, length time.Duration) error {
	id := f.newTurnID(program)
	budget, tokens := sizeOf(program)
	used = min(used, tokens)
	charged := &charge{tokens: tokens}
	f.mu.Lock()
	atMost := f.chargedAtMost(program)
	f.charges[program] = append(f.charges[program], charged)
	f.mu.Unlock()
	grant, err := g.client.Reserve(context.Background(), ledger.Reservation{
		Program: program, Request: id, Budget: budget, Tokens: tokens, Lifetime: lifetime,
	})
	if err == nil {
		defer func() {
			if err != nil {
				used = 0
			}
			grant.Release(used)
			f.endCharge(g, charged, used)
		}()
		err = grant.Confirm(context.Background())
	} else {
		f.endCharge(g, charged, 0)
	}
	f.mu.Lock()
	if err == nil || spent(err) {
		f.decidedAt[program] = time.Now()
	}
	if err == nil {
		f.granted[program] += used
	}
	if spent(err) && atMost+tokens <= budget {
		f.falselySpent = append(f.falselySpent, fmt.Sprintf("%s has used %d tokens of %d at most, and a turn of %d was refused",
			program, atMost, budget, tokens))
	}
	f.mu.Unlock()
	if err == nil {
		time.Sleep(length)
	}
	return err
}

// endCharge records that a turn has ended whole, unless its gateway has ended before.
func (f *fleet) endCharge(g *daemon, charged *charge, used int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, node := range f.gateways {
		if node.daemon == g && node.up {
			charged.tokens, charged.endedAt, charged.endedOn = used, time.Now(), g
		}
	}
}

// chargedAtMost returns the tokens with which the turns of a program may be charged. The caller holds mu.
func (f *fleet) chargedAtMost(program string) int {
	_, maxTurn := sizeOf(program)
	tokens := 0
	for _, c := range f.charges[program] {
		if !c.endedAt.IsZero() && time.Since(c.endedAt) >= settleTime {
			tokens += c.tokens
		} else {
			tokens += maxTurn
		}
	}
	return tokens
}

// newTurnID returns the identifier of a new turn. A program that has been idle for its
// lifetime may have been forgotten and counts as a new one.
func (f *fleet) newTurnID(program string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, known := f.decidedAt[program]; known && time.Since(at) >= lifetime {
		f.granted[program] = 0
		f.charges[program] = nil
	}
	f.turns++
	return fmt.Sprintf("turn-%d", f.turns)
}

// overrun describes a program that has generated more than its budget plus one turn, "" if
// there is none.
func (f *fleet) overrun() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for program, tokens := range f.granted {
		if budget, maxTurn := sizeOf(program); tokens > budget+maxTurn {
			return fmt.Sprintf("%s generated %d tokens on a budget of %d and %d for one turn", program, tokens, budget, maxTurn)
		}
	}
	return ""
}

// spent reports whether a turn was refused because its budget is spent.
func spent(err error) bool { return verdict.HasReason(err, verdict.BudgetSpent) }
