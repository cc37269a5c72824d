package operator

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"ibisline/internal/backend"
	"ibisline/internal/verdict"
)

// orderRequest is the body of an order to an engine. The daemon adds the fencing
// number.
type orderRequest struct {
	Kind backend.OrderKind `json:"kind"`
	Name string            `json:"name"`
}

// check refuses an order of an unknown kind.
func (o orderRequest) check() error {
	switch o.Kind {
	case backend.LoadModel, backend.LoadAdapter, backend.SetRole:
		return nil
	default:
		return verdict.Refuse(verdict.BadRequest, "kind is %q; allowed: %s, %s, %s",
			o.Kind, backend.LoadModel, backend.LoadAdapter, backend.SetRole)
	}
}

// orderHandler sends an order to an engine and responds once the engine has accepted
// it.
func orderHandler(sendOrder func(ctx context.Context, engine string, order backend.Order) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := readOrder(r)
		if err != nil {
			httpx.WriteJsonCtx(r.Context(), w, http.StatusBadRequest, verdict.From(err))
			return
		}
		engine := pathvar.Vars(r)["name"]
		err = sendOrder(r.Context(), engine, backend.Order{Kind: request.Kind, Name: request.Name})
		if err != nil {
			httpx.WriteJsonCtx(r.Context(), w, http.StatusBadGateway, verdict.From(err))
			return
		}
		httpx.OkJsonCtx(r.Context(), w, request)
	}
}

// readOrder decodes and checks the request body.
func readOrder(r *http.Request) (orderRequest, error) {
	var request orderRequest
	if err := httpx.ParseJsonBody(r, &request); err != nil {
		return request, verdict.Refuse(verdict.BadRequest, "%v", err)
	}
	return request, request.check()
}
