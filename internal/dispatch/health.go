package dispatch

import (
	"context"
	"sort"
	"sync"

	"golang.org/x/sync/errgroup"

	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
)

// pollConcurrency bounds the load reports and status requests asked at once.
const pollConcurrency = 16

// pollEngines follows the platform's list and asks each owned engine for its
// load report.
func (d *Dispatcher) pollEngines(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(pollConcurrency)
	for _, server := range d.deps.View.Servers() {
		if server.Kind != structs.KindEngine || !d.owns(server) {
			continue
		}
		e := d.engineOf(server)
		e.describe(server)
		group.Go(func() error {
			e.poll(ctx)
			d.board.put(e.status())
			return nil
		})
	}
	_ = group.Wait()
}

// owns reports whether this daemon is the dispatcher of a server.
func (d *Dispatcher) owns(server structs.Server) bool {
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	return ok && owner.Name == d.deps.Self
}

// statuses returns the state of the engines here, sorted by name.
func (d *Dispatcher) statuses() []EngineStatus {
	d.mu.Lock()
	engines := make([]*engine, 0, len(d.engines))
	for _, e := range d.engines {
		engines = append(engines, e)
	}
	d.mu.Unlock()
	statuses := make([]EngineStatus, 0, len(engines))
	for _, e := range engines {
		statuses = append(statuses, e.status())
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Engine < statuses[j].Engine })
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
	all := make([]EngineStatus, 0, len(b.status))
	for _, status := range b.status {
		all = append(all, status)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Engine < all[j].Engine })
	return all
}
