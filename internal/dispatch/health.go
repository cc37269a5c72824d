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
	// pollConcurrency is the maximum number of concurrent engine polls.
	pollConcurrency = 16
	// pullConcurrency is the number of dispatchers asked for their status per
	// round.
	pullConcurrency = 16
	// statusIdleTimeout is the time after the last model call at which the
	// status requests to other dispatchers stop.
	statusIdleTimeout = 10 * time.Second
)

// pollEngines applies the platform's list and polls each engine that this daemon
// owns or still has requests for.
func (d *Dispatcher) pollEngines(ctx context.Context) {
	if d.draining.Load() {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(pollConcurrency)
	for _, e := range d.syncEngines() {
		group.Go(func() error {
			e.poll(ctx)
			d.detectSlow(e)
			d.statusCache.put(e.status(), time.Now())
			return nil
		})
	}
	_ = group.Wait()
}

// detectSlow compares an engine with the others that serve a model of it.
func (d *Dispatcher) detectSlow(e *engine) {
	if !d.config.Stragglers {
		return
	}
	server := e.currentServer()
	var peers []time.Duration
	for _, other := range d.deps.View.Servers() {
		if other.Name != server.Name && sharesModel(other, server) {
			peers = append(peers, d.statusCache.get(other.Name).DecodeGap)
		}
	}
	e.detectSlow(peers, d.config.TokenGapTarget)
}

func sharesModel(a, b structs.Server) bool {
	return slices.ContainsFunc(a.Models, func(model string) bool { return slices.Contains(b.Models, model) })
}

// syncEngines updates the local engines from the platform's list and returns
// those to poll. An engine that is no longer listed gets no new work. It is
// removed once its streams have ended, as is an engine now owned by another
// daemon.
func (d *Dispatcher) syncEngines() []*engine {
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
	d.statusCache.retain(func(engine string) bool { _, ok := listed[engine]; return ok })
	var polled []*engine
	for _, e := range d.allEngines() {
		server, ok := listed[e.name]
		if !ok {
			server = e.currentServer()
			server.State = structs.StateLeaving
		}
		e.setServer(server)
		if e.queue.idle() && (!ok || !d.owns(server)) {
			d.removeEngine(e)
			continue
		}
		polled = append(polled, e)
	}
	return polled
}

// removeEngine removes the local state of an idle engine.
func (d *Dispatcher) removeEngine(e *engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.engines, e.name)
}

// allEngines returns the local engines, sorted by name.
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

// statuses returns the status of the local engines, sorted by name.
func (d *Dispatcher) statuses() []EngineStatus {
	engines := d.allEngines()
	statuses := make([]EngineStatus, 0, len(engines))
	for _, e := range engines {
		statuses = append(statuses, e.status())
	}
	return statuses
}

// pullStatus requests the engine status of other dispatchers in the region while
// this daemon receives model calls. Each round asks a limited number of them in
// rotation, so that the cost does not grow with the number of daemons.
func (d *Dispatcher) pullStatus(ctx context.Context) {
	if time.Since(d.lastRequest()) > statusIdleTimeout {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, daemon := range d.nextStatusPeers() {
		group.Go(func() error {
			d.pullStatusFrom(ctx, daemon)
			return nil
		})
	}
	_ = group.Wait()
}

// nextStatusPeers returns the daemons of the region to ask in the next round.
func (d *Dispatcher) nextStatusPeers() []string {
	var others []string
	for _, instance := range d.deps.View.Live() {
		if instance.Name != d.deps.Self && instance.Region == d.deps.Region {
			others = append(others, instance.Name)
		}
	}
	if len(others) <= pullConcurrency {
		return others
	}
	round := int(d.statusRounds.Add(1))
	picked := make([]string, pullConcurrency)
	for i := range picked {
		picked[i] = others[(round*pullConcurrency+i)%len(others)]
	}
	return picked
}

func (d *Dispatcher) pullStatusFrom(ctx context.Context, daemon string) {
	ctx, cancel := context.WithTimeout(ctx, d.config.StatusInterval)
	defer cancel()
	var reply statusReply
	if err := peer.Call(ctx, d.deps.Dialer, daemon, methodStatus, statusRequest{}, &reply); err != nil {
		return
	}
	for _, status := range reply.Engines {
		d.statusCache.put(status, time.Now())
	}
}
