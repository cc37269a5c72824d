package backend

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// ErrFenced means that the engine has accepted a higher fencing number, so another
// daemon now sends its orders.
var ErrFenced = errors.New("order has a stale fencing number")

// OrderKind is the type of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order requests that an engine load a model or an adapter, or change its role.
// Fence is the fencing number of the daemon that sends it.
type Order struct {
	Kind  OrderKind `json:"kind" msgpack:"k"`
	Name  string    `json:"name" msgpack:"n"`
	Fence int64     `json:"fence" msgpack:"f"`
}

// OrderState is the state of an engine that orders change.
type OrderState struct {
	Fence    int64    `json:"fence"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// InEffect reports whether the order is in effect in s.
func (s OrderState) InEffect(order Order) bool {
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

// SendOrder sends the order once. The error is ErrFenced if the engine refused the
// fencing number, and *verdict.Error otherwise. The outcome of the order is then
// unknown unless the verdict is NotRun.
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
		return unexpectedStatus(response)
	}
}

// OrderState returns the state of the engine that orders change.
func (e *Engines) OrderState(ctx context.Context, server structs.Server) (OrderState, error) {
	var state OrderState
	err := e.call(ctx, http.MethodGet, server, "/v1/orders", nil, &state)
	return state, err
}
