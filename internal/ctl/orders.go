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

// orderResult is the outcome of an order, as shown to the operator.
type orderResult struct {
	Engine  string            `json:"engine"`
	Kind    backend.OrderKind `json:"kind"`
	Name    string            `json:"name"`
	Verdict verdict.Verdict   `json:"verdict"`
	// Daemon is the daemon that accepted the order and forwarded it to the engine's
	// dispatcher.
	Daemon  string         `json:"daemon,omitempty"`
	Reason  verdict.Reason `json:"reason,omitempty"`
	Message string         `json:"message,omitempty"`
}

// servers returns the backend servers registered with the platform, sorted by name.
func (c *command) servers(ctx context.Context) ([]structs.Server, error) {
	servers, err := listObjects[structs.Server](ctx, c.store, structs.ServerPrefix)
	slices.SortFunc(servers, func(a, b structs.Server) int { return strings.Compare(a.Name, b.Name) })
	return servers, err
}

// listServers prints the backend servers.
func (c *command) listServers(ctx context.Context) error {
	servers, err := c.servers(ctx)
	if err != nil {
		return err
	}
	return c.out.servers(servers)
}

// engine returns the engine with the given name.
func (c *command) engine(ctx context.Context, name string) (structs.Server, error) {
	servers, err := c.servers(ctx)
	if err != nil {
		return structs.Server{}, err
	}
	at := slices.IndexFunc(servers, func(s structs.Server) bool { return s.Name == name })
	if at < 0 {
		return structs.Server{}, newFailure(ExitNotFound, "there is no engine %q; see ibisctl server list", name)
	}
	if servers[at].Kind != structs.KindEngine {
		return structs.Server{}, usageError("%q is a plain service; only engines accept orders", name)
	}
	return servers[at], nil
}

// order sends an order to an engine, prints the outcome, and returns it as an error
// unless the engine took the order.
func (c *command) order(ctx context.Context, args *OrderArgs) error {
	kind, target := args.selected()
	server, err := c.engine(ctx, target.Engine)
	if err != nil {
		return err
	}
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	if !server.Fences {
		fmt.Fprintf(c.errOut, "ibisctl: engine %s ignores fencing numbers: if another daemon sent its last order, "+
			"this one waits until that daemon can no longer send any\n", server.Name)
	}
	order := backend.Order{Kind: kind, Name: target.Name}
	daemon, err := c.daemons.sendOrder(ctx, instances, server.Name, order)
	if err := c.out.order(newOrderResult(server.Name, order, daemon, err)); err != nil {
		return err
	}
	return orderError(err)
}

// newOrderResult combines an order with its outcome.
func newOrderResult(engine string, order backend.Order, daemon string, err error) orderResult {
	result := orderResult{Engine: engine, Kind: order.Kind, Name: order.Name, Daemon: daemon, Verdict: verdict.Ran}
	if err != nil {
		cause := verdict.From(err)
		result.Verdict = cause.Verdict
		result.Reason = cause.Reason
		result.Message = cause.Message
	}
	return result
}

// orderError maps the error of an order to a failure with an exit code.
func orderError(err error) error {
	switch {
	case err == nil:
		return nil
	case !verdict.Is(err, verdict.NotRun):
		return newFailure(ExitUnknown, "the order is in doubt: %s; check the engine before sending another order", err)
	case verdict.HasReason(err, verdict.BadRequest):
		return usageError("the order was refused: %s", err)
	case verdict.HasReason(err, verdict.NoServer):
		return newFailure(ExitNotFound, "the order was refused: %s", err)
	case verdict.HasReason(err, verdict.PlatformDown), verdict.HasReason(err, verdict.PeerLost):
		return newFailure(ExitUnavailable, "the order was refused: %s", err)
	default:
		return newFailure(ExitRefused, "the order was refused: %s", err)
	}
}
