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
	// maxOrderAttempts is the maximum number of times an order with an unknown
	// outcome is sent.
	maxOrderAttempts = 3
)

// orderRequest asks the dispatcher of an engine to send it an order.
type orderRequest struct {
	Engine string        `msgpack:"e"`
	Order  backend.Order `msgpack:"o"`
}

// orderReply answers orderRequest once the engine accepted the order.
type orderReply struct{}

// orderSender sends orders to engines, one at a time per engine.
type orderSender struct {
	deps        Deps
	lease       *orderLease
	mu          sync.Mutex
	engineLocks map[string]semaphore
}

func newOrderSender(deps Deps, pauseAllowance time.Duration) *orderSender {
	return &orderSender{deps: deps, lease: newOrderLease(deps, pauseAllowance), engineLocks: map[string]semaphore{}}
}

// Order sends an order to an engine through the daemon that dispatches to it. It
// returns nil once the engine accepted the order. The owner daemon sets the fence
// of the order.
func (d *Dispatcher) Order(ctx context.Context, engine string, order backend.Order) error {
	server, ok := d.findServer(engine)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "engine %s is not known here", engine)
	}
	owner, ok := member.Owner(d.deps.View, server.Region, server.Name)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "no daemon is live to send orders to %s", engine)
	}
	if owner.Name == d.deps.Self {
		return d.orders.send(ctx, server, order)
	}
	var done orderReply
	return peer.Call(ctx, d.deps.Dialer, owner.Name, methodOrder, orderRequest{Engine: engine, Order: order}, &done)
}

// handleOrder serves methodOrder.
func (d *Dispatcher) handleOrder(ctx context.Context, s peer.Stream) error {
	var request orderRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	server, ok := d.findServer(request.Engine)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "engine %s is not known here", request.Engine)
	}
	if err := d.orders.send(ctx, server, request.Order); err != nil {
		return verdict.From(err)
	}
	return s.Send(orderReply{})
}

// engineLock returns the semaphore that serializes the orders to an engine.
func (o *orderSender) engineLock(engine string) semaphore {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engineLocks[engine] == nil {
		o.engineLocks[engine] = make(semaphore, 1)
	}
	return o.engineLocks[engine]
}

// send sends one order under the lease of the engine. If the outcome is unknown,
// it reads the engine's state back before it sends the order again. The error of
// an order that never reached the engine has verdict NotRun.
func (o *orderSender) send(ctx context.Context, server structs.Server, order backend.Order) error {
	lock := o.engineLock(server.Name)
	if err := lock.acquire(ctx, time.Time{}); err != nil {
		return err
	}
	defer lock.release()
	var last error
	inDoubt := false
	for range maxOrderAttempts {
		fence, err := o.lease.acquire(ctx, server)
		if err != nil && inDoubt {
			return outcomeUnknown(err, server)
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
			o.lease.invalidate(server.Name)
			return verdict.Wrap(last, verdict.MayHaveRun, verdict.NotHome,
				"another daemon holds the order lease of "+server.Name)
		}
		if verdict.Is(last, verdict.NotRun) && !inDoubt {
			return last
		}
		inDoubt = true
		if accepted, err := o.readBack(ctx, server, order); err != nil || accepted {
			return err
		}
	}
	return outcomeUnknown(last, server)
}

// outcomeUnknown is the error of an order of which an earlier attempt may have
// run.
func outcomeUnknown(err error, server structs.Server) *verdict.Error {
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.BackendFailed,
		"outcome of the order to "+server.Name+" is unknown")
}

// readBack reports whether the engine's state shows the effect of an order whose
// outcome is unknown.
func (o *orderSender) readBack(ctx context.Context, server structs.Server, order backend.Order) (bool, error) {
	state, err := o.deps.Engines.OrderState(ctx, server)
	if err != nil {
		return false, verdict.Wrap(err, verdict.MayHaveRun, verdict.BackendFailed,
			"outcome of the order cannot be read back")
	}
	return state.InEffect(order), nil
}
