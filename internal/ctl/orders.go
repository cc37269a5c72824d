package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// orderResult is what became of an order, as shown to the operator.
type orderResult struct {
	Engine  string            `json:"engine"`
	Kind    backend.OrderKind `json:"kind"`
	Name    string            `json:"name"`
	Verdict verdict.Verdict   `json:"verdict"`
	// Daemon took the order and passed it on to the engine's dispatcher.
	Daemon  string         `json:"daemon,omitempty"`
	Reason  verdict.Reason `json:"reason,omitempty"`
	Message string         `json:"message,omitempty"`
}

// servers returns the backend servers of the platform's list, by name.
func (c *command) servers(ctx context.Context) ([]structs.Server, error) {
	servers, err := listObjects[structs.Server](ctx, c.store, structs.ServerPrefix)
	slices.SortFunc(servers, func(a, b structs.Server) int { return strings.Compare(a.Name, b.Name) })
	return servers, err
}

// listServers shows the backend servers.
func (c *command) listServers(ctx context.Context) error {
	servers, err := c.servers(ctx)
	if err != nil {
		return err
	}
	return c.out.servers(servers)
}

// engine returns an engine of the platform's list by name.
func (c *command) engine(ctx context.Context, name string) (structs.Server, error) {
	servers, err := c.servers(ctx)
	if err != nil {
		return structs.Server{}, err
	}
	at := slices.IndexFunc(servers, func(s structs.Server) bool { return s.Name == name })
	if at < 0 {
		return structs.Server{}, failed(ExitNotFound, "there is no engine %q; see ibisctl server list", name)
	}
	if servers[at].Kind != structs.KindEngine {
		return structs.Server{}, usageError("%q is a plain service; only engines take orders", name)
	}
	return servers[at], nil
}

// order gives an engine an order, and shows and returns its outcome.
func (c *command) order(ctx context.Context, args *OrderArgs) error {
	kind, target := args.chosen()
	server, err := c.engine(ctx, target.Engine)
	if err != nil {
		return err
	}
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	if !server.Fences {
		fmt.Fprintf(c.err, "ibisctl: engine %s ignores fencing numbers: if another daemon gave its last order, "+
			"this one waits until that daemon can give none any more\n", server.Name)
	}
	order := backend.Order{Kind: kind, Name: target.Name}
	daemon, err := c.daemons.give(ctx, instances, server.Name, order)
	if err := c.out.order(resultOf(server.Name, order, daemon, err)); err != nil {
		return err
	}
	return orderFailure(err)
}

// resultOf joins an order with its outcome.
func resultOf(engine string, order backend.Order, daemon string, err error) orderResult {
	result := orderResult{Engine: engine, Kind: order.Kind, Name: order.Name, Daemon: daemon, Verdict: verdict.Ran}
	if err != nil {
		known := verdict.From(err)
		result.Verdict = known.Verdict
		result.Reason = known.Reason
		result.Message = known.Message
	}
	return result
}

// orderFailure maps the outcome of an order to a failure with an exit code.
func orderFailure(err error) error {
	switch {
	case err == nil:
		return nil
	case !verdict.Is(err, verdict.NotRun):
		return failed(ExitUnknown, "the order is in doubt: %s; look at the engine before giving it another one", err)
	case verdict.HasReason(err, verdict.BadRequest):
		return usageError("the order was refused: %s", err)
	case verdict.HasReason(err, verdict.NoServer):
		return failed(ExitNotFound, "the order was refused: %s", err)
	case verdict.HasReason(err, verdict.PlatformDown), verdict.HasReason(err, verdict.PeerLost):
		return failed(ExitUnavailable, "the order was refused: %s", err)
	default:
		return failed(ExitRefused, "the order was refused: %s", err)
	}
}
