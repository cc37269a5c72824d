// Package operator serves the operators' HTTP calls of a daemon: metrics, state
// dump, status, the shares that owners received, and orders to engines.
package operator

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// Status says which daemon answers and which catalogue revision it applies.
type Status struct {
	Instance          structs.Instance `json:"instance"`
	CatalogueRevision int64            `json:"catalogue_revision"`
	// Live is the number of daemons that this one takes to be live.
	Live int `json:"live"`
	// Settled is set when the daemon holds the shards that it should, and no
	// others.
	Settled bool `json:"settled"`
	// Leaving is set once a planned stop began.
	Leaving bool `json:"leaving"`
}

// Sources are the parts of the daemon that the calls read.
type Sources struct {
	Metrics *metrics.Set
	Status  func() Status
	Dump    func() map[string]any
	// Shares returns what each entry was granted and received here.
	Shares func() any
	// Order gives an order to an engine. Errors are *verdict.Error.
	Order func(ctx context.Context, engine string, order backend.Order) error
}

// RegisterReads adds the routes of every daemon: metrics, status and dump.
func RegisterReads(server *rest.Server, s Sources) {
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: metricsHandler(s.Metrics)},
		{Method: http.MethodGet, Path: "/v1/status", Handler: jsonHandler(func() any { return s.Status() })},
		{Method: http.MethodGet, Path: "/v1/dump", Handler: jsonHandler(func() any { return s.Dump() })},
	})
}

// Register adds all routes to server, with those of a daemon that serves programs.
func Register(server *rest.Server, s Sources) {
	RegisterReads(server, s)
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/v1/shares", Handler: jsonHandler(s.Shares)},
		{Method: http.MethodPost, Path: "/v1/servers/:name/orders", Handler: orderHandler(s.Order)},
	})
}

// metricsHandler writes the daemon's metrics and those of the process.
func metricsHandler(set *metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}
}

// jsonHandler writes the value that read returns.
func jsonHandler(read func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		httpx.OkJsonCtx(r.Context(), w, read())
	}
}
