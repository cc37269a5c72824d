package backend

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// ErrFenced means that the engine has seen a higher fencing number: another
// daemon gives its orders now.
var ErrFenced = errors.New("order carries an old fencing number")

// OrderKind names what an order changes.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order tells an engine to load a model or an adapter, or to change its role.
type Order struct {
	Kind  OrderKind `json:"kind" msgpack:"k"`
	Name  string    `json:"name" msgpack:"n"`
	Fence int64     `json:"fence" msgpack:"f"`
}

// OrderState is what the orders so far have led to.
type OrderState struct {
	Fence    int64    `json:"fence"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// Shows reports whether the state is the one that an order leads to.
func (s OrderState) Shows(order Order) bool {
	switch order.Kind {
	case LoadModel:
		return slices.Contains(s.Models, order.Name)
	case LoadAdapter:
		return slices.Contains(s.Adapters, order.Name)
	case SetRole:
		return s.Role == order.Name
	default:
		return false
	}
}

// SendOrder gives the order once. The error is ErrFenced when the engine refused
// the fencing number; otherwise it is *verdict.Error, and the order is in doubt
// unless the verdict is NotRun.
func (e *Engines) SendOrder(ctx context.Context, server structs.Server, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, e.options.ControlTimeout)
	defer cancel()
	request, err := newRequest(ctx, http.MethodPost, server, "/v1/orders", order)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "order cannot be encoded")
	}
	request.GetBody = nil
	var x exchange
	response, err := x.do(e.control, request)
	if err != nil {
		return err
	}
	discard(response)
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return rejected(response)
	}
}

// OrderState asks the engine for the state that its orders have led to.
func (e *Engines) OrderState(ctx context.Context, server structs.Server) (OrderState, error) {
	var state OrderState
	err := e.call(ctx, http.MethodGet, server, "/v1/orders", nil, &state)
	return state, err
}
