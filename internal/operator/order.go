package operator

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"ibisline/internal/backend"
	"ibisline/internal/verdict"
)

// orderRequest is the body of an order to an engine. The fencing number is set
// by the daemon.
type orderRequest struct {
	Kind backend.OrderKind `json:"kind"`
	Name string            `json:"name"`
}

// check returns a refusal for an order that no engine can carry out.
func (o orderRequest) check() error {
	switch o.Kind {
	case backend.LoadModel, backend.LoadAdapter, backend.SetRole:
		return nil
	default:
		return verdict.Refuse(verdict.BadRequest, "kind is %q; allowed: %s, %s, %s",
			o.Kind, backend.LoadModel, backend.LoadAdapter, backend.SetRole)
	}
}

// orderHandler gives an order to an engine and answers once the engine took it.
func orderHandler(give func(ctx context.Context, engine string, order backend.Order) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := readOrder(r)
		if err != nil {
			httpx.WriteJsonCtx(r.Context(), w, http.StatusBadRequest, verdict.From(err))
			return
		}
		engine := pathvar.Vars(r)["name"]
		err = give(r.Context(), engine, backend.Order{Kind: request.Kind, Name: request.Name})
		if err != nil {
			httpx.WriteJsonCtx(r.Context(), w, http.StatusBadGateway, verdict.From(err))
			return
		}
		httpx.OkJsonCtx(r.Context(), w, request)
	}
}

// readOrder reads and checks the body.
func readOrder(r *http.Request) (orderRequest, error) {
	var request orderRequest
	if err := httpx.ParseJsonBody(r, &request); err != nil {
		return request, verdict.Refuse(verdict.BadRequest, "%v", err)
	}
	return request, request.check()
}
