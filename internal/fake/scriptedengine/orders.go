package scriptedengine

import (
	"context"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// SendOrder sends an order to an engine. Its errors are Unreachable, Cut when the
// script loses the order or its reply, and backend.ErrFenced.
func (s *Set) SendOrder(_ context.Context, server structs.Server, order backend.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine(server.Name)
	if e.Down {
		return Unreachable()
	}
	lost := e.loseOrder()
	if lost && e.LoseEffect {
		return Cut()
	}
	if server.Fences && order.Fence < e.Orders.Fence {
		return backend.ErrFenced
	}
	e.applyOrder(order)
	if lost {
		return Cut()
	}
	return nil
}

// loseOrder reports whether the reply to this order is lost, and counts it down.
func (e *Engine) loseOrder() bool {
	if e.LoseOrders <= 0 {
		return false
	}
	e.LoseOrders--
	return true
}

// applyOrder applies an order to the engine's state.
func (e *Engine) applyOrder(order backend.Order) {
	e.OrdersTaken++
	e.Orders.Fence = order.Fence
	if order.Kind == backend.LoadModel {
		e.Orders.Models = append(e.Orders.Models, order.Name)
	}
}

// OrderState returns the order state of an engine. Its error is Unreachable.
func (s *Set) OrderState(_ context.Context, server structs.Server) (backend.OrderState, error) {
	e := s.Get(server.Name)
	if e.Down {
		return backend.OrderState{}, Unreachable()
	}
	return e.Orders, nil
}
