// Package operator serves the HTTP API for the operators of a daemon: metrics, state
// dump, status, the service that entries received, and orders to engines.
package operator

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"ibisline/internal/backend"
	"ibisline/internal/history"
	"ibisline/internal/structs"
)

// Status is the status of a daemon, with the catalogue revision that it applies.
type Status struct {
	Instance          structs.Instance `json:"instance"`
	CatalogueRevision int64            `json:"catalogue_revision"`
	// Live is the number of daemons that this one considers live.
	Live int `json:"live"`
	// Settled is set if the daemon holds exactly the shards assigned to it.
	Settled bool `json:"settled"`
	// Leaving is set once a planned stop has begun.
	Leaving bool `json:"leaving"`
}

// Deps are the functions and metrics that the handlers use.
type Deps struct {
	Metrics *metrics.Set
	Status  func() Status
	Dump    func() map[string]any
	// Shares returns the share granted to each entry and the service it received at
	// this daemon.
	Shares func() any
	// Turn describes a turn that this daemon keeps; nil for a daemon that keeps none.
	Turn func(id string) (history.ChainInfo, error)
	// Order sends an order to an engine. Errors are *verdict.Error.
	Order func(ctx context.Context, engine string, order backend.Order) error
}

// RegisterCommon adds the routes common to all daemons: metrics, status and dump.
func RegisterCommon(server *rest.Server, deps Deps) {
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: metricsHandler(deps.Metrics)},
		{Method: http.MethodGet, Path: "/v1/status", Handler: jsonHandler(func() any { return deps.Status() })},
		{Method: http.MethodGet, Path: "/v1/dump", Handler: jsonHandler(func() any { return deps.Dump() })},
	})
}

// RegisterTurns adds the route of a daemon that keeps turns.
func RegisterTurns(server *rest.Server, deps Deps) {
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: "/v1/turns/:id", Handler: turnHandler(deps.Turn)})
}

// Register adds the routes of a daemon that serves programs: those of RegisterCommon,
// shares and orders.
func Register(server *rest.Server, deps Deps) {
	RegisterCommon(server, deps)
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/v1/shares", Handler: jsonHandler(deps.Shares)},
		{Method: http.MethodPost, Path: "/v1/servers/:name/orders", Handler: orderHandler(deps.Order)},
	})
}

// turnRequest names a turn in the path of a request.
type turnRequest struct {
	ID string `path:"id"`
}

// turnHandler writes the description of a turn as JSON.
func turnHandler(describe func(id string) (history.ChainInfo, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request turnRequest
		if err := httpx.ParsePath(r, &request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		info, err := describe(request.ID)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		httpx.OkJsonCtx(r.Context(), w, info)
	}
}

// metricsHandler writes the metrics in set and those of the process.
func metricsHandler(set *metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}
}

// jsonHandler writes the result of read as JSON.
func jsonHandler(read func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		httpx.OkJsonCtx(r.Context(), w, read())
	}
}
