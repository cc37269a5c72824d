package engines

import (
	"context"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// SendOrder gives an engine an order. Its errors are Unreachable, Cut when the
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
	e.take(order)
	if lost {
		return Cut()
	}
	return nil
}

// loseOrder returns whether this order's reply is lost.
func (e *Engine) loseOrder() bool {
	if e.LoseOrders <= 0 {
		return false
	}
	e.LoseOrders--
	return true
}

// take carries out an order.
func (e *Engine) take(order backend.Order) {
	e.OrdersTaken++
	e.Orders.Fence = order.Fence
	if order.Kind == backend.LoadModel {
		e.Orders.Models = append(e.Orders.Models, order.Name)
	}
}

// OrderState returns what an engine reports of its orders. Its error is
// Unreachable.
func (s *Set) OrderState(_ context.Context, server structs.Server) (backend.OrderState, error) {
	e := s.Get(server.Name)
	if e.Down {
		return backend.OrderState{}, Unreachable()
	}
	return e.Orders, nil
}
