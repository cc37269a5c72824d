package operator

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"ibisline/internal/gateway"
	"ibisline/internal/request"
)

// RegisterRoute adds the route of a gateway that explains where a request would go.
func RegisterRoute(server *rest.Server, explain func(gateway.RouteQuery) gateway.RouteExplanation) {
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: "/v1/route", Handler: routeHandler(explain)})
}

// RegisterTeams adds the route of a gateway that reports the teams of its configuration.
func RegisterTeams(server *rest.Server, report func() gateway.TeamReport) {
	server.AddRoute(rest.Route{
		Method: http.MethodGet, Path: "/v1/teams", Handler: jsonHandler(func() any { return report() }),
	})
}

// routeHandler writes the explanation as JSON. The query has the fields of gateway.RouteQuery in lower
// case; prompt is a list of ID:TOKENS.
func routeHandler(explain func(gateway.RouteQuery) gateway.RouteExplanation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		values := r.URL.Query()
		query := gateway.RouteQuery{
			Host: values.Get("host"), Path: values.Get("path"), Team: values.Get("team"), Program: values.Get("program"),
			Session: values.Get("session"),
		}
		for entry := range strings.SplitSeq(values.Get("prompt"), ",") {
			id, tokens, found := strings.Cut(entry, ":")
			count, err := strconv.Atoi(tokens)
			if !found || err != nil {
				if entry == "" {
					continue
				}
				http.Error(w, "prompt: "+strconv.Quote(entry)+" is not ID:TOKENS", http.StatusBadRequest)
				return
			}
			query.Prompt = append(query.Prompt, request.PromptPart{ID: id, Tokens: count})
		}
		httpx.OkJsonCtx(r.Context(), w, explain(query))
	}
}
