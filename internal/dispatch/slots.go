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

// slotTable holds the slots granted to this daemon's homes, with the functions
// that release them, and the number of slots held or requested at each server.
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

// addPending counts a slot that is requested at a server.
func (t *slotTable) addPending(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[server]++
}

// removePending subtracts a slot that was released or refused.
func (t *slotTable) removePending(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[server]--
	if t.pending[server] == 0 {
		delete(t.pending, server)
	}
}

// pendingAt returns the number of slots held or requested at a server.
func (t *slotTable) pendingAt(server string) int {
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

// remove deletes a slot. ok is false if it was already released.
func (t *slotTable) remove(id string) (slot heldSlot, ok bool) {
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

// AcquireSlot implements Router. While the dispatchers of all servers are
// unreachable it retries, because other daemons take over within seconds. A slot
// request executes nothing, so it can be repeated safely.
func (d *Dispatcher) AcquireSlot(ctx context.Context, request structs.SlotRequest) (structs.Slot, error) {
	excluded := map[string]bool{}
	giveUp := reselectDeadline(request.Deadline)
	for {
		server, ok := d.pickService(request.Service, excluded)
		if !ok && len(excluded) > 0 && waitToReselect(ctx, giveUp) {
			clear(excluded)
			continue
		}
		if !ok {
			return structs.Slot{}, verdict.Refuse(verdict.NoServer,
				"no server of service %q takes calls", request.Service).RetryIn(time.Second)
		}
		d.slots.addPending(server.Name)
		slot, err := d.slotAt(ctx, server, request)
		if err == nil {
			return slot, nil
		}
		d.slots.removePending(server.Name)
		refusal := asNotRun(err)
		if !retryableSlotReason(refusal.Reason) {
			return structs.Slot{}, refusal
		}
		excluded[server.Name] = true
	}
}

// retryableSlotReason reports whether a slot may be requested at another server
// after a refusal for this reason.
func retryableSlotReason(reason verdict.Reason) bool {
	switch reason {
	case verdict.PeerLost, verdict.NoServer, verdict.Stopping:
		return true
	default:
		return false
	}
}

// asNotRun sets the verdict NotRun, because a slot request never runs a call.
func asNotRun(err error) *verdict.Error {
	refusal := *verdict.From(err)
	refusal.Verdict = verdict.NotRun
	return &refusal
}

// ReleaseSlot implements Router.
func (d *Dispatcher) ReleaseSlot(slot structs.Slot) {
	held, ok := d.slots.remove(slot.ID)
	if !ok {
		return
	}
	held.release()
	d.slots.removePending(held.server)
}

// pickService returns the server of a plain service at which this daemon holds or
// requests the fewest slots. Servers of this region are preferred.
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
			cmp.Compare(d.slots.pendingAt(a.Name), d.slots.pendingAt(b.Name)),
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

// slotAt requests a slot from the dispatcher of one server.
func (d *Dispatcher) slotAt(ctx context.Context, server structs.Server, request structs.SlotRequest) (structs.Slot, error) {
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	if !ok {
		return structs.Slot{}, verdict.Refuse(verdict.NoServer, "no daemon is live to dispatch to %s", server.Name)
	}
	if owner.Name != d.deps.Self {
		return d.acquireRemoteSlot(ctx, owner.Name, server, request)
	}
	grant, err := d.serviceQueue(server).acquire(ctx, slotItem(request), window.Need{}, request.Deadline)
	if err != nil {
		return structs.Slot{}, err
	}
	return d.slots.add(server, func() { grant.release(1) }), nil
}

// slotItem returns the queue item of a call; each call costs one unit.
func slotItem(request structs.SlotRequest) *fairshare.Item {
	return &fairshare.Item{Owner: request.Owner, Class: request.Class, Cost: 1, Arrived: time.Now()}
}

// acquireRemoteSlot acquires a slot from another daemon. The slot is held for as
// long as the stream is open; once granted, the stream is not bound to ctx.
func (d *Dispatcher) acquireRemoteSlot(
	ctx context.Context, daemon string, server structs.Server, request structs.SlotRequest,
) (structs.Slot, error) {
	held, end := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, end)
	remote := slotRequest{Server: server.Name, Request: request, TimeLeft: remainingUntil(request.Deadline)}
	err := d.openSlotStream(held, daemon, remote)
	if !stop() || err != nil {
		end()
		return structs.Slot{}, slotError(ctx, err)
	}
	return d.slots.add(server, end), nil
}

// openSlotStream opens the stream that holds the slot until ctx ends.
func (d *Dispatcher) openSlotStream(ctx context.Context, daemon string, request slotRequest) error {
	stream, err := d.deps.Dialer.Open(ctx, daemon, methodSlot)
	if err != nil {
		return err
	}
	if err := stream.Send(request); err != nil {
		_ = stream.Close()
		return err
	}
	var granted slotReply
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

// handleSlot serves methodSlot. The slot is released when the stream ends.
func (d *Dispatcher) handleSlot(ctx context.Context, s peer.Stream) error {
	var request slotRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	if d.draining.Load() {
		return verdict.Refuse(verdict.Stopping, "dispatcher is stopping")
	}
	server, ok := d.findServer(request.Server)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "server %s is not known here", request.Server)
	}
	grant, err := d.serviceQueue(server).acquire(
		ctx, slotItem(request.Request), window.Need{}, request.TimeLeft.deadline())
	if err != nil {
		return err
	}
	defer grant.release(1)
	if err := s.Send(slotReply{Slot: structs.Slot{Server: server}}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
