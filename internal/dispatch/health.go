package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

const (
	// pollConcurrency bounds the load reports asked at once.
	pollConcurrency = 16
	// pullConcurrency is the number of dispatchers asked for status at a time.
	pullConcurrency = 16
	// activeFor is the time after a request in which status is kept current.
	activeFor = 10 * time.Second
)

// pollEngines follows the platform's list and asks for the load report of each
// engine that is owned here or still has work here.
func (d *Dispatcher) pollEngines(ctx context.Context) {
	if d.draining.Load() {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(pollConcurrency)
	for _, e := range d.followList() {
		group.Go(func() error {
			e.poll(ctx)
			d.judge(e)
			d.board.put(e.status(), time.Now())
			return nil
		})
	}
	_ = group.Wait()
}

// judge compares an engine with its peers of the same model.
func (d *Dispatcher) judge(e *engine) {
	if !d.config.Stragglers {
		return
	}
	server := e.description()
	var peers []time.Duration
	for _, other := range d.deps.View.Servers() {
		if other.Name != server.Name && sharesModel(other, server) {
			peers = append(peers, d.board.get(other.Name).DecodeGap)
		}
	}
	e.judge(peers, d.config.TokenGapTarget)
}

func sharesModel(a, b structs.Server) bool {
	return slices.ContainsFunc(a.Models, func(model string) bool { return slices.Contains(b.Models, model) })
}

// followList brings the engines here in line with the platform's list and
// returns those to poll. An engine that left the list takes no new work; it is
// dropped once its streams have ended, as is one that another daemon owns now.
func (d *Dispatcher) followList() []*engine {
	listed := map[string]structs.Server{}
	for _, server := range d.deps.View.Servers() {
		if server.Kind != structs.KindEngine {
			continue
		}
		listed[server.Name] = server
		if d.owns(server) {
			d.engineOf(server)
		}
	}
	d.board.keep(func(engine string) bool { _, ok := listed[engine]; return ok })
	var polled []*engine
	for _, e := range d.allEngines() {
		server, ok := listed[e.name]
		if !ok {
			server = e.description()
			server.State = structs.StateLeaving
		}
		e.describe(server)
		if e.queue.idle() && (!ok || !d.owns(server)) {
			d.drop(e)
			continue
		}
		polled = append(polled, e)
	}
	return polled
}

// drop forgets an engine without work.
func (d *Dispatcher) drop(e *engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.engines, e.name)
}

// allEngines returns the engines here, sorted by name.
func (d *Dispatcher) allEngines() []*engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	engines := slices.Collect(maps.Values(d.engines))
	slices.SortFunc(engines, func(a, b *engine) int { return strings.Compare(a.name, b.name) })
	return engines
}

// owns reports whether this daemon is the dispatcher of a server.
func (d *Dispatcher) owns(server structs.Server) bool {
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	return ok && owner.Name == d.deps.Self
}

// statuses returns the state of the engines here, sorted by name.
func (d *Dispatcher) statuses() []EngineStatus {
	engines := d.allEngines()
	statuses := make([]EngineStatus, 0, len(engines))
	for _, e := range engines {
		statuses = append(statuses, e.status())
	}
	return statuses
}

// pullStatus asks other dispatchers of the region for their engines while this
// daemon has requests to place. Each time it asks a few of them in turn, so
// that the cost does not grow with the fleet.
func (d *Dispatcher) pullStatus(ctx context.Context) {
	if time.Since(d.lastRequest()) > activeFor {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, daemon := range d.nextToPull() {
		group.Go(func() error {
			d.pullFrom(ctx, daemon)
			return nil
		})
	}
	_ = group.Wait()
}

// nextToPull returns the next few daemons of the region in turn.
func (d *Dispatcher) nextToPull() []string {
	var others []string
	for _, instance := range d.deps.View.Live() {
		if instance.Name != d.deps.Self && instance.Region == d.deps.Region {
			others = append(others, instance.Name)
		}
	}
	if len(others) <= pullConcurrency {
		return others
	}
	turn := int(d.pulls.Add(1))
	picked := make([]string, pullConcurrency)
	for i := range picked {
		picked[i] = others[(turn*pullConcurrency+i)%len(others)]
	}
	return picked
}

func (d *Dispatcher) pullFrom(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, d.config.StatusInterval)
	defer cancel()
	var reply statusReply
	if err := peer.Call(ctx, d.deps.Dialer, daemon, methodStatus, statusRequest{}, &reply); err != nil {
		return
	}
	for _, status := range reply.Engines {
		d.board.put(status, time.Now())
	}
}
