package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// pollConcurrency bounds the load reports and status requests asked at once.
const pollConcurrency = 16

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
			d.board.put(e.status())
			return nil
		})
	}
	_ = group.Wait()
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

// pullStatus asks the other dispatchers of the region for their engines.
func (d *Dispatcher) pullStatus(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(pollConcurrency)
	for _, instance := range d.deps.View.Live() {
		if instance.Name == d.deps.Self || instance.Region != d.deps.Region {
			continue
		}
		group.Go(func() error {
			d.pullFrom(ctx, instance.Name)
			return nil
		})
	}
	_ = group.Wait()
}

func (d *Dispatcher) pullFrom(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, d.config.StatusInterval)
	defer cancel()
	var reply statusReply
	if err := peer.Call(ctx, d.deps.Dialer, daemon, methodStatus, statusRequest{}, &reply); err != nil {
		return
	}
	for _, status := range reply.Engines {
		d.board.put(status)
	}
}

// statusBoard holds the last known state of engines, from replies and pulls.
type statusBoard struct {
	mu     sync.Mutex
	status map[string]EngineStatus
}

func newStatusBoard() *statusBoard {
	return &statusBoard{status: map[string]EngineStatus{}}
}

func (b *statusBoard) put(status EngineStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status[status.Engine] = status
}

func (b *statusBoard) get(name string) EngineStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status[name]
}

func (b *statusBoard) all() []EngineStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.Collect(maps.Values(b.status))
	slices.SortFunc(all, func(a, b EngineStatus) int { return strings.Compare(a.Engine, b.Engine) })
	return all
}
