package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/backend"
	"ibisline/internal/member"
	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	methodOrder = "dispatch.order"
	// orderTries bounds how often an order in doubt is given.
	orderTries = 3
)

// engineOrder asks the dispatcher of an engine to give it an order.
type engineOrder struct {
	Engine string        `msgpack:"e"`
	Order  backend.Order `msgpack:"o"`
}

// orderDone answers engineOrder.
type orderDone struct{}

// orderDesk gives orders to engines, one at a time each.
type orderDesk struct {
	deps  Deps
	lease *orderLease
	mu    sync.Mutex
	busy  map[string]semaphore
}

func newOrderDesk(deps Deps, pauseAllowance time.Duration) *orderDesk {
	return &orderDesk{deps: deps, lease: newOrderLease(deps, pauseAllowance), busy: map[string]semaphore{}}
}

// Order gives an engine an order through the daemon that dispatches to it. It
// returns nil once the engine took it. The fencing number is set here.
func (d *Dispatcher) Order(ctx context.Context, engine string, order backend.Order) error {
	server, ok := d.findServer(engine)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "engine %s is not known here", engine)
	}
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "no daemon is live to give orders to %s", engine)
	}
	if owner.Name == d.deps.Self {
		return d.orders.give(ctx, server, order)
	}
	var done orderDone
	return peer.Call(ctx, d.deps.Dialer, owner.Name, methodOrder, engineOrder{Engine: engine, Order: order}, &done)
}

// handleOrder serves methodOrder.
func (d *Dispatcher) handleOrder(ctx context.Context, s peer.Stream) error {
	var request engineOrder
	if err := s.Recv(&request); err != nil {
		return err
	}
	server, ok := d.findServer(request.Engine)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "engine %s is not known here", request.Engine)
	}
	if err := d.orders.give(ctx, server, request.Order); err != nil {
		return verdict.From(err)
	}
	return s.Send(orderDone{})
}

// turn returns the semaphore that lets one order at a time go to an engine.
func (o *orderDesk) turn(engine string) semaphore {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[engine] == nil {
		o.busy[engine] = make(semaphore, 1)
	}
	return o.busy[engine]
}

// give gives one order under the lease of the engine. An order in doubt is read
// back before it is given again. One that never reached the engine is NotRun.
func (o *orderDesk) give(ctx context.Context, server structs.Server, order backend.Order) error {
	turn := o.turn(server.Name)
	if err := turn.acquire(ctx, time.Time{}); err != nil {
		return err
	}
	defer turn.release()
	var last error
	inDoubt := false
	for range orderTries {
		fence, err := o.lease.hold(ctx, server)
		if err != nil && inDoubt {
			return staysInDoubt(err, server)
		}
		if err != nil {
			return err
		}
		order.Fence = fence
		last = o.deps.Engines.SendOrder(ctx, server, order)
		if last == nil {
			return nil
		}
		if errors.Is(last, backend.ErrFenced) {
			o.lease.lost(server.Name)
			return verdict.Wrap(last, verdict.MayHaveRun, verdict.NotHome, "another daemon gives the orders of "+server.Name)
		}
		if verdict.Is(last, verdict.NotRun) && !inDoubt {
			return last
		}
		inDoubt = true
		if taken, err := o.readBack(ctx, server, order); err != nil || taken {
			return err
		}
	}
	return staysInDoubt(last, server)
}

// staysInDoubt is the error of an order of which an earlier try may have run.
func staysInDoubt(err error, server structs.Server) *verdict.Error {
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.BackendFailed, "order to "+server.Name+" stays in doubt")
}

// readBack reports whether the engine shows the effect of an order in doubt.
func (o *orderDesk) readBack(ctx context.Context, server structs.Server, order backend.Order) (bool, error) {
	state, err := o.deps.Engines.OrderState(ctx, server)
	if err != nil {
		return false, verdict.Wrap(err, verdict.MayHaveRun, verdict.BackendFailed, "order in doubt cannot be read back")
	}
	return state.InEffect(order), nil
}
