package ctl

import (
	"context"
	"net/url"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"ibisline/internal/gateway"
	"ibisline/internal/structs"
)

// pathRoute is the path at which a gateway explains where a request would go.
const pathRoute = "/v1/route"

// routeRow is the explanation of one gateway in the JSON output of route.
type routeRow struct {
	Daemon string                    `json:"daemon"`
	Route  *gateway.RouteExplanation `json:"explanation,omitempty"`
	Error  string                    `json:"error,omitempty"`
}

// route prints where gateways would send a request.
func (c *command) route(ctx context.Context, args *RouteArgs) error {
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	if len(args.Daemons) > 0 {
		if instances, err = selectInstances(instances, args.Daemons); err != nil {
			return err
		}
	} else {
		instances = slices.DeleteFunc(instances, func(i structs.Instance) bool { return i.Duty != structs.DutyGateway })
	}
	query := url.Values{
		"host": {args.Host}, "path": {args.Path}, "team": {args.Team}, "program": {args.Program},
		"session": {args.Session}, "prompt": {args.Prompt},
	}
	replies := queryAll[gateway.RouteExplanation](ctx, c.daemons, instances, pathRoute+"?"+query.Encode())
	return c.out.routes(replies)
}

// routes prints explanations, each candidate as a row with the parts of its cost.
func (p printer) routes(replies []daemonReply[gateway.RouteExplanation]) error {
	rows := make([]routeRow, len(replies))
	for i, reply := range replies {
		rows[i].Daemon = reply.daemon.Name
		if reply.err != nil {
			rows[i].Error = reply.err.Error()
			continue
		}
		rows[i].Route = &replies[i].value
	}
	if p.json {
		return p.encode(rows)
	}
	for _, row := range rows {
		if row.Route == nil {
			p.printLine(row.Daemon + ": " + row.Error)
			continue
		}
		outcome := "to " + row.Route.Server
		if row.Route.Refusal != "" {
			outcome = "refused: " + row.Route.Refusal
		}
		p.printLine(row.Daemon + ": route " + row.Route.Route + ", service " + row.Route.Service + ", " + outcome)
		t := p.table("server", "data centre", "cost", "in flight", "congestion", "affinity", "reading", "pace", "distance", "excluded")
		for _, c := range row.Route.Candidates {
			t.AppendRow(table.Row{
				c.Server, c.DataCentre, c.Cost, c.InFlight, c.Congestion, c.Affinity, c.Reading, c.Pace, c.Distance, c.Excluded,
			})
		}
		t.Render()
	}
	return nil
}
