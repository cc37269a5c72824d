package dispatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/policy/fairshare"
	"ibisline/internal/policy/window"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// slotTable holds the slots granted to this daemon's homes with the means to
// give them back, and the number of slots held and asked for at each server.
type slotTable struct {
	mu      sync.Mutex
	held    map[string]heldSlot
	pending map[string]int
}

// heldSlot is one granted slot.
type heldSlot struct {
	server  string
	release func()
}

func newSlotTable() *slotTable {
	return &slotTable{held: map[string]heldSlot{}, pending: map[string]int{}}
}

// ask counts a slot that is asked for.
func (t *slotTable) ask(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[server]++
}

// drop counts out a slot that was given back or refused.
func (t *slotTable) drop(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[server]--
	if t.pending[server] == 0 {
		delete(t.pending, server)
	}
}

// load is the number of slots held and asked for at a server.
func (t *slotTable) load(server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending[server]
}

func (t *slotTable) add(server structs.Server, release func()) structs.Slot {
	slot := structs.Slot{ID: uuid.NewString(), Server: server}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held[slot.ID] = heldSlot{server: server.Name, release: release}
	return slot
}

// take removes a slot; ok is false when it was given back before.
func (t *slotTable) take(id string) (slot heldSlot, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slot, ok = t.held[id]
	delete(t.held, id)
	return slot, ok
}

func (t *slotTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// AcquireSlot implements Router. While the dispatchers of all servers are out of
// reach it tries again, as others take their place within seconds; asking for a
// slot runs nothing, so it may be repeated.
func (d *Dispatcher) AcquireSlot(ctx context.Context, request structs.SlotRequest) (structs.Slot, error) {
	excluded := map[string]bool{}
	giveUp := repickUntil(request.Deadline)
	for {
		server, ok := d.pickService(request.Service, excluded)
		if !ok && len(excluded) > 0 && waitToRepick(ctx, giveUp) {
			clear(excluded)
			continue
		}
		if !ok {
			return structs.Slot{}, verdict.Refuse(verdict.NoServer, "no server of service %q takes calls", request.Service).RetryIn(time.Second)
		}
		d.slots.ask(server.Name)
		slot, err := d.slotAt(ctx, server, request)
		if err == nil {
			return slot, nil
		}
		d.slots.drop(server.Name)
		refusal := asNotRun(err)
		if !slotElsewhere(refusal.Reason) {
			return structs.Slot{}, refusal
		}
		excluded[server.Name] = true
	}
}

// slotElsewhere reports whether a slot may be sought at another server.
func slotElsewhere(reason verdict.Reason) bool {
	switch reason {
	case verdict.PeerLost, verdict.NoServer, verdict.Stopping:
		return true
	default:
		return false
	}
}

// asNotRun states the fact that asking for a slot never runs a call.
func asNotRun(err error) *verdict.Error {
	refusal := *verdict.From(err)
	refusal.Verdict = verdict.NotRun
	return &refusal
}

// ReleaseSlot implements Router.
func (d *Dispatcher) ReleaseSlot(slot structs.Slot) {
	held, ok := d.slots.take(slot.ID)
	if !ok {
		return
	}
	held.release()
	d.slots.drop(held.server)
}

// pickService returns the server of a plain service at which this daemon has
// the fewest slots, in this region when it has one.
func (d *Dispatcher) pickService(service string, excluded map[string]bool) (structs.Server, bool) {
	var candidates []structs.Server
	for _, server := range d.deps.View.Servers() {
		if server.Kind != structs.KindService || server.Service != service {
			continue
		}
		if server.State != structs.StateLeaving && !excluded[server.Name] {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		return structs.Server{}, false
	}
	return slices.MinFunc(candidates, func(a, b structs.Server) int {
		return cmp.Or(
			cmp.Compare(d.distance(a), d.distance(b)),
			cmp.Compare(d.slots.load(a.Name), d.slots.load(b.Name)),
			cmp.Compare(xxhash.Sum64String(d.deps.Self+a.Name), xxhash.Sum64String(d.deps.Self+b.Name)),
		)
	}), true
}

// distance is 0 for a server of this region and 1 for any other.
func (d *Dispatcher) distance(server structs.Server) int {
	if server.Region == d.deps.Region {
		return 0
	}
	return 1
}

// slotAt asks the dispatcher of one server for a slot.
func (d *Dispatcher) slotAt(ctx context.Context, server structs.Server, request structs.SlotRequest) (structs.Slot, error) {
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	if !ok {
		return structs.Slot{}, verdict.Refuse(verdict.NoServer, "no daemon is live to dispatch to %s", server.Name)
	}
	if owner.Name != d.deps.Self {
		return d.remoteSlot(ctx, owner.Name, server, request)
	}
	grant, err := d.serviceQueue(server).acquire(ctx, slotItem(request), window.Need{}, request.Deadline)
	if err != nil {
		return structs.Slot{}, err
	}
	return d.slots.add(server, func() { grant.release(1) }), nil
}

// slotItem describes a call to the fair queue; each call costs one unit.
func slotItem(request structs.SlotRequest) *fairshare.Item {
	return &fairshare.Item{Owner: request.Owner, Class: request.Class, Cost: 1, Arrived: time.Now()}
}

// remoteSlot holds a slot at another daemon for as long as its stream is open.
// The stream outlives ctx once the slot is granted.
func (d *Dispatcher) remoteSlot(ctx context.Context, daemon string, server structs.Server, request structs.SlotRequest) (structs.Slot, error) {
	held, end := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, end)
	order := slotOrder{Server: server.Name, Request: request, Wait: waitUntil(request.Deadline)}
	err := d.askSlot(held, daemon, order)
	if !stop() || err != nil {
		end()
		return structs.Slot{}, slotError(ctx, err)
	}
	return d.slots.add(server, end), nil
}

// askSlot opens the stream that holds the slot until ctx ends.
func (d *Dispatcher) askSlot(ctx context.Context, daemon string, order slotOrder) error {
	stream, err := d.deps.Dialer.Open(ctx, daemon, methodSlot)
	if err != nil {
		return err
	}
	if err := stream.Send(order); err != nil {
		_ = stream.Close()
		return err
	}
	var granted slotGranted
	if err := stream.Recv(&granted); err != nil {
		_ = stream.Close()
		return err
	}
	return nil
}

func slotError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Refuse(verdict.Canceled, "canceled while waiting for a slot")
	}
	return err
}

// handleSlot serves methodSlot: the slot ends with the stream.
func (d *Dispatcher) handleSlot(ctx context.Context, s peer.Stream) error {
	var order slotOrder
	if err := s.Recv(&order); err != nil {
		return err
	}
	if d.draining.Load() {
		return verdict.Refuse(verdict.Stopping, "dispatcher is stopping")
	}
	server, ok := d.findServer(order.Server)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "server %s is not known here", order.Server)
	}
	grant, err := d.serviceQueue(server).acquire(ctx, slotItem(order.Request), window.Need{}, order.Wait.deadline())
	if err != nil {
		return err
	}
	defer grant.release(1)
	if err := s.Send(slotGranted{Slot: structs.Slot{Server: server}}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
